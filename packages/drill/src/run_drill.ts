/** Runs a drill: starts the load, injects faults and counts the results. */
import * as LocalCluster from "@cairngate/local-cluster";
import * as StandIns from "@cairngate/stand-ins";
import * as Xoroshiro from "pure-rand/generator/xoroshiro128plus";
import * as timers from "node:timers/promises";
import type * as reports from "./drill_report.ts";
import * as faults from "./faults.ts";
import * as loads from "./load.ts";
import * as watches from "./version_watch.ts";

/** Size, duration, seed and ports of a drill. */
export interface DrillOptions {
  readonly seed: number;
  readonly boxes: number;
  readonly minutes: number;
  readonly workers: number;
  readonly port: number;
  readonly logFolder: string | null;
}

/** Default number of workers. */
export const DEFAULT_WORKERS = 16;
/** Default first port; a drill uses up to 300 ports after it. */
export const DEFAULT_PORT = 8500;
const WORKER_PORT_OFFSET = 200;
const LONG_WAIT_S = 30;
/**
 * A gap between starts counts for a kill or pause if it begins at most this long after
 * it. The next fault follows after 3.7 s at the earliest.
 */
const GAP_WINDOW_MS = 3000;
const SETTLE_MS = 3000;

/** Runs one drill and stops every process that it started. */
export async function runDrill(
  options: DrillOptions,
): Promise<reports.DrillReport> {
  const random = Xoroshiro.xoroshiro128plus(options.seed);
  const cluster = createCluster(options);
  try {
    await cluster.start();
    const load = new loads.Load(cluster, random);
    const injector = new faults.FaultInjector({ cluster, load, random });
    const watch = new watches.VersionWatch(cluster);
    const startMs = Date.now();
    const running = load.run();
    const watching = watch.run();
    await timers.setTimeout(SETTLE_MS);
    await injector.run(startMs + options.minutes * 60_000);
    await timers.setTimeout(SETTLE_MS);
    load.stop();
    await running;
    watch.stop();
    await watching;
    const longEnded = await awaitLongJobs(cluster, load.record.longIds);
    const runLog = await readRunLog(cluster);
    const seconds = (Date.now() - startMs) / 1000;
    return makeReport({
      options,
      seconds,
      load: load.record,
      log: injector.log,
      longEnded,
      runLog,
      reversals: watch.reversals,
    });
  } finally {
    await cluster.stop();
  }
}

function createCluster(options: DrillOptions): LocalCluster.LocalCluster {
  const text = LocalCluster.makeDeployment({
    name: "drill",
    workers: options.workers,
    teams: 2,
    cells: 1,
    firstWorkerPort: options.port + WORKER_PORT_OFFSET,
  });
  return new LocalCluster.LocalCluster({
    boxes: options.boxes,
    deployment: "drill",
    deploymentText: text,
    cells: ["cell_0"],
    firstPort: options.port,
    logFolder: options.logFolder,
  });
}

/** Counts long jobs by final state; jobs that did not end count as "lost (state)". */
async function awaitLongJobs(
  cluster: LocalCluster.LocalCluster,
  ids: readonly string[],
): Promise<Record<string, number>> {
  const ended: Record<string, number> = {};
  const [box] = cluster.runningBoxes();
  await Promise.all(ids.map(async (id) => {
    const reply = await cluster.client.call(cluster.callersAddress(box), {
      method: "GET",
      path: `/v1/jobs/${id}`,
      headers: { prefer: `wait=${LONG_WAIT_S}` },
    });
    const state = String(reply.body["state"] ?? "lost");
    const isEnded = ["done", "unknown", "not-run"].includes(state);
    const name = isEnded ? state : `lost (${state})`;
    ended[name] = (ended[name] ?? 0) + 1;
  }));
  return ended;
}

async function readRunLog(
  cluster: LocalCluster.LocalCluster,
): Promise<StandIns.ExecutionEntry[]> {
  const reply = await cluster.client.get(cluster.platformAddress, "/ledger");
  return Object.values(reply.body) as StandIns.ExecutionEntry[];
}

interface ReportParts {
  readonly options: DrillOptions;
  readonly seconds: number;
  readonly load: loads.LoadRecord;
  readonly log: faults.FaultLog;
  readonly longEnded: Readonly<Record<string, number>>;
  readonly runLog: readonly StandIns.ExecutionEntry[];
  readonly reversals: number;
}

function makeReport(parts: ReportParts): reports.DrillReport {
  const { load, log, runLog } = parts;
  const summary = StandIns.summarizeRunLog(runLog);
  const started = new Set(
    runLog.filter((e) => e.event === StandIns.ExecutionEvent.Started)
      .map((e) => e.jobId),
  );
  const lost = Object.entries(parts.longEnded)
    .filter(([state]) => state.startsWith("lost"))
    .reduce((sum, [, count]) => sum + count, 0);
  const urgent = urgentStarts(runLog);
  return {
    seed: parts.options.seed,
    seconds: Math.round(parts.seconds),
    faults: log.names,
    submitted: load.submitted,
    answered: load.answered,
    notRun: load.notRunIds.length,
    unknown: load.unknown,
    refused: load.refused,
    longAccepted: load.longIds.length,
    longEnded: parts.longEnded,
    forbidden: {
      wrongAnswers: load.wrongAnswers,
      doubledUnrepeatable: summary.repeatedStarts.length,
      notRunButRan: load.notRunIds.filter((id) => started.has(id)).length,
      partialGangs: summary.partialGangs.length,
      lostJobs: lost,
      configReversals: parts.reversals,
      cutRequests: load.cutRequests,
    },
    urgentGapKillMs: longestGap(urgent, eventsOf(log, "kill")),
    urgentGapPauseMs: longestGap(urgent, eventsOf(log, "pause")),
    urgentGapAnyMs: longestGap(urgent, null),
    leavingLastNewWorkMs: lastNewWork(runLog, log),
    config: {
      applied: log.applied,
      conflicts: log.conflicts,
      ...summarizeTimes(log.inForceMs),
    },
  };
}

function urgentStarts(runLog: readonly StandIns.ExecutionEntry[]): number[] {
  return runLog
    .filter((e) => e.event === StandIns.ExecutionEvent.Started && e.gang === 1)
    .map((e) => e.atMs)
    .sort((a, b) => a - b);
}

function eventsOf(log: faults.FaultLog, kind: string): number[] {
  return log.owners.filter((e) => e.kind === kind).map((e) => e.atMs);
}

/** Returns the longest time between starts around some events, or overall (null). */
function longestGap(
  starts: readonly number[],
  eventTimes: readonly number[] | null,
): number {
  let longest = 0;
  for (let i = 1; i < starts.length; i++) {
    const isNear = eventTimes === null ||
      eventTimes.some((atMs) =>
        starts[i] >= atMs && starts[i - 1] <= atMs + GAP_WINDOW_MS
      );
    if (isNear) longest = Math.max(longest, starts[i] - starts[i - 1]);
  }
  return longest;
}

function summarizeTimes(
  times: readonly number[],
): { p50Ms: number; p99Ms: number; maxMs: number } {
  const sorted = [...times].sort((a, b) => a - b);
  const percentile = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
  return {
    p50Ms: percentile(0.5),
    p99Ms: percentile(0.99),
    maxMs: percentile(1),
  };
}

/** Returns how long after being marked as leaving a worker last got new work, in ms. */
function lastNewWork(
  runLog: readonly StandIns.ExecutionEntry[],
  log: faults.FaultLog,
): number {
  let latest = 0;
  for (const { worker, atMs, untilMs } of log.leavingPeriods) {
    for (const entry of runLog) {
      if (entry.event !== StandIns.ExecutionEvent.Held) continue;
      if (entry.worker !== worker) continue;
      if (entry.atMs < atMs || entry.atMs > untilMs) continue;
      latest = Math.max(latest, entry.atMs - atMs);
    }
  }
  return latest;
}
