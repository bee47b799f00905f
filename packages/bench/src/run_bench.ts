/** Compares the naive scheduler with the policies on one trace. */
import * as Config from "@cairngate/config";
import * as Naive from "@cairngate/naive";
import * as Scheduler from "@cairngate/scheduler";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as fs from "node:fs/promises";
import * as simulation from "./simulate.ts";
import * as traceFiles from "./trace_file.ts";
import * as traces from "./traces.ts";

/** Trace, deployment and policies to compare. */
export interface BenchOptions {
  readonly deployment: "polni_data" | "dala_toll";
  readonly seed: number;
  readonly trace: traces.TraceName;
  /** Path of a trace in JSON lines that replaces the generated one; null for none. */
  readonly traceFile: string | null;
  readonly policies: readonly Scheduler.PolicyName[];
  readonly workers: number;
}

/** Results by policy, and ratios of the default policy to the naive scheduler. */
export interface BenchReport {
  readonly deployment: string;
  readonly trace: string;
  readonly seed: number;
  readonly workers: number;
  readonly jobs: number;
  /** Total work ÷ capacity, in hours. */
  readonly workOverCapacityH: number;
  readonly policies: Readonly<Record<string, simulation.PolicyResult>>;
  readonly ratios: Ratios;
}

/** Results of the default policy ÷ those of the naive scheduler; NaN without it. */
export interface Ratios {
  readonly completionMean: number;
  readonly completionP99Urgent: number;
  readonly fragmentation: number;
  readonly gangWaitMax: number;
  /** Largest ratio of any team's mean completion time. */
  readonly worstTeam: number;
}

const WORKERS_PER_RACK = 8;
const ACCELERATORS = 8;

/** Runs the naive scheduler and the named policies on one trace. */
export async function runBench(options: BenchOptions): Promise<BenchReport> {
  const jobs = options.traceFile === null
    ? traces.makeTrace(options.trace, options)
    : traceFiles.parseTrace(await fs.readFile(options.traceFile, "utf8"));
  const layout = await makeLayout(options, jobs);
  const losses = options.trace === "rack-lost" ? makeRackLosses() : [];
  const run = (scheduler: Scheduler.SchedulerCore) =>
    simulation.simulate({ layout, scheduler, jobs, losses });
  const policies: Record<string, simulation.PolicyResult> = {
    naive: run(new Naive.NaiveScheduler(layout)),
  };
  for (const name of options.policies) {
    const selected = Scheduler.createPolicies(layout.weighting, name);
    policies[name] = run(new Scheduler.Scheduler(layout, selected));
  }
  const work = jobs.reduce(
    (sum, job) => sum + job.duration * job.gang * job.accelerators,
    0,
  );
  const capacity = options.workers * ACCELERATORS;
  return {
    deployment: options.deployment,
    trace: options.traceFile ?? options.trace,
    seed: options.seed,
    workers: options.workers,
    jobs: jobs.length,
    workOverCapacityH: work / capacity / 3600,
    policies,
    ratios: computeRatios(policies["naive"], policies["default"]),
  };
}

/** Builds one cell with the example's teams and the requested number of workers. */
async function makeLayout(
  options: BenchOptions,
  jobs: readonly traces.TraceJob[],
): Promise<Scheduler.CellLayout> {
  const file = `examples/${options.deployment}/deployment.yaml`;
  const text = await fs.readFile(file, "utf8");
  const cfg = await Effect.runPromise(Config.parseDeployment(text, file));
  const racks = makeRacks(options.workers);
  const cells = [{ name: "bench", racks: racks.map((rack) => rack.name) }];
  const isTarget = options.trace === "target" && options.traceFile === null;
  const configuredTeams = isTarget
    ? makeTargetTeams(options.workers)
    : cfg.teams;
  const teams = addUnknownTeams(configuredTeams, jobs, options.workers);
  return Scheduler.createCellLayout({ ...cfg, racks, cells, teams }, "bench");
}

function makeRacks(workers: number): Types.RackSpec[] {
  const count = Math.ceil(workers / WORKERS_PER_RACK);
  return Array.from({ length: count }, (_, rack) => ({
    name: `rack_${rack}`,
    dataCentre: "bench",
    workers: Array.from(
      { length: Math.min(8, workers - rack * WORKERS_PER_RACK) },
      (_, i) => ({
        name: `worker_${rack * WORKERS_PER_RACK + i}`,
        endpoint: "127.0.0.1:1",
        accelerators: ACCELERATORS,
      }),
    ),
  }));
}

function makeTargetTeams(workers: number): Types.TeamSpec[] {
  const blocks = Math.floor(workers / WORKERS_PER_RACK / 40 / 2);
  return Array.from({ length: 40 }, (_, i) => ({
    name: `team_${i}`,
    tier: Types.Tier.Urgent,
    guarantee: blocks > 0
      ? [{ accelerators: 64, count: blocks }, { accelerators: 8, count: 4 }]
      : [],
    cell: "bench",
    quota: workers * ACCELERATORS,
    waitingLimit: 100_000,
  }));
}

/** Adds the teams that only the trace has, without a guarantee. */
function addUnknownTeams(
  teams: readonly Types.TeamSpec[],
  jobs: readonly traces.TraceJob[],
  workers: number,
): Types.TeamSpec[] {
  const teamsByName = new Map(teams.map((team) => [team.name, team]));
  for (const { team: name } of jobs) {
    if (teamsByName.has(name)) continue;
    teamsByName.set(name, {
      name,
      tier: Types.Tier.Urgent,
      guarantee: [],
      cell: "bench",
      quota: 0,
      waitingLimit: 100_000,
    });
  }
  // The naive scheduler has no quotas, so the comparison raises them to the capacity.
  const quota = workers * ACCELERATORS;
  return [...teamsByName.values()].map((team) => ({
    ...team,
    cell: "bench",
    quota,
  }));
}

function makeRackLosses(): simulation.RackLoss[] {
  const hour = 3_600_000;
  return [
    { rack: 0, atMs: 6 * hour, untilMs: 8 * hour },
    { rack: 1, atMs: 14 * hour, untilMs: 15 * hour },
  ];
}

function computeRatios(
  naive: simulation.PolicyResult,
  policy: simulation.PolicyResult | undefined,
): Ratios {
  if (policy === undefined) {
    const missing = Number.NaN;
    return {
      completionMean: missing,
      completionP99Urgent: missing,
      fragmentation: missing,
      gangWaitMax: missing,
      worstTeam: missing,
    };
  }
  const tierP99 = (r: simulation.PolicyResult) =>
    r.completion["urgent"]?.p99 ?? 0;
  const teamRatios = Object.entries(naive.teams)
    .map(([team, seconds]) => (policy.teams[team] ?? 0) / seconds);
  return {
    completionMean: policy.completion["all"].mean /
      naive.completion["all"].mean,
    completionP99Urgent: tierP99(policy) / tierP99(naive),
    fragmentation: meanOf(policy.fragmentation) / meanOf(naive.fragmentation),
    gangWaitMax: policy.gangWaitMaxS / naive.gangWaitMaxS,
    worstTeam: Math.max(...teamRatios),
  };
}

function meanOf(values: Readonly<Record<string, number>>): number {
  const all = Object.values(values);
  return all.reduce((sum, v) => sum + v, 0) / Math.max(1, all.length);
}
