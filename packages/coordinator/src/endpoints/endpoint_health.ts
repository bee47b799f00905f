/**
 * Judges workers by the outcome of their runs. After a failure a worker gets no work,
 * and then only one run at a time. Both periods grow with consecutive failures, and a
 * success ends both.
 */

const INITIAL_BACKOFF_MS = 1200;
const BACKOFF_FACTOR = 1.5;
/** Less than the 3 s for which work may wait while endpoints have room. */
const MAX_BACKOFF_MS = 2500;
const THROTTLE_FACTOR = 3;
const MAX_THROTTLE_MS = 20_000;

/** Time for which a worker that is merely slow gets no work. */
const SLOW_BACKOFF_MS = 3000;

/** Time after a refusal; what we know of the room there is wrong. */
const REFUSED_BACKOFF_MS = 300;

/**
 * A run that fails before this age, in ms, speaks against its endpoint: endpoints
 * that fail what they start do so within 0.1 s, tasks that fail by themselves at any
 * moment of their 2 to 9 s.
 */
const EARLY_FAILURE_MS = 500;
/** Such an endpoint is in doubt for this time, in ms: they stay so for 4 to 7 s. */
const SUSPECT_MS = 5000;

/**
 * An endpoint on which a run has come through its first moments, or has ended well,
 * is proven for this time, in ms: as long as most runs of the users last.
 */
const PROVEN_MS = 4000;

/** One worker's record. */
export class EndpointHealth {
  #consecutiveFailures = 0;
  #failedAtMs = Number.NEGATIVE_INFINITY;
  #backoffUntilMs = Number.NEGATIVE_INFINITY;
  #suspectUntilMs = Number.NEGATIVE_INFINITY;
  /** End of the period with at most one run at a time, which follows a failure. */
  #throttledUntilMs = Number.NEGATIVE_INFINITY;
  #provenUntilMs = Number.NEGATIVE_INFINITY;

  /** Whether the worker gets no work now. */
  isAside(nowMs: number): boolean {
    return nowMs < this.#backoffUntilMs;
  }

  /** Whether it may still fail whatever it starts. */
  isDoubted(nowMs: number): boolean {
    if (nowMs < this.#suspectUntilMs) return true;
    return !this.isAside(nowMs) && nowMs < this.#throttledUntilMs;
  }

  /** Whether something has lately run well there. */
  isProven(nowMs: number): boolean {
    return nowMs < this.#provenUntilMs && !this.isDoubted(nowMs);
  }

  /** A run there has lasted for so long. */
  noteRunning(nowMs: number, ranMs: number): void {
    if (ranMs < EARLY_FAILURE_MS) return;
    this.#provenUntilMs = nowMs + PROVEN_MS;
    const hasStartedSince = nowMs - ranMs >= this.#failedAtMs;
    if (hasStartedSince) this.#throttledUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** A run failed that had run for so long. */
  ranAndFailed(nowMs: number, ranMs: number): void {
    this.failed(nowMs);
    if (ranMs < EARLY_FAILURE_MS) this.#suspectUntilMs = nowMs + SUSPECT_MS;
  }

  /** A run ended well. */
  succeeded(nowMs: number): void {
    this.#provenUntilMs = nowMs + PROVEN_MS;
    this.#consecutiveFailures = 0;
    this.#backoffUntilMs = Number.NEGATIVE_INFINITY;
    this.#throttledUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** An order was refused although there should be room. */
  refused(nowMs: number): void {
    this.#backoffUntilMs = Math.max(
      this.#backoffUntilMs,
      nowMs + REFUSED_BACKOFF_MS,
    );
  }

  /** A run came on much more slowly than others. */
  noteSlow(nowMs: number): void {
    this.#backoffUntilMs = Math.max(
      this.#backoffUntilMs,
      nowMs + SLOW_BACKOFF_MS,
    );
  }

  /** A run failed, or an order was not answered. */
  failed(nowMs: number): void {
    const scaledMs = (factor: number) =>
      INITIAL_BACKOFF_MS * factor ** this.#consecutiveFailures;
    const backoffMs = Math.min(scaledMs(BACKOFF_FACTOR), MAX_BACKOFF_MS);
    const throttleMs = Math.min(scaledMs(THROTTLE_FACTOR), MAX_THROTTLE_MS);
    this.#consecutiveFailures++;
    this.#failedAtMs = nowMs;
    this.#backoffUntilMs = nowMs + backoffMs;
    this.#throttledUntilMs = nowMs + throttleMs;
  }
}
