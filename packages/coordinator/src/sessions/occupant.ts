/** A run that a worker holds or may hold. */
import type * as Workflow from "@cairngate/workflow";
import * as paces from "./run_pace.ts";

/** One run on one worker. Mutable; owned by the worker's session. */
export interface Occupant {
  readonly task: Workflow.Task;
  readonly run: number;
  /** Permission of the advice service; null where none is needed. */
  readonly ticket: string | null;
  /** Since when the worker must know of it; null while it may not. */
  knownSinceMs: number | null;
  /** Whether the start was sent. */
  sent: boolean;
  /** When, by our clock; null where an earlier coordinator sent it. */
  sentAtMs: number | null;
  /** Birth of the life that it was sent to; null: not told, or not known. */
  bornMs: number | null;
  /** Our time since which it is being stopped; null while it is not. */
  stoppingSinceMs: number | null;
  /** How it comes on; null before the first look. */
  pace: paces.RunPace | null;
  /** Whether its pace was compared with that of its siblings. */
  compared: boolean;
  /** Whether its endpoint was cold during some of its time. */
  wasCold: boolean;
  /** Since when it is slow, by our clock; null while it is not. */
  slowSinceMs: number | null;
}

/** Known before this coordinator's time. */
export const EARLIER_TERM = Number.NEGATIVE_INFINITY;

/** A run whose start is not sent yet. */
export function createOccupant(
  task: Workflow.Task,
  ticket: string | null,
): Occupant {
  return {
    task,
    run: task.run,
    ticket,
    knownSinceMs: null,
    sent: false,
    sentAtMs: null,
    bornMs: null,
    stoppingSinceMs: null,
    pace: null,
    compared: false,
    wasCold: false,
    slowSinceMs: null,
  };
}

/** A run that the records of an earlier coordinator name. */
export function adoptOccupant(task: Workflow.Task): Occupant {
  const occupant = createOccupant(task, null);
  occupant.knownSinceMs = EARLIER_TERM;
  occupant.sent = true;
  occupant.bornMs = task.bornMs;
  return occupant;
}

/** A run that was held where its endpoint stood before. */
export function takeOverOccupant(former: Occupant): Occupant {
  return { ...former, knownSinceMs: EARLIER_TERM, pace: null };
}

/**
 * Whether it was sent to another life than this one. An earlier coordinator may not
 * have told which one it was sent to; what this one sent, it knows.
 */
export function isOfOtherLife(
  { sent, sentAtMs, bornMs }: Occupant,
  presentBornMs: number | null,
): boolean {
  if (!sent || bornMs === presentBornMs) return false;
  return sentAtMs !== null || bornMs !== null;
}

/** The life that is present shows it: it began there, whichever it was sent to. */
export function noteShown(
  occupant: Occupant,
  presentBornMs: number | null,
): void {
  if (occupant.bornMs === presentBornMs) return;
  occupant.bornMs = presentBornMs;
  occupant.task.bornMs = presentBornMs;
  occupant.pace = null;
}

/** Whether its worker has confirmed it to this coordinator. */
export function isConfirmed(occupant: Occupant): boolean {
  const { knownSinceMs } = occupant;
  return knownSinceMs !== null && knownSinceMs !== EARLIER_TERM;
}

/** Takes in the progress that the worker tells, at its own time and ours. */
export function noteProgress(
  occupant: Occupant,
  percent: number,
  at: { readonly clockMs: number; readonly nowMs: number },
): void {
  if (occupant.pace === null) {
    occupant.pace = new paces.RunPace(at.clockMs, percent);
  } else occupant.pace.note(at.clockMs, percent);
  const { leftMs } = occupant.pace;
  if (leftMs !== null) occupant.task.endsAtMs = at.nowMs + leftMs;
}

/**
 * When a run is done by its pace, or by its estimate before it was looked at. One
 * that is done may wait to be told of when its endpoint crashes.
 */
export function endsAtMs({ task, sentAtMs }: Occupant): number {
  if (task.step.lasting) return Number.POSITIVE_INFINITY;
  return task.endsAtMs ?? (sentAtMs ?? 0) + task.step.estimateMs;
}
