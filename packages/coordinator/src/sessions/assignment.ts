/** The assignment of a run to an endpoint, which holds it or may hold it. */
import type * as Workflow from "@cairngate/workflow";
import * as paces from "./run_pace.ts";

/** One run on one endpoint. Mutable; owned by the session with the endpoint. */
export interface Assignment {
  readonly task: Workflow.Task;
  readonly run: number;
  /** Permission of the advice service; null where none is needed. */
  readonly ticket: string | null;
  /** Time since which the endpoint has to report it; null before that. */
  expectedSinceMs: number | null;
  /** Whether the start was sent. */
  isSent: boolean;
  /** Time of sending, by this box's clock; null if an earlier coordinator sent it. */
  sentAtMs: number | null;
  /** Time at which the start was sent again, by the same clock; null if it was not. */
  resentAtMs: number | null;
  /**
   * Copies of the start that were delivered or may be: an endpoint executes each of
   * them once at most.
   */
  deliverableCopies: number;
  /** Birth time of the incarnation that it was sent to; null if unknown. */
  bornMs: number | null;
  /** Time since which it is being stopped, by this box's clock; null if it is not. */
  stoppingSinceMs: number | null;
  /** Its progress over time; null before the first report. */
  pace: paces.RunPace | null;
  /** Whether its pace was compared with that of its siblings. */
  isCompared: boolean;
  /** Whether its endpoint was cold during part of the run. */
  wasCold: boolean;
  /** Time since which it is slow, by this box's clock; null while it is not. */
  slowSinceMs: number | null;
}

/** Value of `expectedSinceMs` for runs of an earlier coordinator. */
export const EARLIER_TERM = Number.NEGATIVE_INFINITY;

/** Creates the assignment of a run whose start is not sent yet. */
export function createAssignment(
  task: Workflow.Task,
  ticket: string | null,
): Assignment {
  return {
    task,
    run: task.run,
    ticket,
    expectedSinceMs: null,
    isSent: false,
    sentAtMs: null,
    resentAtMs: null,
    deliverableCopies: 0,
    bornMs: null,
    stoppingSinceMs: null,
    pace: null,
    isCompared: false,
    wasCold: false,
    slowSinceMs: null,
  };
}

/** Adopts a run that the records of an earlier coordinator name. */
export function adoptAssignment(task: Workflow.Task): Assignment {
  const assignment = createAssignment(task, null);
  assignment.expectedSinceMs = EARLIER_TERM;
  assignment.isSent = true;
  assignment.bornMs = task.bornMs;
  return assignment;
}

/** Takes over a run that was tracked at the former address of its endpoint. */
export function takeOverAssignment(former: Assignment): Assignment {
  return { ...former, expectedSinceMs: EARLIER_TERM, pace: null };
}

/**
 * Whether it was sent to another incarnation than this one. The records of an earlier
 * coordinator may not name the incarnation; for a run that this coordinator sent it
 * is always known.
 */
export function isOfOtherIncarnation(
  { isSent, sentAtMs, bornMs }: Assignment,
  presentBornMs: number | null,
): boolean {
  if (!isSent || bornMs === presentBornMs) return false;
  return sentAtMs !== null || bornMs !== null;
}

/**
 * Notes that the current incarnation reports it, so it runs there, whichever
 * incarnation it was sent to.
 */
export function noteReported(
  assignment: Assignment,
  presentBornMs: number | null,
): void {
  if (assignment.bornMs === presentBornMs) return;
  assignment.bornMs = presentBornMs;
  assignment.task.bornMs = presentBornMs;
  assignment.pace = null;
}

/** Whether its endpoint has confirmed it to this coordinator. */
export function isConfirmed(assignment: Assignment): boolean {
  const { expectedSinceMs } = assignment;
  return expectedSinceMs !== null && expectedSinceMs !== EARLIER_TERM;
}

/** Records reported progress, with the times of the endpoint's and this box's clock. */
export function noteProgress(
  assignment: Assignment,
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
 * Expected end of a run by its pace, or by its estimate if no progress is known. Its
 * actual end may be unreported when its endpoint crashes.
 */
export function expectedEndMs({ task, sentAtMs }: Assignment): number {
  if (task.step.lasting) return Number.POSITIVE_INFINITY;
  return task.endsAtMs ?? (sentAtMs ?? 0) + task.step.estimateMs;
}
