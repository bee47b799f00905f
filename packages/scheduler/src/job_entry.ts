/** A job as the scheduler keeps it. */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";

/** Time to stop a job and start it elsewhere, in milliseconds. */
export const RESTART_MS = 30_000;
/** Cost of breaking a gang, in accelerator-milliseconds for each member. */
export const GANG_BREAK_COST_MS = 10_000;
/** Assumed run time where nothing is known, in milliseconds. */
export const DEFAULT_ESTIMATE_MS = 600_000;
/** Lines of history kept for each job. */
const MAX_HISTORY_LENGTH = 24;

/** A job in the scheduler, waiting or running. */
export interface JobEntry {
  readonly shape: Types.JobShape;
  /** Order of the block that each member takes. */
  readonly order: number;
  /** Accelerators taken by the whole job. */
  readonly size: number;
  readonly history: Types.Reason[];
  state: Types.JobState;
  slots: readonly Types.Slot[];
  entitlement: Types.Entitlement | null;
  /** Bound guaranteed blocks that the job lies in. */
  boundIds: number[];
  /** Whether the tracker counts the job's accelerators as fixed. */
  isFixed: boolean;
  /** Where the job runs now, when it started there; 0 while waiting. */
  startedAtMs: number;
  /** Share of the work that is done and saved, 0 to 1. */
  progress: number;
  /** Jobs that must release their accelerators first. */
  victims: Set<JobEntry>;
  /** The job this one yields to. */
  claimant: JobEntry | null;
  /** Position key within its lane; smaller starts earlier. */
  key: number;
  /** Order of arrival; decides between equal keys. */
  sequence: number;
}

/** Creates the entry of a waiting job. */
export function createEntry(
  shape: Types.JobShape,
  progress: number,
): JobEntry {
  const order = Placement.orderOf(shape.accelerators);
  return {
    shape,
    order,
    size: shape.gang * Placement.sizeOf(order),
    history: [],
    state: Types.JobState.Waiting,
    slots: [],
    entitlement: null,
    boundIds: [],
    isFixed: false,
    startedAtMs: 0,
    progress,
    victims: new Set(),
    claimant: null,
    key: 0,
    sequence: 0,
  };
}

/** Whether one waiting job of a tier goes before another. */
export function goesBefore(a: JobEntry, b: JobEntry): boolean {
  return compareOrder(a, b) < 0;
}

/** Compares two waiting jobs of a tier; negative where `a` goes first. */
export function compareOrder(a: JobEntry, b: JobEntry): number {
  return a.key - b.key || a.sequence - b.sequence;
}

/** Adds a line to a job's history. */
export function addHistory(
  entry: JobEntry,
  kind: Types.ReasonKind,
  at: { atMs: number; detail: string },
): void {
  entry.history.push({ kind, ...at });
  if (entry.history.length > MAX_HISTORY_LENGTH) entry.history.splice(1, 1);
}

/** Estimated time until a job would end if it started now. */
export function remainingMs(entry: JobEntry): number {
  const estimate = entry.shape.estimateMs ?? DEFAULT_ESTIMATE_MS;
  return estimate * (1 - entry.progress);
}

/** Estimated end of a running job; never in the past. */
export function estimatedEndMs(entry: JobEntry, nowMs: number): number {
  const end = entry.startedAtMs + remainingMs(entry);
  // A job past its estimate is expected to need as long again as it is late.
  return end > nowMs ? end : nowMs + (nowMs - end) + 1000;
}

/** Whether the job may be stopped for another. */
export function canYield(entry: JobEntry): boolean {
  const isRunning = entry.state === Types.JobState.Running;
  return isRunning && entry.shape.repeatable;
}

/** Accelerator-milliseconds lost when a running job is stopped now. */
export function yieldCost(entry: JobEntry, nowMs: number): number {
  const ranMs = Math.max(0, nowMs - entry.startedAtMs);
  const intervalMs = entry.shape.checkpointMs;
  const lostMs = intervalMs === null ? ranMs : Math.min(ranMs, intervalMs);
  return entry.size * (lostMs + RESTART_MS) +
    entry.shape.gang * GANG_BREAK_COST_MS;
}
