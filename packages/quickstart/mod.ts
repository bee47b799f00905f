/** Runs the main job on embedded stand-ins and shows what was decided. */
export { runQuickstart } from "./src/run_quickstart.ts";
