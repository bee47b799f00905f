/** `cairngate trace`: the story of one job from log files. */
import * as Clipanion from "clipanion";
import * as fs from "node:fs";
import * as path from "node:path";
import * as readline from "node:readline";
import type * as stream from "node:stream";
import * as base from "./base_command.ts";
import * as exitCodes from "./exit_codes.ts";
import * as traces from "./trace.ts";

const STANDARD_INPUT = "-";

/** Merges what logs tell of one id. */
export class TraceCommand extends base.BaseCommand {
  static override paths = [["trace"]];
  static override usage = Clipanion.Command.Usage({
    description: "Print what the logs of boxes tell of one job or task",
    details: "Reads log files of any boxes, as text or JSON, or standard " +
      "input, and prints the lines that name the id by time. Clocks of boxes " +
      "may differ a little, and so may the order.",
    examples: [
      ["One job", "cairngate trace 5c0e7a21d94b36f8 box-1.log box-2.log"],
      ["One task", "cairngate trace 5c0e7a21d94b36f8.0.1.17 *.log"],
      ["From a pipe", "zcat *.gz | cairngate trace 5c0e7a21d94b36f8"],
    ],
  });
  id = Clipanion.Option.String();
  files = Clipanion.Option.Rest();

  override async execute(): Promise<number> {
    const files = this.files.length > 0 ? this.files : [STANDARD_INPUT];
    const missing = files.find((f) => f !== STANDARD_INPUT && !isFile(f));
    if (missing !== undefined) {
      this.complain(`${missing} is no file that can be read.`);
      return exitCodes.ExitCode.Invalid;
    }
    const sources = files.map((file) => this.#open(file));
    const trace = await traces.readTrace(this.id, sources);
    this.print(trace, () => traces.renderTrace(trace));
    for (const gap of traces.renderGaps(trace)) this.complain(gap);
    return trace.lines.length > 0
      ? exitCodes.ExitCode.Ok
      : exitCodes.ExitCode.Refused;
  }

  #open(file: string): traces.LogSource {
    const isPipe = file === STANDARD_INPUT;
    const name = isPipe ? "standard input" : path.basename(file, ".log");
    const open = (): stream.Readable =>
      isPipe
        ? this.context.stdin as stream.Readable
        : fs.createReadStream(file);
    return { name, lines: readLines(open) };
  }
}

/** Opens the input when its first line is asked for. */
async function* readLines(
  open: () => stream.Readable,
): AsyncGenerator<string> {
  const input = open();
  yield* readline.createInterface({ input, crlfDelay: Infinity });
}

function isFile(file: string): boolean {
  return fs.statSync(file, { throwIfNoEntry: false })?.isFile() === true;
}
