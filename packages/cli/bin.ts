#!/usr/bin/env node
/** `cairngate`: see `cairngate --help`. */
import process from "node:process";
import * as cli from "./src/run_cli.ts";

process.exit(await cli.runCli(process.argv.slice(2)));
