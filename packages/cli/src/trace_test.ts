/** Traces of one id from several logs and from a box. */
import * as HttpJson from "@cairngate/http-json";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as fs from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as stream from "node:stream";
import * as Clipanion from "clipanion";
import * as vitest from "vitest";
import * as exitCodes from "./exit_codes.ts";
import * as traces from "./trace.ts";
import * as commands from "./trace_command.ts";

const ID = "5c0e7a21d94b36f8";
const at = (s: string) => `2026-09-26T05:49:${s}Z`;
const text = (s: string, message: string) =>
  `${at(s)} info  [coordinator] ${message}`;
const json = (s: string, message: string) =>
  JSON.stringify({
    at: at(s),
    box: "box-7",
    level: "info",
    part: "node",
    message,
  });

async function* iterate(lines: readonly string[]): AsyncGenerator<string> {
  yield* lines;
}

const source = (name: string, lines: readonly string[]) => ({
  name,
  lines: iterate(lines),
});

vitest.describe("a trace", () => {
  vitest.it("merges text and JSON of several boxes by time", async () => {
    const trace = await traces.readTrace(ID, [
      source("box-1", [
        text("34.100", `Run 1 of ${ID}.0.0.3 on i-1: broken.`),
        text("34.300", `Workflow ${ID} is cancelled.`),
        text("34.301", "Workflow 0000000000000000 is cancelled."),
      ]),
      source("box-2", [json("34.200", `Job ${ID} moves.`)]),
    ]);
    vitest.expect(trace.lines.map(({ box }) => box))
      .toEqual(["box-1", "box-7", "box-1"]);
    vitest.expect(traces.renderTrace(trace)).toEqual([
      `${ID} from ${at("34.100")} on, in seconds:`,
      `    +0.000  box-1  [coordinator] Run 1 of ${ID}.0.0.3 on i-1: broken.`,
      `    +0.100  box-7  [node] Job ${ID} moves.`,
      `    +0.200  box-1  [coordinator] Workflow ${ID} is cancelled.`,
    ]);
  });

  vitest.it("does not match ids that only share a prefix", async () => {
    const lines = [
      text("34.1", `Run 1 of ${ID}.0.0.17: lost.`),
      text("34.2", `Run 1 of ${ID}.0.0.1: lost.`),
      text("34.3", `Run 1 of a${ID}.0.0.1: lost.`),
    ];
    const trace = await traces.readTrace(`${ID}.0.0.1`, [source("b", lines)]);
    vitest.expect(trace.lines.map((line) => line.at)).toEqual([at("34.2")]);
  });

  vitest.it("counts and reports lines that are not log lines", async () => {
    const lines = ["", "no log", "{broken", text("34.1", `Job ${ID}.`)];
    const trace = await traces.readTrace(ID, [source("box-1", lines)]);
    vitest.expect(trace.lines).toHaveLength(1);
    vitest.expect(traces.renderWarnings(trace)).toEqual([
      "box-1: 2 lines are not log lines and were skipped.",
    ]);
  });

  vitest.it("limits the number of lines", async () => {
    const lines = Array.from({ length: 50 }, () => text("34.1", `Job ${ID}.`));
    const trace = await traces.readTrace(ID, [source("box-1", lines)], 10);
    vitest.expect(trace.lines).toHaveLength(10);
    vitest.expect(trace.leftOut).toBe(40);
  });
});

vitest.describe("the trace command", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "cairngate-trace-"));
  const file = path.join(folder, "box-1.log");

  vitest.beforeAll(() => {
    fs.writeFileSync(file, `${text("34.1", `Workflow ${ID} waits.`)}\n`);
  });
  vitest.afterAll(() => fs.rmSync(folder, { recursive: true }));

  async function run(args: readonly string[], isTerminal = false) {
    const stdout = new stream.PassThrough();
    const cli = new Clipanion.Cli();
    cli.register(commands.TraceCommand);
    const stdin = Object.assign(
      stream.Readable.from([`${text("34.1", `Job ${ID}.`)}\n`]),
      { isTTY: isTerminal },
    );
    const code = await cli.run(["trace", ...args], {
      stdout,
      stdin: stdin as unknown as NodeJS.ReadStream,
    });
    stdout.end();
    return { code, text: String(stdout.read() ?? "") };
  }

  vitest.it("reads files and standard input", async () => {
    const fromFile = await run([ID, file]);
    vitest.expect(fromFile.code).toBe(exitCodes.ExitCode.Ok);
    vitest.expect(fromFile.text).toContain(`Workflow ${ID} waits.`);
    const fromPipe = await run([ID]);
    vitest.expect(fromPipe.text).toContain(`Job ${ID}.`);
  });

  vitest.it("returns codes for unknown ids and missing files", async () => {
    const unknown = await run(["0000000000000000", file]);
    vitest.expect(unknown.code).toBe(exitCodes.ExitCode.Refused);
    const noFile = await run([ID, path.join(folder, "none.log")]);
    vitest.expect(noFile.code).toBe(exitCodes.ExitCode.Invalid);
  });

  /** Starts a box with one workflow; records the requested paths. */
  async function startBox() {
    const requestedPaths: string[] = [];
    const server = http.createServer((req, res) => {
      requestedPaths.push(req.url ?? "");
      const isKnown = req.url === `/state/${ID}`;
      const runs = [{ sentence: "run 3 on i-1 ended as crashed." }];
      const crashes = { laid: 3, excused: 0, unseen: 0 };
      const task = `${ID}.0.0.3`;
      const known = { reason: "crashes", task, run: 3, failures: 0, crashes };
      const giveUp = { ...known, runs, isPartial: false };
      const body = isKnown
        ? { id: ID, state: "failed", giveUp }
        : { detail: "The store knows no such workflow." };
      HttpJson.sendJson(res, isKnown ? 200 : 404, { body });
    });
    const address = `127.0.0.1:${await TestUtils.findFreePort()}`;
    await Effect.runPromise(HttpJson.listen(server, address));
    const close = () => {
      server.close();
      server.closeAllConnections();
    };
    return { address, requestedPaths, close };
  }

  vitest.it("queries a box for the runs of a workflow given up", async () => {
    const box = await startBox();
    const found = await run([`${ID}.0.0.3`, "--box", box.address]);
    vitest.expect(found.code).toBe(exitCodes.ExitCode.Ok);
    vitest.expect(found.text).toContain("given up for crashes");
    vitest.expect(found.text).toContain("  run 3 on i-1 ended as crashed.");
    vitest.expect(found.text).not.toContain("No log line mentions");
    vitest.expect(box.requestedPaths).toEqual([`/state/${ID}`]);
    box.close();
  });

  vitest.it("queries a box on a terminal without files", async () => {
    const box = await startBox();
    vitest.vi.stubEnv("CAIRNGATE_OPERATORS", box.address);
    const found = await run([ID], true);
    vitest.vi.unstubAllEnvs();
    vitest.expect(found.text).toContain("given up for crashes");
    vitest.expect(found.text).not.toContain(`Job ${ID}.`);
    box.close();
  });

  vitest.it("prints the workflow's state before the log lines", async () => {
    const box = await startBox();
    const found = await run([ID, file, "--box", box.address, "--json"]);
    const body = JSON.parse(found.text);
    vitest.expect(body.story.giveUp.task).toBe(`${ID}.0.0.3`);
    vitest.expect(body.lines).toHaveLength(1);
    box.close();
  });

  vitest.it("prints log lines even if the box does not respond", async () => {
    const address = `127.0.0.1:${await TestUtils.findFreePort()}`;
    const found = await run([ID, file, "--box", address]);
    vitest.expect(found.text).toContain(`Workflow ${ID} waits.`);
    vitest.expect(found.code).toBe(exitCodes.ExitCode.Unreachable);
  });

  vitest.it(
    "returns an exit code if the box has no such workflow",
    async () => {
      const box = await startBox();
      const found = await run(["0000000000000000", "--box", box.address]);
      vitest.expect(found.code).toBe(exitCodes.ExitCode.Refused);
      const args = ["0000000000000000", file, "--box", box.address, "--json"];
      const inLogs = await run(args);
      vitest.expect(inLogs.code).toBe(exitCodes.ExitCode.Refused);
      vitest.expect(JSON.parse(inLogs.text).story).toBeNull();
      box.close();
    },
  );
});
