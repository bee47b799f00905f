/** Plays of loads against the planner alone. */
export { type Load, LOADS } from "./src/load.ts";
export { type Marks, marksOf } from "./src/marks.ts";
export { play, type Played } from "./src/play.ts";
