/** Generates the random workflows of a load. */
import * as Workflow from "@cairngate/workflow";
import * as Float from "pure-rand/distribution/uniformFloat64";
import * as Xoroshiro from "pure-rand/generator/xoroshiro128plus";
import type * as loads from "./load.ts";

/** A workflow and the time of its submission. */
export interface Arrival {
  readonly atMs: number;
  readonly workflow: Workflow.Workflow;
  readonly queue: loads.QueueLoad;
  /** Actual run times of the tasks near their data, by key. */
  readonly runMs: ReadonlyMap<string, number>;
  /** Maximum time to completion that the caller accepts, by actual run times. */
  readonly objectiveMs: number;
  /** Value if completed within the objective. */
  readonly worth: number;
  /** Core-seconds of all tasks; accelerators count as eight cores. */
  readonly work: number;
}

/** Random numbers that are reproducible from a seed. */
export class SeededRandom {
  readonly #generator: ReturnType<typeof Xoroshiro.xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = Xoroshiro.xoroshiro128plus(seed);
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  next(): number {
    return Float.uniformFloat64(this.#generator);
  }

  /** Returns the time between two events of a Poisson process, in ms. */
  sampleGapMs(perSecond: number): number {
    return -Math.log(1 - this.next()) / perSecond * 1000;
  }

  /** Returns a value around a mean, mostly within the share `spread` of it. */
  sampleAround(mean: number, spread: number, max: number): number {
    const sum = this.next() + this.next() + this.next() - 1.5;
    return Math.min(max, Math.max(mean * 0.1, mean * (1 + spread * 2 * sum)));
  }

  /** Returns a rounded exponential value from 1 to `max`. */
  sampleWidth(mean: number, max: number): number {
    const drawn = Math.ceil(-Math.log(1 - this.next()) * mean);
    return Math.min(max, Math.max(1, drawn));
  }

  /** Returns one element with equal probability. */
  choose<T>(from: readonly T[]): T {
    return from[Math.floor(this.next() * from.length)];
  }
}

/** Weight of an accelerator in cores, as counted by the users. */
export const ACCELERATOR_WEIGHT = 8;

/** Generates all workflows submitted within a time. */
export function drawArrivals(
  load: loads.Load,
  seed: number,
  lengthMs: number,
): Arrival[] {
  const arrivals = load.queues.flatMap((queue, i) => {
    const draws = new SeededRandom(seed * 31 + i);
    const drawn: Arrival[] = [];
    const peak = Math.max(
      1,
      ...load.bursts.map(({ factor }) => factor),
    ) * (1 + (load.wave?.swing ?? 0));
    let atMs = draws.sampleGapMs(queue.perSecond * peak);
    while (atMs < lengthMs) {
      // Thinned from the highest rate, so that bursts don't change other random values.
      const isKept = draws.next() < rateAt(load, queue, atMs) / peak;
      if (isKept) drawn.push(drawArrival({ load, queue, draws, atMs }));
      atMs += draws.sampleGapMs(queue.perSecond * peak);
    }
    return drawn;
  });
  arrivals.sort((a, b) => a.atMs - b.atMs);
  return scaleWorth(arrivals);
}

function rateAt(
  load: loads.Load,
  queue: loads.QueueLoad,
  atMs: number,
): number {
  const { wave } = load;
  const waveFactor = wave === undefined
    ? 1
    : 1 + wave.swing * Math.sin(2 * Math.PI * atMs / wave.periodMs);
  return load.bursts
    .filter((burst) =>
      (burst.queue === null || burst.queue === queue.queue) &&
      burst.fromMs <= atMs && atMs < burst.untilMs
    )
    .reduce((rate, { factor }) => rate * factor, waveFactor);
}

/** Returns the share of each team in all guarantees and in all work. */
export function teamShares(load: loads.Load): readonly number[] {
  const skew = load.teamSkew ?? 0;
  const weights = Array.from(
    { length: load.teams },
    (_, i) => (i + 1) ** -skew,
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  return weights.map((weight) => weight / sum);
}

function drawTeam(load: loads.Load, draws: SeededRandom): string {
  const drawn = draws.next();
  // Squaring gives a few teams most of the work.
  if (load.teamSkew === undefined) {
    return teamName(Math.floor(load.teams * drawn ** 2));
  }
  let remaining = drawn;
  const shares = teamShares(load);
  for (const [i, share] of shares.entries()) {
    remaining -= share;
    if (remaining < 0) return teamName(i);
  }
  return teamName(load.teams - 1);
}

/** Returns the name of the i-th team. */
export function teamName(i: number): string {
  return `team-${i}`;
}

let nextId = 0;

function drawArrival(
  { load, queue, draws, atMs }: {
    load: loads.Load;
    queue: loads.QueueLoad;
    draws: SeededRandom;
    atMs: number;
  },
): Arrival {
  const count = draws.sampleWidth(queue.width.mean, queue.width.max);
  const trueMs = draws.sampleAround(
    queue.runMs.mean,
    queue.runMs.spread,
    queue.runMs.max,
  );
  const estimateFactor = 1 + queue.estimateError * (2 * draws.next() - 1);
  const racks = Math.ceil(load.endpoints / load.rackSize);
  const gang = draws.next() < queue.gangShare;
  const accelerators = draws.choose(queue.accelerators);
  const fitsRack = fitsOneRack(load, queue, { count, accelerators });
  const hasLocalData = draws.next() < queue.localDataShare && fitsRack;
  const rack = `rack-${Math.floor(draws.next() * racks)}`;
  const step = Workflow.createStep({
    count,
    cpuMillis: queue.cpuMillis,
    memoryMb: queue.memoryMb,
    accelerators,
    estimateMs: trueMs * estimateFactor,
    checkpoints: draws.next() < queue.checkpointShare,
    gang,
    sameRack: gang && draws.next() < queue.oneRackShare && fitsRack,
    rack: hasLocalData ? rack : null,
  });
  const workflow = new Workflow.Workflow({
    id: `w${nextId++}`,
    tenant: drawTeam(load, draws),
    policy: {
      queue: queue.queue,
      service: "analysis",
      priority: queue.priority,
      attempts: queue.attempts,
      stretch: queue.stretch,
      latencyMs: queue.latencyMs,
      advice: null,
    },
    payload: "",
    steps: [step],
    schedule: null,
    acceptedAtMs: atMs,
  });
  const runMs = new Map(
    [...workflow.tasks].map(({ key }) => [
      key,
      trueMs * (0.85 + 0.3 * draws.next()) * drawTailFactor(queue, draws),
    ]),
  );
  const longestMs = Math.max(...runMs.values());
  const weight = queue.cpuMillis / 1000 + ACCELERATOR_WEIGHT * accelerators;
  return {
    atMs,
    workflow,
    queue,
    runMs,
    objectiveMs: queue.stretch * longestMs + queue.latencyMs,
    worth: queue.worth,
    work: count * weight * trueMs / 1000,
  };
}

function drawTailFactor(
  { tail }: loads.QueueLoad,
  draws: SeededRandom,
): number {
  if (tail === undefined || draws.next() >= tail.share) return 1;
  return tail.factor;
}

/** Whether an empty rack fits the step; callers request one rack only then. */
function fitsOneRack(
  load: loads.Load,
  queue: loads.QueueLoad,
  step: { readonly count: number; readonly accelerators: number },
): boolean {
  const tasksPerEndpoint = Math.floor(Math.min(
    load.cpuMillis / queue.cpuMillis,
    load.memoryMb / queue.memoryMb,
    load.accelerators / step.accelerators,
  ));
  return step.count <= tasksPerEndpoint * load.rackSize;
}

/** Scales the worth by the work, to at most four times the queue's worth. */
function scaleWorth(arrivals: readonly Arrival[]): Arrival[] {
  const means = new Map<string, number>();
  for (const { queue } of arrivals) {
    const sameQueue = arrivals.filter((other) => other.queue === queue);
    const sum = sameQueue.reduce((total, { work }) => total + work, 0);
    means.set(queue.queue, sum / sameQueue.length);
  }
  return arrivals.map((arrival) => {
    const mean = means.get(arrival.queue.queue) ?? 1;
    const size = Math.min(4, 0.3 + 0.7 * arrival.work / mean);
    return { ...arrival, worth: arrival.worth * size };
  });
}
