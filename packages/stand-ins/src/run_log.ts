/** Log of what the endpoints ran. */

/** Step of a task. */
export enum ExecutionEvent {
  Held = "held",
  Started = "started",
  Finished = "finished",
  Stopped = "stopped",
}

/** One step of one task on one endpoint. */
export interface ExecutionEntry {
  readonly event: ExecutionEvent;
  readonly worker: string;
  readonly jobId: string;
  readonly attempt: string;
  readonly rank: number;
  readonly gang: number;
  readonly repeatable: boolean;
  readonly atMs: number;
}

/** Summary of a run log. */
export interface ExecutionSummary {
  /** Unrepeatable jobs that started more than once. */
  readonly repeatedStarts: readonly string[];
  /** Gang attempts in which a member finished while another never started. */
  readonly partialGangs: readonly string[];
  readonly startedJobs: number;
}

/** Records every step in order. */
export class RunLog {
  readonly entries: ExecutionEntry[] = [];

  /** Adds a step. */
  add(entry: ExecutionEntry): void {
    this.entries.push(entry);
  }
}

/** Finds violations in a run log and counts the started jobs. */
export function summarizeRunLog(
  entries: readonly ExecutionEntry[],
): ExecutionSummary {
  return {
    repeatedStarts: findRepeatedStarts(entries),
    partialGangs: findPartialGangs(entries),
    startedJobs: new Set(startsOf(entries).map((e) => e.jobId)).size,
  };
}

function startsOf(entries: readonly ExecutionEntry[]): ExecutionEntry[] {
  return entries.filter((e) => e.event === ExecutionEvent.Started);
}

function findRepeatedStarts(entries: readonly ExecutionEntry[]): string[] {
  const starts = new Map<string, number>();
  for (const entry of startsOf(entries)) {
    if (entry.repeatable) continue;
    const member = `${entry.jobId}#${entry.rank}`;
    starts.set(member, (starts.get(member) ?? 0) + 1);
  }
  return [...starts].filter(([, count]) => count > 1).map(([id]) => id);
}

function findPartialGangs(entries: readonly ExecutionEntry[]): string[] {
  const started = new Map<string, Set<number>>();
  for (const entry of startsOf(entries)) {
    const key = `${entry.jobId}/${entry.attempt}`;
    const ranks = started.get(key) ?? new Set();
    started.set(key, ranks.add(entry.rank));
  }
  const partial = new Set<string>();
  for (const entry of entries) {
    if (entry.event !== ExecutionEvent.Finished) continue;
    const key = `${entry.jobId}/${entry.attempt}`;
    if ((started.get(key)?.size ?? 0) < entry.gang) partial.add(key);
  }
  return [...partial];
}
