/** `cairngate submit`: submits a job. */
import * as Clipanion from "clipanion";
import process from "node:process";
import * as base from "./base_command.ts";
import * as exitCodes from "./exit_codes.ts";

interface JobBody {
  readonly jobId: string;
  readonly state?: string;
  readonly outcome: string | null;
  readonly result: unknown;
  readonly reason?: string | null;
}

const FINAL_STATES = new Set([
  "done",
  "failed",
  "cancelled",
  "not-run",
  "unknown",
]);
const LONG_POLL_S = 2;

/** Submits a job and, with `--wait`, waits for its end. */
export class SubmitCommand extends base.BaseCommand {
  static override paths = [["submit"]];
  static override usage = Clipanion.Command.Usage({
    description: "Submit a job",
    examples: [
      [
        "Scan for fault codes and wait",
        "cairngate submit --team coop_hana --service fault_scan " +
        `--input '{"readings":[]}' --wait`,
      ],
      [
        "Store a gang of 16",
        "cairngate submit --team coop_hana --service yield_map --gang 16",
      ],
    ],
  });
  team = Clipanion.Option.String("--team", { required: true });
  service = Clipanion.Option.String("--service", { required: true });
  input = Clipanion.Option.String("--input", {
    description: "Input as JSON",
  });
  gang = Clipanion.Option.String("--gang");
  accelerators = Clipanion.Option.String("--accelerators");
  adjacency = Clipanion.Option.String("--adjacency", {
    description: "any, worker or rack",
  });
  key = Clipanion.Option.String("--key", {
    description: "Idempotency key; repeated submissions with a key are one job",
  });
  wait = Clipanion.Option.Boolean("--wait", false, {
    description: "Wait for the end and show progress",
  });

  override async execute(): Promise<number> {
    const body = this.#buildBody();
    if (body === null) return exitCodes.ExitCode.Invalid;
    const headers: Record<string, string> = {};
    if (this.key !== undefined) headers["idempotency-key"] = this.key;
    const reply = await this.callCallersApi({
      method: "POST",
      path: "/v1/jobs",
      body,
      headers,
    });
    if (reply === null) return exitCodes.ExitCode.Unknown;
    if (reply.status !== 200 && reply.status !== 202) return this.fail(reply);
    let job = reply.body as JobBody;
    if (this.wait) job = await this.#awaitEnd(job);
    this.print(job, () => formatJob(job));
    return exitCodeOf(job);
  }

  /** Null if an argument is not valid. */
  #buildBody(): Record<string, unknown> | null {
    const body: Record<string, unknown> = {
      team: this.team,
      service: this.service,
    };
    if (this.gang !== undefined) body["gang"] = Number(this.gang);
    if (this.accelerators !== undefined) {
      body["accelerators"] = Number(this.accelerators);
    }
    if (this.adjacency !== undefined) body["adjacency"] = this.adjacency;
    if (this.input === undefined) return body;
    try {
      return { ...body, input: JSON.parse(this.input) as unknown };
    } catch {
      this.printError("--input must be valid JSON.");
      return null;
    }
  }

  async #awaitEnd(first: JobBody): Promise<JobBody> {
    let job = first;
    let shownState = "";
    while (job.state !== undefined && !FINAL_STATES.has(job.state)) {
      if (job.state !== shownState) this.#showProgress(job);
      shownState = job.state;
      const next = await this.callCallersApi({
        method: "GET",
        path: `/v1/jobs/${encodeURIComponent(job.jobId)}`,
        headers: { prefer: `wait=${LONG_POLL_S}` },
      });
      if (next === null || next.status !== 200) break;
      job = next.body as JobBody;
    }
    return job;
  }

  #showProgress(job: JobBody): void {
    if (process.stderr.isTTY !== true) return;
    this.context.stderr.write(`${job.jobId}: ${job.state}\n`);
  }
}

function formatJob(job: JobBody): string[] {
  const state = job.state ?? job.outcome ?? "accepted";
  const lines = [`${job.jobId}: ${state}`];
  if (job.reason) lines.push(`  because ${job.reason}`);
  if (job.result !== null && job.result !== undefined) {
    lines.push(`  ${JSON.stringify(job.result)}`);
  }
  return lines;
}

function exitCodeOf(job: JobBody): exitCodes.ExitCode {
  if (job.outcome === "unknown") return exitCodes.ExitCode.Unknown;
  if (job.outcome === "not-run") return exitCodes.ExitCode.Refused;
  return exitCodes.ExitCode.Ok;
}
