/** State of a job inside the scheduler, and its costs and estimates. */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";

/** Assumed time to stop a job and start it elsewhere, in milliseconds. */
export const RESTART_MS = 30_000;
/** Extra cost of preempting a gang, in accelerator-milliseconds per member. */
export const GANG_BREAK_COST_MS = 10_000;
/** Assumed run time of a job without an estimate, in milliseconds. */
export const DEFAULT_ESTIMATE_MS = 600_000;
/** Entries of history kept for each job. */
const MAX_HISTORY_LENGTH = 24;

/** A job in the scheduler, waiting or running. */
export interface JobEntry {
  readonly shape: Types.JobShape;
  /** Order of the block that each member occupies. */
  readonly order: number;
  /** Accelerators occupied by the whole job. */
  readonly size: number;
  readonly history: Types.Reason[];
  state: Types.JobState;
  slots: readonly Types.Slot[];
  entitlement: Types.Entitlement | null;
  /** Id of the bound guaranteed block of each slot; empty if opportunistic. */
  boundIds: number[];
  /** Whether the tracker marks the accelerators as fixed: the job can't yield. */
  isFixed: boolean;
  /** Start of the current or last run; 0 if the job never ran. */
  startedAtMs: number;
  /** Share of the work that is done and saved, 0 to 1. */
  progress: number;
  /** Jobs that must release their accelerators first. */
  victims: Set<JobEntry>;
  /** The job this one yields to. */
  claimant: JobEntry | null;
  /** Sort key within the lane; the smallest goes first. */
  key: number;
  /** Number of the arrival; orders jobs of equal key. */
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

/** Adds an entry to a job's history; keeps the first one and the latest. */
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
  // A job that overruns its estimate is assumed to need as much time again as
  // it has overrun so far, plus one second.
  return end > nowMs ? end : nowMs + (nowMs - end) + 1000;
}

/** Whether the job may be preempted: it runs and can be repeated. */
export function canYield(entry: JobEntry): boolean {
  const isRunning = entry.state === Types.JobState.Running;
  return isRunning && entry.shape.repeatable;
}

/** Accelerator-milliseconds lost if a running job is preempted now. */
export function yieldCost(entry: JobEntry, nowMs: number): number {
  const ranMs = Math.max(0, nowMs - entry.startedAtMs);
  const intervalMs = entry.shape.checkpointMs;
  const lostMs = intervalMs === null ? ranMs : Math.min(ranMs, intervalMs);
  return entry.size * (lostMs + RESTART_MS) +
    entry.shape.gang * GANG_BREAK_COST_MS;
}
