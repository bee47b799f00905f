/** A run that an endpoint of the stand-in holds, and how it will end. */
import type * as Ports from "@cairngate/ports";
import type * as runNotes from "./run_note.ts";

/** An end that has been ordered and has not come yet. */
export interface ComingEnd {
  readonly how: "stopped" | "broken";
  readonly atMs: number;
}

/** One run. Mutable; owned by the life that holds it. */
export interface HeldTask {
  readonly note: runNotes.TaskRunNote;
  readonly endsAtMs: number;
  readonly fails: boolean;
  /** Null while nobody has told it to end. */
  coming: ComingEnd | null;
}

/** Of two ends that were ordered, the earlier one comes. */
export function order(held: HeldTask, end: ComingEnd): void {
  if (held.coming === null || end.atMs < held.coming.atMs) held.coming = end;
}

/** How a run has ended by now, and when; null where it goes on. */
export function findEnd(
  { endsAtMs, fails, coming }: HeldTask,
  nowMs: number,
  leaseUntilMs: number,
): { readonly how: Ports.EndKind; readonly atMs: number } | null {
  const byMs = Math.min(nowMs, leaseUntilMs);
  const isCut = coming !== null && coming.atMs < endsAtMs;
  if (isCut && coming.atMs <= byMs) return coming;
  if (endsAtMs <= byMs) {
    return { how: fails ? "failed" : "done", atMs: endsAtMs };
  }
  return nowMs > leaseUntilMs ? { how: "lapsed", atMs: leaseUntilMs } : null;
}

/** How far it has come, in percent. */
export function percentOf(
  { note: { startedAtMs }, endsAtMs }: HeldTask,
  nowMs: number,
): number {
  const share = (nowMs - startedAtMs) / (endsAtMs - startedAtMs);
  return Math.floor(Math.min(1, share) * 100);
}
