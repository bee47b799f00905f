/**
 * When endpoints fell silent and which of them had crashed: many that fall at one
 * moment have lost their power or their network; no task has done that.
 */
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";

/**
 * Endpoints that fall within this time, in ms, fall together. Looks that wait at
 * an endpoint end with its connection; where that is silent, 0.8 s later.
 */
const TOGETHER_MS = 1000;
/** So many at once are no work of tasks: one task takes one endpoint with it. */
const MOST_ALONE = 2;
/**
 * So many at once, without those that held tasks in doubt, are a loss of power
 * whatever ran there: tasks that crash their endpoints do so one by one, and it
 * would take three times as many that begin within the same second.
 */
const LEAST_MANY = 6;
/** Notes are kept for this time, in ms: an endpoint is back after some seconds. */
const KEPT_MS = 20_000;

interface Fall {
  /** When it was last heard no more, or was found to have crashed. */
  readonly silentAtMs: number;
  /** When another life was seen; null while it is only silent. */
  crashedAtMs: number | null;
  /** Runs that it had or may have had when it crashed. */
  victims: readonly Victim[];
  /** One of its tasks had crashed another endpoint before. */
  isExplained: boolean;
  /** How many fell with it, as its victims were told. */
  fellows: Workflow.CrashFellows;
}

/** A task that ran, or may have run, on an endpoint that crashed. */
export interface Victim {
  readonly task: Workflow.Task;
  readonly run: number;
  readonly presence: Workflow.Presence;
}

/** What the log needs. */
export interface SilenceLogOptions {
  readonly clock: Ports.Clock;
  /** Told where more endpoints fell than was known when a crash was counted. */
  readonly onExcused: (
    victims: readonly Victim[],
    fellows: Workflow.CrashFellows,
  ) => void;
}

/** Falls of the last seconds, by address. */
export class SilenceLog {
  readonly #options: SilenceLogOptions;
  readonly #falls = new Map<string, Fall>();

  constructor(options: SilenceLogOptions) {
    this.#options = options;
  }

  /** An endpoint does not answer any more. */
  noteSilent({ address }: Ports.EndpointRef): void {
    this.#note(address);
  }

  /** It answers again, in the same life. */
  noteHeard({ address }: Ports.EndpointRef): void {
    if (this.#falls.get(address)?.crashedAtMs === null) {
      this.#falls.delete(address);
    }
  }

  /**
   * It has crashed with these runs, or none. Returns how many fell with it; those
   * that fell before and were told of fewer are told of it.
   */
  noteCrash(
    { address }: Ports.EndpointRef,
    victims: readonly Victim[],
  ): Workflow.CrashFellows {
    const fall = this.#note(address);
    fall.crashedAtMs = this.#options.clock.monotonicMs();
    fall.victims = victims;
    fall.isExplained = victims.some(({ task }) => task.isSuspect);
    const together = [...this.#falls.values()].filter((other) =>
      areTogether(fall, other)
    );
    const others = together.filter((one) => !one.isExplained).length;
    const fellows = toFellows(others);
    for (const one of together) {
      if (one !== fall) this.#raise(one, fellows);
    }
    fall.fellows = told(fall, fellows);
    return fall.fellows;
  }

  /** Since when an endpoint is not heard; null while it is. */
  silentSinceMs({ address }: Ports.EndpointRef): number | null {
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
      victims: [],
      isExplained: false,
      fellows: Workflow.CrashFellows.Few,
    };
    this.#falls.set(address, fall);
    return fall;
  }

  #raise(fall: Fall, known: Workflow.CrashFellows): void {
    const fellows = told(fall, known);
    if (fall.crashedAtMs === null || fellows <= fall.fellows) return;
    fall.fellows = fellows;
    this.#options.onExcused(fall.victims, fellows);
  }
}

function toFellows(others: number): Workflow.CrashFellows {
  if (others >= LEAST_MANY) return Workflow.CrashFellows.Many;
  return others > MOST_ALONE
    ? Workflow.CrashFellows.Several
    : Workflow.CrashFellows.Few;
}

/** A task in doubt explains the fall of its endpoint, unless very many fell. */
function told(
  { isExplained }: Fall,
  fellows: Workflow.CrashFellows,
): Workflow.CrashFellows {
  return isExplained && fellows < Workflow.CrashFellows.Many
    ? Workflow.CrashFellows.Few
    : fellows;
}

function areTogether(one: Fall, other: Fall): boolean {
  const areBothBack = one.crashedAtMs !== null && other.crashedAtMs !== null;
  const backApartMs = areBothBack
    ? Math.abs((one.crashedAtMs ?? 0) - (other.crashedAtMs ?? 0))
    : Number.POSITIVE_INFINITY;
  const silentApartMs = Math.abs(one.silentAtMs - other.silentAtMs);
  return Math.min(backApartMs, silentApartMs) <= TOGETHER_MS;
}
