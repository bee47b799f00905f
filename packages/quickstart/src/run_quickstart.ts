/**
 * Starts one box on stand-ins, applies an example deployment, submits short jobs,
 * batch jobs and a gang that preempts one of them, and prints each decision with
 * its reason.
 */
import * as Config from "@cairngate/config";
import * as Daemon from "@cairngate/daemon";
import * as HttpJson from "@cairngate/http-json";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as fs from "node:fs/promises";
import process from "node:process";
import * as timers from "node:timers/promises";

const EXAMPLE = "examples/polni_data/deployment.yaml";
const SHORT_JOB_COUNT = 20;
/** Jobs of 16 accelerators; together they use all 240 of the example. */
const BATCH_JOB_COUNT = 15;
const BATCH_TEAMS = ["coop_slovacko", "coop_vysocina", "coop_valassko"];
const MAX_READY_POLLS = 200;
const POLL_INTERVAL_MS = 50;

const SETTINGS = `
box: quickstart
dataCentre: brno
deployment: polni_data
callersAddress: 127.0.0.1:7191
operatorsAddress: 127.0.0.1:7192
peersAddress: 127.0.0.1:7193
platformAddress: 127.0.0.1:7190
logLevel: error
`;

/** Fields of the callers' API answer to a job submission. */
interface JobAnswer {
  readonly jobId: string;
  readonly outcome: string | null;
  readonly result: { readonly request?: string } | null;
}

/** HTTP client of the quickstart's box. */
class QuickstartClient {
  readonly #caller = new HttpJson.HttpCaller({ connections: SHORT_JOB_COUNT });
  readonly #settings: Config.BoxSettings;

  constructor(settings: Config.BoxSettings) {
    this.#settings = settings;
  }

  /** Closes the connections. */
  close(): void {
    this.#caller.close();
  }

  /** Submits a job; with `waitSeconds` 0 it doesn't ask to wait for the end. */
  async submit(body: unknown, waitSeconds = 0): Promise<JobAnswer> {
    const reply = await Effect.runPromise(
      this.#caller.call(this.#settings.callersAddress, {
        method: "POST",
        path: "/v1/jobs",
        body,
        headers: waitSeconds > 0 ? { prefer: `wait=${waitSeconds}` } : {},
      }),
    );
    return reply.body as JobAnswer;
  }

  /** Calls the operators' API. */
  async callOperators<A>(req: HttpJson.HttpCall): Promise<A> {
    const reply = await Effect.runPromise(
      this.#caller.call(this.#settings.operatorsAddress, req),
    );
    return reply.body as A;
  }

  /** Reads the explanation of a job's state and history. */
  explain(jobId: string): Promise<Types.Explanation> {
    const path = `/v1/jobs/${encodeURIComponent(jobId)}/explain`;
    return this.callOperators<Types.Explanation>({ method: "GET", path });
  }

  /** Waits until the cell's owner has fenced all workers; false on timeout. */
  async awaitReady(): Promise<boolean> {
    for (let i = 0; i < MAX_READY_POLLS; i++) {
      const status = await this.callOperators<{ cells?: Types.CellStatus[] }>({
        method: "GET",
        path: "/v1/status",
      });
      const [cell] = status.cells ?? [];
      if (cell !== undefined && cell.sealedWorkers === cell.workers) {
        return true;
      }
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
    return false;
  }
}

/** Runs the quickstart and returns the process's exit code. */
export async function runQuickstart(): Promise<number> {
  const text = await fs.readFile(EXAMPLE, "utf8");
  const settings = await Effect.runPromise(
    Config.parseSettings(SETTINGS, "quickstart"),
  );
  const daemon = await Effect.runPromise(
    Daemon.startDaemon({ settings, embeddedFile: text }),
  );
  const client = new QuickstartClient(settings);
  try {
    return await runSteps(client, text);
  } finally {
    client.close();
    await Effect.runPromise(daemon.stop());
  }
}

async function runSteps(
  client: QuickstartClient,
  text: string,
): Promise<number> {
  show(`1. Apply ${EXAMPLE}`);
  const body = { text, basedOn: 0, applyId: "quickstart" };
  await client.callOperators({ method: "POST", path: "/v1/config", body });
  if (!await client.awaitReady()) {
    show("   Timeout: no owner of the cell has fenced all its workers.");
    return 1;
  }
  const areAnswered = await runShortJobs(client);
  await fillWithBatchWork(client);
  const isPlaced = await claimGuarantee(client);
  return areAnswered && isPlaced ? 0 : 1;
}

async function runShortJobs(client: QuickstartClient): Promise<boolean> {
  show(
    `2. ${SHORT_JOB_COUNT} fault scans, each answered while its driver waits`,
  );
  const jobs = Array.from({ length: SHORT_JOB_COUNT }, (_, i) =>
    client.submit({
      team: "coop_hana",
      service: "fault_scan",
      input: {
        request: `scan-${i}`,
        readings: [{ code: `E${i}`, value: i, limit: 9 }],
      },
    }));
  const answers = await Promise.all(jobs);
  const matching = answers.filter((a, i) => a.result?.request === `scan-${i}`);
  show(
    `   ${matching.length} of ${SHORT_JOB_COUNT} answers belong to their request`,
  );
  return matching.length === SHORT_JOB_COUNT;
}

/** Submits long batch jobs that use all the capacity that no team has claimed. */
async function fillWithBatchWork(client: QuickstartClient): Promise<void> {
  show("3. Batch work of three teams fills the racks");
  for (let i = 0; i < BATCH_JOB_COUNT; i++) {
    const team = BATCH_TEAMS[i % BATCH_TEAMS.length];
    await client.submit({
      team,
      service: "soil_compaction",
      input: { runMs: 3_600_000, grid: [1, 2, 3] },
    });
  }
  await timers.setTimeout(500);
  const status = await client.callOperators<{ cells: Types.CellStatus[] }>({
    method: "GET",
    path: "/v1/status",
  });
  for (const rack of status.cells[0].racks) {
    show(`   ${rack.name}  ${rack.workers.join(" ")}`);
  }
  show("   (. free, g guaranteed, o opportunistic)");
}

async function claimGuarantee(client: QuickstartClient): Promise<boolean> {
  show("4. coop_hana claims its guaranteed block with a gang of 16");
  const gang = await client.submit({
    team: "coop_hana",
    service: "yield_map",
    gang: 16,
    accelerators: 2,
    input: { runMs: 1500, grid: [1, 2, 3, 4] },
  });
  await timers.setTimeout(700);
  const found = await client.explain(gang.jobId);
  show(`   gang ${gang.jobId}: ${found.state} on ${found.workers.join(", ")}`);
  for (const { kind, detail } of found.history) show(`     ${kind}: ${detail}`);
  await showYieldedJob(client, gang.jobId);
  return found.entitlement !== null;
}

async function showYieldedJob(
  client: QuickstartClient,
  claimant: string,
): Promise<void> {
  const dump = await client.callOperators<
    { cells: { jobs: { id: string }[] }[] }
  >({
    method: "GET",
    path: "/debug/dump",
  });
  for (const { id } of dump.cells[0].jobs) {
    const found = await client.explain(id);
    const yielded = (found.history ?? []).find((r) =>
      r.detail.includes(claimant)
    );
    if (yielded === undefined) continue;
    show(`   job ${id} of ${found.team} yielded; it is ${found.state}:`);
    for (const reason of found.waitsFor) show(`     waits: ${reason.detail}`);
    return;
  }
}

function show(line: string): void {
  process.stdout.write(`${line}\n`);
}
