#!/usr/bin/env node
/** The executable `cairngate`; `cairngate --help` lists its commands. */
import process from "node:process";
import * as cli from "./src/run_cli.ts";

process.exit(await cli.runCli(process.argv.slice(2)));
