/** Log of what the endpoints ran. */

/** Step of a task. */
export enum LedgerEvent {
  Held = "held",
  Started = "started",
  Finished = "finished",
  Stopped = "stopped",
}

/** One step of one task on one endpoint. */
export interface LedgerEntry {
  readonly event: LedgerEvent;
  readonly worker: string;
  readonly jobId: string;
  readonly attempt: string;
  readonly rank: number;
  readonly gang: number;
  readonly repeatable: boolean;
  readonly atMs: number;
}

/** Summary of a ledger. */
export interface LedgerSummary {
  /** Unrepeatable jobs that started more than once. */
  readonly doubled: readonly string[];
  /** Gang attempts in which a member finished while another never started. */
  readonly partial: readonly string[];
  readonly startedJobs: number;
}

/** Records every step in order. */
export class RunLedger {
  readonly entries: LedgerEntry[] = [];

  /** Adds a step. */
  add(entry: LedgerEntry): void {
    this.entries.push(entry);
  }
}

/** Finds violations in a ledger and counts the started jobs. */
export function summarizeLedger(
  entries: readonly LedgerEntry[],
): LedgerSummary {
  return {
    doubled: findRepeatedStarts(entries),
    partial: findPartialGangs(entries),
    startedJobs: new Set(startsOf(entries).map((e) => e.jobId)).size,
  };
}

function startsOf(entries: readonly LedgerEntry[]): LedgerEntry[] {
  return entries.filter((e) => e.event === LedgerEvent.Started);
}

function findRepeatedStarts(entries: readonly LedgerEntry[]): string[] {
  const starts = new Map<string, number>();
  for (const entry of startsOf(entries)) {
    if (entry.repeatable) continue;
    const member = `${entry.jobId}#${entry.rank}`;
    starts.set(member, (starts.get(member) ?? 0) + 1);
  }
  return [...starts].filter(([, count]) => count > 1).map(([id]) => id);
}

function findPartialGangs(entries: readonly LedgerEntry[]): string[] {
  const started = new Map<string, Set<number>>();
  for (const entry of startsOf(entries)) {
    const key = `${entry.jobId}/${entry.attempt}`;
    const ranks = started.get(key) ?? new Set();
    started.set(key, ranks.add(entry.rank));
  }
  const partial = new Set<string>();
  for (const entry of entries) {
    if (entry.event !== LedgerEvent.Finished) continue;
    const key = `${entry.jobId}/${entry.attempt}`;
    if ((started.get(key)?.size ?? 0) < entry.gang) partial.add(key);
  }
  return [...partial];
}
