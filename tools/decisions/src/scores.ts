/** Scores a simulation by the users' rules. */
import type * as simulation from "./simulate.ts";

/** Shares of the possible worth that were earned, and costs. */
export interface Scores {
  readonly all: number;
  readonly byQueue: Readonly<Record<string, number>>;
  readonly worstTeam: number;
  /** The largest tenth of each queue's workflows. */
  readonly large: number;
  /** Mean of the two worst spans of two seconds. */
  readonly worstSpans: number;
  /** Core-seconds of lost work per unit of possible worth. */
  readonly thrownAway: number;
  readonly stranded: number;
  readonly used: number;
  /** Runs preempted for other workflows, and those of them that had just begun. */
  readonly stops: number;
  readonly earlyStops: number;
  /** Preemptions whose claimant missed its objective nevertheless. */
  readonly idleStops: number;
  /** Maximum number of preemptions of one task. */
  readonly mostStops: number;
  /** Total score: the parts with the users' weights, less the price of lost work. */
  readonly mark: number;
}

/** A workflow that ends within this multiple of its objective earns `lateWorth`. */
const LATE_FACTOR = 3;
/** A run preempted within this time after its start counts as an early stop. */
const EARLY_STOP_MS = 1000;
/** Length of a span of the day. */
const SPAN_MS = 2000;
/** Number of spans that count as the worst ones, by the users' rules. */
const WORST_SPAN_COUNT = 2;
/** The users' weights of the total and of the worst team, spans and queue. */
const WEIGHTS = { all: 0.4, team: 0.2, spans: 0.15, queue: 0.1 };
/**
 * Deduction for each lost core-second per unit of possible worth: 71,740 core-seconds
 * cost 0.055 at a worth of 1,250.
 */
const LOST_WORK_PRICE = 0.00095;

/** Computes the scores of a simulation. */
export function scoreSimulation(result: simulation.SimulationResult): Scores {
  const { outcomes } = result;
  const queues = group(outcomes, ({ arrival }) => arrival.queue.queue);
  const teams = group(outcomes, ({ arrival }) => arrival.workflow.spec.tenant);
  const spans = group(
    outcomes,
    ({ arrival }) => String(Math.floor(arrival.atMs / SPAN_MS)),
  );
  const all = earnedShare(outcomes);
  const worstTeam = meanOfLowest([...teams.values()].map(earnedShare), 1);
  const worstSpans = meanOfLowest(
    [...spans.values()].map(earnedShare),
    WORST_SPAN_COUNT,
  );
  const worstQueue = meanOfLowest([...queues.values()].map(earnedShare), 1);
  const large = [...queues.values()].flatMap((own) =>
    [...own].sort((a, b) => b.arrival.work - a.arrival.work)
      .slice(0, Math.ceil(own.length / 10))
  );
  const owed = outcomes.reduce((sum, { arrival }) => sum + arrival.worth, 0);
  const thrownAway = result.lostWork / owed;
  const weights = Object.values(WEIGHTS).reduce((sum, one) => sum + one, 0);
  const earned = WEIGHTS.all * all + WEIGHTS.team * worstTeam +
    WEIGHTS.spans * worstSpans + WEIGHTS.queue * worstQueue;
  return {
    all,
    byQueue: Object.fromEntries(
      [...queues].map(([queue, own]) => [queue, earnedShare(own)]),
    ),
    worstTeam,
    large: earnedShare(large),
    worstSpans,
    thrownAway,
    stranded: result.strandedShare,
    used: result.usedShare,
    ...countStops(result),
    mark: earned / weights - LOST_WORK_PRICE * thrownAway,
  };
}

function countStops(
  { preemptions, outcomes }: simulation.SimulationResult,
) {
  const inTime = new Set(
    outcomes
      .filter(({ arrival, tookMs }) =>
        tookMs !== null && tookMs <= arrival.objectiveMs
      )
      .map(({ arrival }) => arrival.workflow),
  );
  const ofTasks = [...group(preemptions, ({ task }) => task.name).values()];
  return {
    stops: preemptions.length,
    earlyStops: preemptions.filter(({ ranMs }) => ranMs < EARLY_STOP_MS).length,
    idleStops:
      preemptions.filter(({ claimant }) => !inTime.has(claimant)).length,
    mostStops: Math.max(0, ...ofTasks.map((own) => own.length)),
  };
}

function earnedShare(outcomes: readonly simulation.WorkflowOutcome[]): number {
  let owed = 0;
  let earned = 0;
  for (const { arrival, tookMs } of outcomes) {
    const { worth, queue, objectiveMs } = arrival;
    owed += worth;
    if (tookMs === null) continue;
    if (tookMs <= objectiveMs) earned += worth;
    else if (tookMs <= objectiveMs * LATE_FACTOR) {
      earned += worth * queue.lateWorth / queue.worth;
    }
  }
  return owed === 0 ? 1 : earned / owed;
}

function group<T>(
  all: readonly T[],
  getKey: (one: T) => string,
): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const one of all) {
    const key = getKey(one);
    groups.set(key, [...groups.get(key) ?? [], one]);
  }
  return groups;
}

function meanOfLowest(shares: readonly number[], count: number): number {
  const sorted = [...shares].sort((a, b) => a - b).slice(0, count);
  return sorted.reduce((sum, one) => sum + one, 0) / Math.max(1, sorted.length);
}
