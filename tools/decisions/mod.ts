/** Simulations of loads against the planner alone. */
export { type Load, LOADS } from "./src/load.ts";
export { type Scores, scoreSimulation } from "./src/scores.ts";
export { simulate, type SimulationResult } from "./src/simulate.ts";
