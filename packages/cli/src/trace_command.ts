/** `cairngate trace`: the history of one job, from a box and from log files. */
import type * as HttpJson from "@cairngate/http-json";
import * as Clipanion from "clipanion";
import * as fs from "node:fs";
import * as path from "node:path";
import * as readline from "node:readline";
import type * as stream from "node:stream";
import type * as tty from "node:tty";
import * as base from "./base_command.ts";
import * as exitCodes from "./exit_codes.ts";
import * as workflows from "./render_workflow.ts";
import * as traces from "./trace.ts";

const STANDARD_INPUT = "-";
const STATE_PATH = "/state";

/** Prints the state of a workflow from a box and its lines from logs. */
export class TraceCommand extends base.BaseCommand {
  static override paths = [["trace"]];
  static override usage = Clipanion.Command.Usage({
    description: "Print the history of a job or task from a box and logs",
    details:
      "Requests from a box why the job was given up and for which runs, " +
      "if --box is given or if there are neither files nor a pipe. Reads log " +
      "files of any boxes, as text or JSON, or standard input, and prints the " +
      "lines that mention the id, sorted by time. The order is approximate, " +
      "because the clocks of boxes may differ.",
    examples: [
      [
        "Why it was given up",
        "cairngate trace 5c0e7a21d94b36f8 --box 127.0.0.1:8523",
      ],
      ["One job", "cairngate trace 5c0e7a21d94b36f8 box-1.log box-2.log"],
      ["One task", "cairngate trace 5c0e7a21d94b36f8.0.1.17 *.log"],
      ["From a pipe", "zcat *.gz | cairngate trace 5c0e7a21d94b36f8"],
    ],
  });
  id = Clipanion.Option.String();
  files = Clipanion.Option.Rest();

  override async execute(): Promise<number> {
    const files = this.#listFiles();
    const missing = files.find((f) => f !== STANDARD_INPUT && !isFile(f));
    if (missing !== undefined) {
      this.printError(`${missing} is not a readable file.`);
      return exitCodes.ExitCode.Invalid;
    }
    return files.length === 0
      ? await this.#printWorkflow()
      : await this.#printLogs(files);
  }

  /** Prints only the workflow's state from a box. */
  async #printWorkflow(): Promise<exitCodes.ExitCode> {
    const reply = await this.#fetchWorkflow();
    if (reply?.status !== 200) return this.fail(reply);
    const story = reply.body as workflows.WorkflowReport;
    this.print({ id: this.id, story }, () => workflows.renderWorkflow(story));
    return exitCodes.ExitCode.Ok;
  }

  /** Prints log lines, preceded by the workflow's state if a box is given. */
  async #printLogs(files: readonly string[]): Promise<exitCodes.ExitCode> {
    const usesBox = this.box !== undefined;
    const reply = usesBox ? await this.#fetchWorkflow() : null;
    const story = reply?.status === 200
      ? reply.body as workflows.WorkflowReport
      : null;
    const sources = files.map((file) => this.#open(file));
    const trace = await traces.readTrace(this.id, sources);
    this.print(usesBox ? { ...trace, story } : trace, () => [
      ...(story === null ? [] : workflows.renderWorkflow(story)),
      ...traces.renderTrace(trace),
    ]);
    for (const line of traces.renderWarnings(trace)) this.printError(line);
    if (usesBox && reply === null) return exitCodes.ExitCode.Unreachable;
    if (usesBox && story === null) {
      this.printError("The box returned no state for this id.");
    }
    return story !== null || trace.lines.length > 0
      ? exitCodes.ExitCode.Ok
      : exitCodes.ExitCode.Refused;
  }

  /** Log files to read; none on a terminal without files, where a box is queried. */
  #listFiles(): readonly string[] {
    if (this.files.length > 0) return this.files;
    const { isTTY } = this.context.stdin as tty.ReadStream;
    return this.box !== undefined || isTTY ? [] : [STANDARD_INPUT];
  }

  #fetchWorkflow(): Promise<HttpJson.HttpResponse | null> {
    const id = encodeURIComponent(workflows.workflowIdOf(this.id));
    return this.callBox({ method: "GET", path: `${STATE_PATH}/${id}` });
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

/** Yields the lines of an input, which is opened when the first one is read. */
async function* readLines(
  open: () => stream.Readable,
): AsyncGenerator<string> {
  const input = open();
  yield* readline.createInterface({ input, crlfDelay: Infinity });
}

function isFile(file: string): boolean {
  return fs.statSync(file, { throwIfNoEntry: false })?.isFile() === true;
}
