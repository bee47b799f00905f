/**
 * When endpoints fell silent and which of them had crashed: many that fall at one
 * moment have lost their power or their network; no task has done that.
 */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";

/**
 * Endpoints that fall within this time, in ms, fall together. Looks that wait at
 * an endpoint end with its connection; where that is silent, 0.8 s later.
 */
const TOGETHER_MS = 1000;
/** So many at once are no work of tasks: one task takes one endpoint with it. */
const MOST_ALONE = 2;
/** Notes are kept for this time, in ms: an endpoint is back after some seconds. */
const KEPT_MS = 20_000;

interface Fall {
  /** When it was last heard no more, or was found to have crashed. */
  readonly silentAtMs: number;
  /** When another life was seen; null while it is only silent. */
  crashedAtMs: number | null;
  /** Tasks that it had when it crashed. */
  tasks: readonly Workflow.Task[];
  /** One of its tasks had crashed another endpoint before. */
  isExplained: boolean;
  isExcused: boolean;
}

/** What the log needs. */
export interface SilenceLogOptions {
  readonly clock: Ports.Clock;
  /** Told of tasks that are not to blame for a crash after all. */
  readonly onExcused: (tasks: readonly Workflow.Task[]) => void;
}

/** Falls of the last seconds, by address. */
export class SilenceLog {
  readonly #options: SilenceLogOptions;
  readonly #falls = new Map<string, Fall>();

  constructor(options: SilenceLogOptions) {
    this.#options = options;
  }

  /** An endpoint does not answer any more. */
  noteSilent({ address }: Ports.WorkerRef): void {
    this.#note(address);
  }

  /** It answers again, in the same life. */
  noteHeard({ address }: Ports.WorkerRef): void {
    if (this.#falls.get(address)?.crashedAtMs === null) {
      this.#falls.delete(address);
    }
  }

  /**
   * It has crashed while it held these tasks, or none. Returns whether so many
   * fell with it that they are not to blame; those that fell before and were
   * blamed are told of.
   */
  noteCrash(
    { address }: Ports.WorkerRef,
    tasks: readonly Workflow.Task[],
  ): boolean {
    const fall = this.#note(address);
    fall.crashedAtMs = this.#options.clock.monotonicMs();
    fall.tasks = tasks;
    fall.isExplained = tasks.some((task) => task.isSuspect);
    if (fall.isExplained) return false;
    const together = [...this.#falls.values()].filter((other) =>
      !other.isExplained && areTogether(fall, other)
    );
    if (together.length <= MOST_ALONE) return false;
    fall.isExcused = true;
    for (const other of together) this.#excuse(other);
    return true;
  }

  /** Since when an endpoint is not heard; null while it is. */
  silentSinceMs({ address }: Ports.WorkerRef): number | null {
    return this.#falls.get(address)?.silentAtMs ?? null;
  }

  /** Whether an endpoint at this address has crashed lately. */
  hasCrashedLately(address: string): boolean {
    return (this.#falls.get(address)?.crashedAtMs ?? null) !== null;
  }

  #note(address: string): Fall {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [key, { silentAtMs }] of this.#falls) {
      if (nowMs - silentAtMs > KEPT_MS) this.#falls.delete(key);
    }
    const known = this.#falls.get(address);
    // One that had crashed and is silent again falls a second time.
    if (known !== undefined && known.crashedAtMs === null) return known;
    const fall: Fall = {
      silentAtMs: nowMs,
      crashedAtMs: null,
      tasks: [],
      isExplained: false,
      isExcused: false,
    };
    this.#falls.set(address, fall);
    return fall;
  }

  #excuse(fall: Fall): void {
    if (fall.crashedAtMs === null || fall.isExcused) return;
    fall.isExcused = true;
    this.#options.onExcused(fall.tasks);
  }
}

function areTogether(one: Fall, other: Fall): boolean {
  const areBothBack = one.crashedAtMs !== null && other.crashedAtMs !== null;
  const backApartMs = areBothBack
    ? Math.abs((one.crashedAtMs ?? 0) - (other.crashedAtMs ?? 0))
    : Number.POSITIVE_INFINITY;
  const silentApartMs = Math.abs(one.silentAtMs - other.silentAtMs);
  return Math.min(backApartMs, silentApartMs) <= TOGETHER_MS;
}
