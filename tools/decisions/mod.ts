/** Simulations of loads against the planner alone. */
export { type Load, LOADS } from "./src/load.ts";
export { type Scores, scoreSimulation } from "./src/marks.ts";
export { simulate, type SimulationResult } from "./src/play.ts";
