/** The reference scheduler: first come, first fit. */
export { NaiveScheduler } from "./src/naive_scheduler.ts";
