/** A run that a stand-in endpoint holds, and how it will end. */
import type * as Ports from "@cairngate/ports";
import type * as runRecords from "./run_record.ts";

/** An end that was requested and is still to come. */
export interface PendingEnd {
  readonly how: "stopped" | "broken";
  readonly atMs: number;
}

/** One run. Mutable; owned by the incarnation that holds it. */
export interface HeldRun {
  readonly record: runRecords.TaskRunRecord;
  readonly endsAtMs: number;
  readonly fails: boolean;
  /** Null while no end was requested. */
  ending: PendingEnd | null;
}

/** Requests an end; the earliest requested end takes effect. */
export function requestEnd(held: HeldRun, end: PendingEnd): void {
  if (held.ending === null || end.atMs < held.ending.atMs) held.ending = end;
}

/** Returns how and when a run has ended by now; null while it continues. */
export function findEnd(
  { endsAtMs, fails, ending }: HeldRun,
  nowMs: number,
  leaseUntilMs: number,
): { readonly how: Ports.EndKind; readonly atMs: number } | null {
  const cutoffMs = Math.min(nowMs, leaseUntilMs);
  const isEndedEarly = ending !== null && ending.atMs < endsAtMs;
  if (isEndedEarly && ending.atMs <= cutoffMs) return ending;
  if (endsAtMs <= cutoffMs) {
    return { how: fails ? "failed" : "done", atMs: endsAtMs };
  }
  return nowMs > leaseUntilMs ? { how: "lapsed", atMs: leaseUntilMs } : null;
}

/** Progress of a run, in percent. */
export function percentOf(
  { record: { startedAtMs }, endsAtMs }: HeldRun,
  nowMs: number,
): number {
  const share = (nowMs - startedAtMs) / (endsAtMs - startedAtMs);
  return Math.floor(Math.min(1, share) * 100);
}
