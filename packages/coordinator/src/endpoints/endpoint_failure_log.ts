/**
 * Correlates endpoints that stop answering or crash. Many failures at one moment are a
 * loss of power or network, which no task can cause.
 */
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";

/**
 * Failures within this time, in ms, are correlated. A poll waiting at an endpoint ends
 * with its connection; where the endpoint is silent, it ends 0.8 s later.
 */
const CORRELATION_WINDOW_MS = 1000;
/**
 * Correlated failures up to this number may be caused by tasks: one task takes down one
 * endpoint.
 */
const MAX_TASK_CRASHES = 2;
/**
 * Correlated failures from this number on, not counting endpoints with suspect tasks,
 * are a power loss whatever ran there. Tasks crash their endpoints one by one; it would
 * take three times as many to begin within the same second.
 */
const MIN_POWER_LOSS = 6;
/** Time for which failures are kept, in ms: an endpoint is back after some seconds. */
const RETENTION_MS = 20_000;

interface EndpointFailure {
  /** When it stopped answering, or was found to have crashed. */
  readonly silentAtMs: number;
  /** When another incarnation was seen; null while it is only silent. */
  crashedAtMs: number | null;
  /** Runs that it had, or may have had, when it crashed. */
  affectedRuns: readonly AffectedRun[];
  /** Whether one of its tasks had crashed another endpoint before. */
  hasSuspectTask: boolean;
  /** Number of correlated failures last reported for its affected runs. */
  scale: Workflow.CrashScale;
}

/** A task that ran, or may have run, on an endpoint that crashed. */
export interface AffectedRun {
  readonly task: Workflow.Task;
  readonly run: number;
  readonly presence: Workflow.Presence;
  /** Birth time of the incarnation that crashed; null if unknown. */
  readonly bornMs: number | null;
}

/** Options of the failure log. */
export interface EndpointFailureLogOptions {
  readonly clock: Ports.Clock;
  /** Called when more correlated failures are found after a crash was counted. */
  readonly onExcused: (
    affectedRuns: readonly AffectedRun[],
    scale: Workflow.CrashScale,
  ) => void;
}

/** Failures of the last seconds, by address. */
export class EndpointFailureLog {
  readonly #options: EndpointFailureLogOptions;
  readonly #failures = new Map<string, EndpointFailure>();

  constructor(options: EndpointFailureLogOptions) {
    this.#options = options;
  }

  /** Notes that an endpoint stopped answering. */
  noteSilent({ address }: Ports.EndpointRef): void {
    this.#note(address);
  }

  /** Notes that an endpoint answers again in the same incarnation. */
  noteAnswered({ address }: Ports.EndpointRef): void {
    if (this.#failures.get(address)?.crashedAtMs === null) {
      this.#failures.delete(address);
    }
  }

  /**
   * Notes a crash with the runs it hit, if any. Returns how many endpoints failed with
   * it, and reports a raised number for earlier correlated crashes.
   */
  noteCrash(
    { address }: Ports.EndpointRef,
    affectedRuns: readonly AffectedRun[],
  ): Workflow.CrashScale {
    const failure = this.#note(address);
    failure.crashedAtMs = this.#options.clock.monotonicMs();
    failure.affectedRuns = affectedRuns;
    failure.hasSuspectTask = affectedRuns.some(({ task }) => task.isSuspect);
    const correlated = [...this.#failures.values()].filter((other) =>
      areCorrelated(failure, other)
    );
    const otherCount = correlated.filter((one) => !one.hasSuspectTask).length;
    const scale = classifyScale(otherCount);
    for (const one of correlated) {
      if (one !== failure) this.#raiseScale(one, scale);
    }
    failure.scale = scaleFor(failure, scale);
    return failure.scale;
  }

  /**
   * Monotonic time since which an endpoint has been silent, in ms; null while it
   * answers.
   */
  silentSinceMs({ address }: Ports.EndpointRef): number | null {
    return this.#failures.get(address)?.silentAtMs ?? null;
  }

  /** Whether an endpoint at this address has crashed recently. */
  hasCrashedLately(address: string): boolean {
    return (this.#failures.get(address)?.crashedAtMs ?? null) !== null;
  }

  #note(address: string): EndpointFailure {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [key, { silentAtMs }] of this.#failures) {
      if (nowMs - silentAtMs > RETENTION_MS) this.#failures.delete(key);
    }
    const found = this.#failures.get(address);
    // A crashed endpoint that is silent again has failed a second time.
    if (found !== undefined && found.crashedAtMs === null) return found;
    const failure: EndpointFailure = {
      silentAtMs: nowMs,
      crashedAtMs: null,
      affectedRuns: [],
      hasSuspectTask: false,
      scale: Workflow.CrashScale.Few,
    };
    this.#failures.set(address, failure);
    return failure;
  }

  #raiseScale(failure: EndpointFailure, found: Workflow.CrashScale): void {
    const scale = scaleFor(failure, found);
    if (failure.crashedAtMs === null || scale <= failure.scale) return;
    failure.scale = scale;
    this.#options.onExcused(failure.affectedRuns, scale);
  }
}

function classifyScale(otherCount: number): Workflow.CrashScale {
  if (otherCount >= MIN_POWER_LOSS) return Workflow.CrashScale.Many;
  return otherCount > MAX_TASK_CRASHES
    ? Workflow.CrashScale.Several
    : Workflow.CrashScale.Few;
}

/**
 * A suspect task explains the failure of its endpoint, unless very many failed with it.
 */
function scaleFor(
  { hasSuspectTask }: EndpointFailure,
  scale: Workflow.CrashScale,
): Workflow.CrashScale {
  return hasSuspectTask && scale < Workflow.CrashScale.Many
    ? Workflow.CrashScale.Few
    : scale;
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
