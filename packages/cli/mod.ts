/** cairngate: the operators' command line. */
export { runCli } from "./src/run_cli.ts";
