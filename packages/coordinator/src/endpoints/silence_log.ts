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
const CORRELATION_WINDOW_MS = 1000;
/** So many at once are no work of tasks: one task takes one endpoint with it. */
const MAX_UNRELATED = 2;
/**
 * So many at once, without those that held tasks in doubt, are a loss of power
 * whatever ran there: tasks that crash their endpoints do so one by one, and it
 * would take three times as many that begin within the same second.
 */
const MIN_POWER_LOSS = 6;
/** Notes are kept for this time, in ms: an endpoint is back after some seconds. */
const RETENTION_MS = 20_000;

interface EndpointFailure {
  /** When it was last heard no more, or was found to have crashed. */
  readonly silentAtMs: number;
  /** When another life was seen; null while it is only silent. */
  crashedAtMs: number | null;
  /** Runs that it had or may have had when it crashed. */
  victims: readonly Victim[];
  /** One of its tasks had crashed another endpoint before. */
  hasSuspectTask: boolean;
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
  readonly #failures = new Map<string, EndpointFailure>();

  constructor(options: SilenceLogOptions) {
    this.#options = options;
  }

  /** An endpoint does not answer any more. */
  noteSilent({ address }: Ports.EndpointRef): void {
    this.#note(address);
  }

  /** It answers again, in the same life. */
  noteHeard({ address }: Ports.EndpointRef): void {
    if (this.#failures.get(address)?.crashedAtMs === null) {
      this.#failures.delete(address);
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
    const failure = this.#note(address);
    failure.crashedAtMs = this.#options.clock.monotonicMs();
    failure.victims = victims;
    failure.hasSuspectTask = victims.some(({ task }) => task.isSuspect);
    const correlated = [...this.#failures.values()].filter((other) =>
      areCorrelated(failure, other)
    );
    const otherCount = correlated.filter((one) => !one.hasSuspectTask).length;
    const fellows = classifyFellows(otherCount);
    for (const one of correlated) {
      if (one !== failure) this.#raiseFellows(one, fellows);
    }
    failure.fellows = fellowsFor(failure, fellows);
    return failure.fellows;
  }

  /** Since when an endpoint is not heard; null while it is. */
  silentSinceMs({ address }: Ports.EndpointRef): number | null {
    return this.#failures.get(address)?.silentAtMs ?? null;
  }

  /** Whether an endpoint at this address has crashed lately. */
  hasCrashedLately(address: string): boolean {
    return (this.#failures.get(address)?.crashedAtMs ?? null) !== null;
  }

  #note(address: string): EndpointFailure {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [key, { silentAtMs }] of this.#failures) {
      if (nowMs - silentAtMs > RETENTION_MS) this.#failures.delete(key);
    }
    const found = this.#failures.get(address);
    // One that had crashed and is silent again falls a second time.
    if (found !== undefined && found.crashedAtMs === null) return found;
    const failure: EndpointFailure = {
      silentAtMs: nowMs,
      crashedAtMs: null,
      victims: [],
      hasSuspectTask: false,
      fellows: Workflow.CrashFellows.Few,
    };
    this.#failures.set(address, failure);
    return failure;
  }

  #raiseFellows(failure: EndpointFailure, found: Workflow.CrashFellows): void {
    const fellows = fellowsFor(failure, found);
    if (failure.crashedAtMs === null || fellows <= failure.fellows) return;
    failure.fellows = fellows;
    this.#options.onExcused(failure.victims, fellows);
  }
}

function classifyFellows(otherCount: number): Workflow.CrashFellows {
  if (otherCount >= MIN_POWER_LOSS) return Workflow.CrashFellows.Many;
  return otherCount > MAX_UNRELATED
    ? Workflow.CrashFellows.Several
    : Workflow.CrashFellows.Few;
}

/** A task in doubt explains the fall of its endpoint, unless very many fell. */
function fellowsFor(
  { hasSuspectTask }: EndpointFailure,
  fellows: Workflow.CrashFellows,
): Workflow.CrashFellows {
  return hasSuspectTask && fellows < Workflow.CrashFellows.Many
    ? Workflow.CrashFellows.Few
    : fellows;
}

function areCorrelated(one: EndpointFailure, other: EndpointFailure): boolean {
  const haveBothCrashed = one.crashedAtMs !== null &&
    other.crashedAtMs !== null;
  const crashGapMs = haveBothCrashed
    ? Math.abs((one.crashedAtMs ?? 0) - (other.crashedAtMs ?? 0))
    : Number.POSITIVE_INFINITY;
  const silenceGapMs = Math.abs(one.silentAtMs - other.silentAtMs);
  return Math.min(crashGapMs, silenceGapMs) <= CORRELATION_WINDOW_MS;
}
