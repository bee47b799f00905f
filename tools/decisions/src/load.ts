/** Loads: what the fleet has and what callers ask for, as an operator's sheet says. */
import type * as Scheduler from "@cairngate/workflow-scheduler";

/** A queue and the work that comes in through it. */
export interface QueueLoad {
  readonly queue: string;
  readonly priority: number;
  readonly attempts: number;
  readonly stretch: number;
  readonly latencyMs: number;
  /** Workflows a second on an even day. */
  readonly perSecond: number;
  /** Tasks of a step. */
  readonly width: { readonly mean: number; readonly max: number };
  readonly cpuMillis: number;
  readonly memoryMb: number;
  /** Accelerators of a task; each is as likely as the others. */
  readonly accelerators: readonly number[];
  readonly runMs: {
    readonly mean: number;
    readonly spread: number;
    readonly max: number;
  };
  /** How far estimates are off, as a share of the time. */
  readonly estimateError: number;
  /** A share of the tasks takes so many times as long as the others. */
  readonly tail?: { readonly share: number; readonly factor: number };
  readonly gangShare: number;
  /** Share of the gangs that want one rack. */
  readonly oneRackShare: number;
  readonly checkpointShare: number;
  /** Share of the steps whose data lies in one rack. */
  readonly localDataShare: number;
  /** What a workflow of mean size is worth in time, and late. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** A burst: one queue, or all, comes so many times as often for a while. */
export interface Burst {
  /** Null: all queues. */
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
   * How uneven teams are: the n-th has paid for, and hands in, n^-skew times what the
   * first one does. Left out: equal guarantees, and a few teams that hand in more.
   */
  readonly teamSkew?: number;
  /** Share of all accelerators that teams have paid for. */
  readonly guaranteedShare: number;
  /** Speeds of endpoints; each is as likely as the others. Left out: all alike. */
  readonly speeds?: readonly number[];
  /** Traffic swings by this share about its mean. Left out: it is even. */
  readonly wave?: { readonly swing: number; readonly periodMs: number };
  /** Time that a stop takes, in ms. */
  readonly stopMs: number;
  /** Work since the last checkpoint that a stop loses at most, in ms. */
  readonly checkpointMs: number;
  readonly queues: readonly QueueLoad[];
  readonly bursts: readonly Burst[];
  /** Kinds of hard load that the planner is told of; left out: none. */
  readonly hardLoad?: Scheduler.HardLoad;
}

const ACCELERATOR_COUNTS: readonly number[] = [1, 2, 4, 8, 8];

/** Rebuilds of maps, diagnostics and batches, the users' three kinds of work. */
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

/** A burst of everything, then one of batches: a heavy day in short. */
const HEAVY_BURSTS: readonly Burst[] = [
  { queue: null, fromMs: 6000, untilMs: 11_000, factor: 2 },
  { queue: "batch", fromMs: 16_000, untilMs: 20_000, factor: 2.6 },
  { queue: "rebuild", fromMs: 22_000, untilMs: 24_000, factor: 3 },
];

/** Endpoints of 128 cores; one rebuild takes over half of an endpoint's memory. */
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

/** Endpoints of 32 cores, where accelerators alone are scarce. */
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

/** A small fleet of the same kind. */
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

/** Uneven teams compete for endpoints whose memory runs out first. */
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

/** Endpoints, work and demand are uneven, and racks are wide. */
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
