/** One incarnation of a stand-in endpoint: its runs and what it reports of them. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as heldRuns from "./held_run.ts";
import type * as runRecords from "./run_record.ts";

/** A stand-in endpoint. */
export interface TaskEndpointSpec {
  readonly id: string;
  readonly accelerators: number;
}

/** An incarnation. Mutable; owned by the endpoints of one test. */
export interface Incarnation {
  readonly spec: TaskEndpointSpec;
  /** Birth time that it reports, in ms; null if it reports none. */
  readonly bornMs: number | null;
  /** Difference between its steady clock and that of the test, in ms. */
  readonly clockOffsetMs: number;
  token: number;
  /** Whether it has answered a coordinator. */
  hasAnswered: boolean;
  /** When its lease expires, by the clock of the test, in ms. */
  leaseUntilMs: number;
  /** When a lease last expired, in ms. */
  leaseExpiredAtMs: number;
  nextEndNumber: number;
  /** By task and run: the next run may start while an earlier one is still ending. */
  readonly held: Map<string, heldRuns.HeldRun>;
  readonly ended: { number: number; record: runRecords.TaskRunRecord }[];
  /** Highest number of a stopped or ended run, by task. */
  readonly lastOverRun: Map<string, number>;
}

/** Creates an incarnation without runs. */
export function createIncarnation(
  { spec, bornMs, clockOffsetMs }: Pick<
    Incarnation,
    "spec" | "bornMs" | "clockOffsetMs"
  >,
): Incarnation {
  return {
    spec,
    bornMs,
    clockOffsetMs,
    token: 0,
    hasAnswered: false,
    leaseUntilMs: 0,
    leaseExpiredAtMs: Number.NEGATIVE_INFINITY,
    nextEndNumber: 1,
    held: new Map(),
    ended: [],
    lastOverRun: new Map(),
  };
}

/** Key of a run. */
export function keyOf({ task, run }: Ports.RunRef): string {
  return `${task}@${run}`;
}

/** Reads the steady clock of an incarnation, in ms. */
export function readClock(
  { clockOffsetMs }: Incarnation,
  nowMs: number,
): number {
  return nowMs + clockOffsetMs;
}

/**
 * Extends a lease to a time of the incarnation's own clock. A lease never shortens, and
 * one that is too long is cut to the longest lease.
 */
export function extendLease(
  incarnation: Incarnation,
  untilClockMs: number,
  { nowMs, longestLeaseMs }: {
    readonly nowMs: number;
    readonly longestLeaseMs: number;
  },
): void {
  incarnation.leaseUntilMs = Math.max(
    incarnation.leaseUntilMs,
    Math.min(untilClockMs - incarnation.clockOffsetMs, nowMs + longestLeaseMs),
  );
}

/** Throws a refusal if an order comes from an earlier coordinator. */
export function checkToken(incarnation: Incarnation, token: number): void {
  if (token < incarnation.token) {
    throw refuse(incarnation.spec.id, Errors.OrderRefusal.Fenced);
  }
  incarnation.token = token;
}

/** Builds the error of a refused order. */
export function refuse(
  worker: string,
  reason: Errors.OrderRefusal,
): Errors.OrderRefusedError {
  return new Errors.OrderRefusedError({ worker, reason });
}

/** Prevents further starts of this run and of earlier runs of its task. */
export function markOver(
  incarnation: Incarnation,
  { task, run }: Ports.RunRef,
): void {
  const last = incarnation.lastOverRun.get(task) ?? 0;
  incarnation.lastOverRun.set(task, Math.max(last, run));
}

/** Removes the ends up to a number from later reports, as they are recorded. */
export function acknowledge(
  incarnation: Incarnation,
  upTo: number,
  nowMs: number,
): void {
  while (incarnation.ended.length > 0 && incarnation.ended[0].number <= upTo) {
    const [earliest] = incarnation.ended.splice(0, 1);
    const { record } = earliest;
    record.acknowledgedAtMs = nowMs;
    record.wasLeaseExpired =
      incarnation.leaseExpiredAtMs > (record.endedAtMs ?? 0);
  }
}

/** Builds the answer to a poll. */
export function createView(
  incarnation: Incarnation,
  toldEnds: number,
  nowMs: number,
): Ports.EndpointReport {
  return {
    clockMs: readClock(incarnation, nowMs),
    bornMs: incarnation.bornMs,
    toldEnds,
    held: [...incarnation.held.values()].map((held) => ({
      task: held.record.task,
      run: held.record.run,
      checkpoint: "",
      percent: heldRuns.percentOf(held, nowMs),
      reading: null,
    })),
    ended: incarnation.ended.map(({ number, record }) => ({
      number,
      task: record.task,
      run: record.run,
      how: reportedEndKind(record),
      checkpoint: "",
    })),
  };
}

/** Reports a crash as an expired lease, as a crashed incarnation reports nothing. */
function reportedEndKind({ how }: runRecords.TaskRunRecord): Ports.EndKind {
  return how === null || how === "crashed" ? "lapsed" : how;
}
