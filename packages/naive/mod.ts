/** A reference scheduler: first come, first served, first fit. */
export { NaiveScheduler } from "./src/naive_scheduler.ts";
