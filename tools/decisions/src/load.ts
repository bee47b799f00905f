/** Loads: the resources of a fleet and the work that callers submit. */
import type * as Scheduler from "@cairngate/workflow-scheduler";

/** A queue and the work submitted to it. */
export interface QueueLoad {
  readonly queue: string;
  readonly priority: number;
  readonly attempts: number;
  readonly stretch: number;
  readonly latencyMs: number;
  /** Workflows per second without bursts. */
  readonly perSecond: number;
  /** Number of tasks in a step. */
  readonly width: { readonly mean: number; readonly max: number };
  readonly cpuMillis: number;
  readonly memoryMb: number;
  /** Possible numbers of accelerators of a task, each equally likely. */
  readonly accelerators: readonly number[];
  readonly runMs: {
    readonly mean: number;
    readonly spread: number;
    readonly max: number;
  };
  /** Maximum error of estimates, as a share of the run time. */
  readonly estimateError: number;
  /** Stragglers: the share of tasks that take `factor` times as long as the others. */
  readonly tail?: { readonly share: number; readonly factor: number };
  readonly gangShare: number;
  /** Share of the gangs that request a single rack. */
  readonly oneRackShare: number;
  readonly checkpointShare: number;
  /** Share of the steps whose data is in one rack. */
  readonly localDataShare: number;
  /** Value of a workflow of mean size that completes in time, and late. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** A span in which one queue or all queues get `factor` times as many workflows. */
export interface Burst {
  /** Null for all queues. */
  readonly queue: string | null;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly factor: number;
}

/** A fleet and its work. */
export interface Load {
  readonly name: string;
  readonly endpoints: number;
  readonly rackSize: number;
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly teams: number;
  /**
   * Exponent of the teams' sizes: guarantee and work of the n-th team are n^-skew times
   * those of the first. Default: equal guarantees, and most work from a few teams.
   */
  readonly teamSkew?: number;
  /** Share of all accelerators that are guaranteed to teams. */
  readonly guaranteedShare: number;
  /** Speeds of endpoints, in equal proportions. Default: all have speed 1. */
  readonly speeds?: readonly number[];
  /** Sine wave of the traffic; `swing` is a share of the mean. Default: none. */
  readonly wave?: { readonly swing: number; readonly periodMs: number };
  /** Duration of a stop, in ms. */
  readonly stopMs: number;
  /** Maximum work since the last checkpoint that a stop loses, in ms. */
  readonly checkpointMs: number;
  readonly queues: readonly QueueLoad[];
  readonly bursts: readonly Burst[];
  /** Kinds of hard load passed to the planner. Default: none. */
  readonly hardLoad?: Scheduler.HardLoad;
}

const ACCELERATOR_COUNTS: readonly number[] = [1, 2, 4, 8, 8];

/** Creates the users' three queues: map rebuilds, urgent diagnostics and batches. */
function createQueues(options: {
  readonly cpuMillis: number;
  readonly rebuild: Partial<QueueLoad>;
  readonly urgent: Partial<QueueLoad>;
  readonly batch: Partial<QueueLoad>;
}): QueueLoad[] {
  const { cpuMillis } = options;
  return [
    {
      queue: "rebuild",
      priority: 1,
      attempts: 4,
      stretch: 3,
      latencyMs: 1000,
      perSecond: 0.86,
      width: { mean: 13, max: 78 },
      cpuMillis: Math.round(cpuMillis * 0.406),
      memoryMb: 100_000,
      accelerators: ACCELERATOR_COUNTS,
      runMs: { mean: 8500, spread: 0.3, max: 11_000 },
      estimateError: 0.2,
      gangShare: 1,
      oneRackShare: 0.6,
      checkpointShare: 0.45,
      localDataShare: 0.3,
      worth: 3,
      lateWorth: 0.9,
      ...options.rebuild,
    },
    {
      queue: "urgent",
      priority: 0,
      attempts: 3,
      stretch: 1.5,
      latencyMs: 300,
      perSecond: 7.9,
      width: { mean: 5.4, max: 32 },
      cpuMillis: Math.round(cpuMillis * 0.117),
      memoryMb: 44_000,
      accelerators: ACCELERATOR_COUNTS,
      runMs: { mean: 2500, spread: 0.5, max: 8000 },
      estimateError: 0.2,
      gangShare: 1,
      oneRackShare: 0.8,
      checkpointShare: 0,
      localDataShare: 0,
      worth: 4,
      lateWorth: 0.8,
      ...options.urgent,
    },
    {
      queue: "batch",
      priority: 2,
      attempts: 2,
      stretch: 3,
      latencyMs: 3000,
      perSecond: 1.06,
      width: { mean: 39, max: 230 },
      cpuMillis: Math.round(cpuMillis * 0.086),
      memoryMb: 59_000,
      accelerators: [1],
      runMs: { mean: 6100, spread: 0.3, max: 11_000 },
      estimateError: 0.2,
      gangShare: 0,
      oneRackShare: 0,
      checkpointShare: 0.45,
      localDataShare: 0.12,
      worth: 1,
      lateWorth: 0.3,
      ...options.batch,
    },
  ];
}

/** Bursts of a heavy day: first of all queues, then of batches and of rebuilds. */
const HEAVY_BURSTS: readonly Burst[] = [
  { queue: null, fromMs: 6000, untilMs: 11_000, factor: 2 },
  { queue: "batch", fromMs: 16_000, untilMs: 20_000, factor: 2.6 },
  { queue: "rebuild", fromMs: 22_000, untilMs: 24_000, factor: 3 },
];

/** Endpoints of 128 cores; one rebuild task uses over half of an endpoint's memory. */
const WIDE_MEMORY: Load = {
  name: "wide-memory",
  endpoints: 245,
  rackSize: 8,
  cpuMillis: 128_000,
  memoryMb: 524_288,
  accelerators: 8,
  teams: 10,
  guaranteedShare: 0.6,
  stopMs: 150,
  checkpointMs: 500,
  queues: createQueues({
    cpuMillis: 128_000,
    rebuild: { memoryMb: 270_000 },
    urgent: { estimateError: 0.9 },
    batch: {},
  }),
  bursts: HEAVY_BURSTS,
};

/** Endpoints of 32 cores, where only accelerators are scarce. */
const EVEN: Load = {
  ...WIDE_MEMORY,
  name: "even",
  rackSize: 12,
  cpuMillis: 32_000,
  memoryMb: 131_072,
  stopMs: 600,
  queues: createQueues({
    cpuMillis: 32_000,
    rebuild: { memoryMb: 26_000, perSecond: 1.2 },
    urgent: { memoryMb: 11_000, perSecond: 6.1 },
    batch: { memoryMb: 11_000, runMs: { mean: 7600, spread: 0.3, max: 12e3 } },
  }),
};

/** A small fleet of endpoints like those of `EVEN`. */
const SMALL: Load = {
  ...EVEN,
  name: "small",
  endpoints: 33,
  rackSize: 8,
  teams: 4,
  queues: createQueues({
    cpuMillis: 32_000,
    rebuild: {
      memoryMb: 26_000,
      perSecond: 0.44,
      width: { mean: 5, max: 30 },
    },
    urgent: { memoryMb: 11_000, perSecond: 1.34, width: { mean: 3, max: 18 } },
    batch: {
      memoryMb: 11_000,
      perSecond: 0.413,
      width: { mean: 16, max: 90 },
    },
  }),
};

/** Teams of uneven sizes compete for endpoints whose memory runs out first. */
const COMPETING: Load = {
  ...WIDE_MEMORY,
  name: "competing",
  rackSize: 12,
  cpuMillis: 64_000,
  memoryMb: 131_072,
  teamSkew: 1.2,
  hardLoad: { teamsCompete: true, endpointsDiffer: false },
  guaranteedShare: 0.62,
  stopMs: 150,
  checkpointMs: 1000,
  queues: createQueues({
    cpuMillis: 64_000,
    rebuild: {
      attempts: 2,
      memoryMb: 38_000,
      perSecond: 0.94,
      runMs: { mean: 11_000, spread: 0.3, max: 11_000 },
      estimateError: 0.5,
    },
    urgent: { memoryMb: 20_000, perSecond: 5, latencyMs: 250 },
    batch: {
      attempts: 3,
      memoryMb: 8200,
      perSecond: 1.15,
      runMs: { mean: 7600, spread: 0.3, max: 11_000 },
      estimateError: 0.9,
    },
  }),
};

const LONG_TAIL = { share: 0.03, factor: 7 };

/** Uneven speeds, run times and traffic, on wide racks. */
const UNEVEN: Load = {
  ...WIDE_MEMORY,
  name: "uneven",
  rackSize: 20,
  guaranteedShare: 0.62,
  stopMs: 600,
  checkpointMs: 2000,
  speeds: [0.6, 1, 1.6],
  hardLoad: { teamsCompete: false, endpointsDiffer: true },
  wave: { swing: 0.55, periodMs: 13_000 },
  queues: createQueues({
    cpuMillis: 128_000,
    rebuild: {
      attempts: 3,
      memoryMb: 210_000,
      perSecond: 1.27,
      runMs: { mean: 7200, spread: 0.3, max: 76_000 },
      estimateError: 0.5,
      tail: LONG_TAIL,
    },
    urgent: {
      attempts: 4,
      memoryMb: 44_000,
      perSecond: 4.32,
      latencyMs: 250,
      runMs: { mean: 2100, spread: 0.5, max: 22_000 },
      tail: LONG_TAIL,
    },
    batch: {
      memoryMb: 33_000,
      perSecond: 1.56,
      runMs: { mean: 5200, spread: 0.3, max: 55_000 },
      estimateError: 0.5,
      tail: LONG_TAIL,
    },
  }),
};

/** Loads by name. */
export const LOADS: ReadonlyMap<string, Load> = new Map(
  [WIDE_MEMORY, EVEN, SMALL, COMPETING, UNEVEN].map((
    load,
  ) => [load.name, load]),
);
