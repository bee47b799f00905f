/** `npm run quickstart`: runs the quickstart and exits with its code. */
import process from "node:process";
import * as quickstart from "./src/run_quickstart.ts";

process.exit(await quickstart.runQuickstart());
