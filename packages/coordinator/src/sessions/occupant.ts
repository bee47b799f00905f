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
  expectedSinceMs: number | null;
  /** Whether the start was sent. */
  isSent: boolean;
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
    expectedSinceMs: null,
    isSent: false,
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
export function adoptAssignment(task: Workflow.Task): Occupant {
  const assignment = createOccupant(task, null);
  assignment.expectedSinceMs = EARLIER_TERM;
  assignment.isSent = true;
  assignment.bornMs = task.bornMs;
  return assignment;
}

/** A run that was held where its endpoint stood before. */
export function takeOverAssignment(former: Occupant): Occupant {
  return { ...former, expectedSinceMs: EARLIER_TERM, pace: null };
}

/**
 * Whether it was sent to another life than this one. An earlier coordinator may not
 * have told which one it was sent to; what this one sent, it knows.
 */
export function isOfOtherIncarnation(
  { isSent, sentAtMs, bornMs }: Occupant,
  presentBornMs: number | null,
): boolean {
  if (!isSent || bornMs === presentBornMs) return false;
  return sentAtMs !== null || bornMs !== null;
}

/** The life that is present shows it: it began there, whichever it was sent to. */
export function noteReported(
  assignment: Occupant,
  presentBornMs: number | null,
): void {
  if (assignment.bornMs === presentBornMs) return;
  assignment.bornMs = presentBornMs;
  assignment.task.bornMs = presentBornMs;
  assignment.pace = null;
}

/** Whether its worker has confirmed it to this coordinator. */
export function isConfirmed(assignment: Occupant): boolean {
  const { expectedSinceMs } = assignment;
  return expectedSinceMs !== null && expectedSinceMs !== EARLIER_TERM;
}

/** Takes in the progress that the worker tells, at its own time and ours. */
export function noteProgress(
  assignment: Occupant,
  percent: number,
  at: { readonly clockMs: number; readonly nowMs: number },
): void {
  if (assignment.pace === null) {
    assignment.pace = new paces.RunPace(at.clockMs, percent);
  } else assignment.pace.addSample(at.clockMs, percent);
  const { remainingMs } = assignment.pace;
  if (remainingMs !== null) assignment.task.endsAtMs = at.nowMs + remainingMs;
}

/**
 * When a run is done by its pace, or by its estimate before it was looked at. One
 * that is done may wait to be told of when its endpoint crashes.
 */
export function expectedEndMs({ task, sentAtMs }: Occupant): number {
  if (task.step.lasting) return Number.POSITIVE_INFINITY;
  return task.endsAtMs ?? (sentAtMs ?? 0) + task.step.estimateMs;
}
