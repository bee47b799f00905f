/** The coordinator: election, recovery, decisions carried out. */
export { Coordinator } from "./src/coordinator.ts";
export type {
  CoordinatorDump,
  EvacuationDump,
  GuaranteeDump,
  WorkerDump,
  WorkflowDump,
} from "./src/describe.ts";
export {
  type Evacuation,
  EvacuationBook,
  type EvacuationBookOptions,
} from "./src/evacuation_book.ts";
export { Election } from "./src/election.ts";
export { type CoordinatorRow, Term } from "./src/term.ts";
export { restartOnDefect, type RestartParts } from "./src/restart.ts";
export { Fitness } from "./src/fitness.ts";
export type { CoordinatorPorts, WorkerBounds } from "./src/ports.ts";
