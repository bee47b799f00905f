/** A run that a worker holds or may hold. */
import type * as Workflow from "@cairngate/workflow";

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
  /** Whether it is being stopped. */
  stopping: boolean;
  /** Since when the progress is watched, and what it was then. */
  watchedSinceMs: number | null;
  watchedFromPercent: number;
  /** Progress that the worker told last, 0 to 100, and when. */
  percent: number;
  percentAtMs: number;
}

/** Known before this coordinator's time. */
export const EARLIER_TERM = Number.NEGATIVE_INFINITY;

/** A member of a gang that waits for the others comes no further. */
const DONE_PERCENT = 100;

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
    stopping: false,
    watchedSinceMs: null,
    watchedFromPercent: 0,
    percent: 0,
    percentAtMs: 0,
  };
}

/** A run that the records of an earlier coordinator name. */
export function adoptOccupant(task: Workflow.Task): Occupant {
  const occupant = createOccupant(task, null);
  occupant.knownSinceMs = EARLIER_TERM;
  occupant.sent = true;
  return occupant;
}

/** Whether its worker has confirmed it to this coordinator. */
export function isConfirmed(occupant: Occupant): boolean {
  const { knownSinceMs } = occupant;
  return knownSinceMs !== null && knownSinceMs !== EARLIER_TERM;
}

/** Takes in the progress that the worker tells. */
export function noteProgress(
  occupant: Occupant,
  percent: number,
  nowMs: number,
): void {
  if (occupant.watchedSinceMs === null) {
    // A run of an earlier coordinator is watched from where it is found.
    const isOwn = occupant.knownSinceMs !== EARLIER_TERM;
    occupant.watchedSinceMs = isOwn ? occupant.task.startedAtMs : nowMs;
    occupant.watchedFromPercent = isOwn ? 0 : percent;
  }
  if (occupant.percent < DONE_PERCENT) occupant.percentAtMs = nowMs;
  occupant.percent = percent;
}
