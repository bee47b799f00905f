/** Runs example jobs on embedded stand-ins and prints the scheduler's decisions. */
export { runQuickstart } from "./src/run_quickstart.ts";
