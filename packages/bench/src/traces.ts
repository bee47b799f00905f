/**
 * Generates traces with the kinds of jobs that the users run: short diagnostics in
 * bursts, rebuilds of hours, nightly settlement gangs. Run times are log-normal, as
 * in job logs of shared clusters: most jobs are short and a few are very long.
 */
import type * as Types from "@cairngate/types";
import * as Float from "pure-rand/distribution/uniformFloat64";
import * as Xoroshiro from "pure-rand/generator/xoroshiro128plus";

/** One job of a trace; all times are in seconds, `at` from the trace's start. */
export interface TraceJob {
  readonly at: number;
  readonly team: string;
  readonly service: string;
  readonly tier: `${Types.Tier}`;
  readonly accelerators: number;
  readonly block: `${Types.Adjacency}`;
  readonly gang: number;
  readonly duration: number;
  readonly estimate: number | null;
  readonly repeatable: boolean;
  readonly checkpoint: number | null;
}

/** Names of the generated traces. */
export const TRACE_NAMES = [
  "normal",
  "burst",
  "night",
  "estimates-off",
  "no-estimates",
  "rack-lost",
  "target",
] as const;

/** Name of a generated trace. */
export type TraceName = (typeof TRACE_NAMES)[number];

const DAY_S = 86_400;
const ACCELERATORS = 8;

/** Seed, fleet size and example deployment of a generated trace. */
export interface TraceOptions {
  readonly seed: number;
  readonly workers: number;
  readonly deployment: "polni_data" | "dala_toll";
}

/** Seeded random source of a trace. */
class TraceRandom {
  readonly #generator: ReturnType<typeof Xoroshiro.xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = Xoroshiro.xoroshiro128plus(seed);
  }

  /** Returns a number in [0, 1). */
  unit(): number {
    return Float.uniformFloat64(this.#generator);
  }

  choose<T>(items: readonly T[]): T {
    return items[Math.floor(this.unit() * items.length)];
  }

  /** Draws from the exponential distribution. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.unit());
  }

  /** Draws from the log-normal distribution with the given median. */
  logNormal(median: number, sigma: number): number {
    const u = Math.max(1e-12, this.unit());
    const normal = Math.sqrt(-2 * Math.log(u)) *
      Math.cos(2 * Math.PI * this.unit());
    return median * Math.exp(sigma * normal);
  }
}

/** Generates a trace, sorted by time; the same options give the same trace. */
export function makeTrace(
  name: TraceName,
  options: TraceOptions,
): TraceJob[] {
  const random = new TraceRandom(options.seed);
  const jobs = name === "target"
    ? makeTarget(random, options)
    : makeDay(name, random, options);
  const estimated = jobs.map((job) => setEstimate(name, random, job));
  return estimated.sort((a, b) => a.at - b.at);
}

function setEstimate(
  name: TraceName,
  random: TraceRandom,
  job: TraceJob,
): TraceJob {
  if (name === "no-estimates") return { ...job, estimate: null };
  const spread = name === "estimates-off" ? 3 : 1.3;
  const factor = spread ** (2 * random.unit() - 1);
  return { ...job, estimate: job.duration * factor };
}

function makeDay(
  name: TraceName,
  random: TraceRandom,
  options: TraceOptions,
): TraceJob[] {
  const isPolni = options.deployment === "polni_data";
  const teams = isPolni
    ? ["coop_hana", "coop_slovacko", "coop_vysocina", "coop_valassko"]
    : ["gantry_west", "gantry_east", "gantry_south", "settlement_office"];
  const capacity = options.workers * ACCELERATORS;
  const jobs = [
    ...makeShort(random, { teams, perHour: isPolni ? 240 : 360, isPolni }),
    ...makeLong(random, { teams, capacity, isPolni }),
  ];
  if (name === "burst") jobs.push(...makeBurst(random, teams));
  if (name === "night" || !isPolni) jobs.push(...makeNight(random, capacity));
  return jobs;
}

/** Generates a day of short jobs, whose rate peaks at noon at twice the mean. */
function makeShort(
  random: TraceRandom,
  options: { teams: string[]; perHour: number; isPolni: boolean },
): TraceJob[] {
  const jobs: TraceJob[] = [];
  const gapS = 3600 / (options.perHour * 2);
  for (let at = 0; at < DAY_S; at += random.exponential(gapS)) {
    const load = 0.5 - 0.5 * Math.cos(2 * Math.PI * at / DAY_S);
    if (random.unit() > load) continue;
    jobs.push(makeShortJob(random, at, options));
  }
  return jobs;
}

function makeShortJob(
  random: TraceRandom,
  at: number,
  options: { teams: string[]; isPolni: boolean },
): TraceJob {
  const repeatable = random.unit() < 0.5;
  const polniService = repeatable ? "fleet_diagnostics" : "fault_scan";
  const dalaService = repeatable ? "gantry_replay" : "plate_match";
  return {
    at,
    team: random.choose(options.teams.slice(0, 2)),
    service: options.isPolni ? polniService : dalaService,
    tier: "urgent",
    accelerators: 1,
    block: "any",
    gang: 1,
    duration: random.logNormal(6, 0.6),
    estimate: null,
    repeatable,
    checkpoint: null,
  };
}

/** Generates a day of long jobs that use 85 % or 50 % of the capacity. */
function makeLong(
  random: TraceRandom,
  options: { teams: string[]; capacity: number; isPolni: boolean },
): TraceJob[] {
  const jobs: TraceJob[] = [];
  let remaining = options.capacity * DAY_S * (options.isPolni ? 0.85 : 0.5);
  while (remaining > 0) {
    const job = makeLongJob(random, random.unit() * DAY_S, options.teams);
    jobs.push(job);
    remaining -= job.duration * job.gang * job.accelerators;
  }
  return jobs;
}

function makeLongJob(
  random: TraceRandom,
  at: number,
  teams: string[],
): TraceJob {
  const size = random.choose([1, 1, 1, 2, 2, 4, 8, 16, 16, 32, 64]);
  const accelerators = Math.min(size, random.choose([1, 2, 4, 8]));
  const gang = Math.max(1, Math.floor(size / accelerators));
  const isGang = gang > 1;
  return {
    at,
    team: random.choose(teams),
    service: isGang ? "yield_map" : "soil_compaction",
    tier: random.unit() < 0.4 ? "standard" : "batch",
    accelerators,
    block: isGang ? "rack" : "any",
    gang,
    duration: Math.min(6 * 3600, 60 + random.logNormal(900, 1.2)),
    estimate: null,
    repeatable: true,
    checkpoint: 300,
  };
}

/** Generates four bursts of 600 small jobs within two minutes each, at random times. */
function makeBurst(random: TraceRandom, teams: string[]): TraceJob[] {
  const jobs: TraceJob[] = [];
  for (let burst = 0; burst < 4; burst++) {
    const start = random.unit() * DAY_S;
    const team = random.choose(teams);
    for (let i = 0; i < 600; i++) {
      const at = start + random.unit() * 120;
      const job = makeLongJob(random, at, [team]);
      const duration = random.logNormal(120, 0.8);
      const shape = { accelerators: 1, gang: 1, block: "any" as const };
      jobs.push({ ...job, ...shape, tier: "standard", duration });
    }
  }
  return jobs;
}

/** Generates settlement gangs of 32 and 64 accelerators between 0 and 4 o'clock. */
function makeNight(random: TraceRandom, capacity: number): TraceJob[] {
  const jobs: TraceJob[] = [];
  const gangs = Math.round(capacity / 20);
  for (let i = 0; i < gangs; i++) {
    jobs.push({
      at: random.unit() * 4 * 3600,
      team: "settlement_office",
      service: "night_settlement",
      tier: "standard",
      accelerators: 8,
      block: "rack",
      gang: random.choose([4, 8, 8]),
      duration: 600 + random.logNormal(1200, 0.7),
      estimate: null,
      repeatable: true,
      checkpoint: 300,
    });
  }
  return jobs;
}

/** Generates the target load: 40 teams, 9,000 jobs, about 20,000 tasks at the peak. */
function makeTarget(random: TraceRandom, options: TraceOptions): TraceJob[] {
  const teams = Array.from({ length: 40 }, (_, i) => `team_${i}`);
  const jobs: TraceJob[] = [];
  // Starts with a wave of small tasks, so that about 20,000 tasks run at once.
  const tasks = Math.round(options.workers * 6.2);
  for (let i = 0; i < tasks; i++) {
    jobs.push(makeTargetJob(random, { at: i * 0.02, teams, size: 1 }));
  }
  for (let i = 0; i < 9000; i++) {
    const size = random.choose([1, 1, 2, 4, 8, 16, 64]);
    const at = 600 + random.unit() * DAY_S;
    jobs.push(makeTargetJob(random, { at, teams, size }));
  }
  jobs.push(...makeShort(random, { teams, perHour: 120, isPolni: true }));
  return jobs;
}

function makeTargetJob(
  random: TraceRandom,
  options: { at: number; teams: string[]; size: number },
): TraceJob {
  const { at, size } = options;
  const accelerators = Math.min(8, size);
  const gang = Math.max(1, size / accelerators);
  return {
    at,
    team: random.choose(options.teams),
    service: "long",
    tier: random.unit() < 0.4 ? "standard" : "batch",
    accelerators,
    block: gang > 1 ? "rack" : "any",
    gang,
    duration: Math.min(12 * 3600, random.logNormal(5400, 0.7)),
    estimate: null,
    repeatable: true,
    checkpoint: 600,
  };
}
