/** The command-line tool `cairngate` for operators. */
export { runCli } from "./src/run_cli.ts";
