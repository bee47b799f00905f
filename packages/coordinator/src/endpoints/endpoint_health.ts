/**
 * Health of an endpoint, derived from the outcomes of its runs. After a failure an
 * endpoint receives no work for a backoff period, and then only one run at a time for a
 * throttling period. Both periods grow with consecutive failures; a success ends both.
 */

const INITIAL_BACKOFF_MS = 1200;
const BACKOFF_FACTOR = 1.5;
/** Less than the 3 s for which work may wait while endpoints have free capacity. */
const MAX_BACKOFF_MS = 2500;
const THROTTLE_FACTOR = 3;
const MAX_THROTTLE_MS = 20_000;

/** Backoff of an endpoint that is merely slow, in ms. */
const SLOW_BACKOFF_MS = 3000;

/** Backoff after a refused start, in ms: the known free capacity is out of date. */
const REFUSED_BACKOFF_MS = 300;

/**
 * A run that fails before this age, in ms, counts against its endpoint: a faulty
 * endpoint fails what it starts within 0.1 s, whereas a faulty task fails at any point
 * of its 2 to 9 s.
 */
const EARLY_FAILURE_MS = 500;
/** Time for which such an endpoint is suspect, in ms: these faults last 4 to 7 s. */
const SUSPECT_MS = 5000;

/**
 * Time for which an endpoint counts as proven, in ms, after a run succeeded or passed
 * the early-failure age; as long as most runs of users last.
 */
const PROVEN_MS = 4000;

/** Health record of one endpoint. */
export class EndpointHealth {
  #consecutiveFailures = 0;
  #failedAtMs = Number.NEGATIVE_INFINITY;
  #backoffUntilMs = Number.NEGATIVE_INFINITY;
  #suspectUntilMs = Number.NEGATIVE_INFINITY;
  /** End of the period with at most one run at a time, which follows the backoff. */
  #throttledUntilMs = Number.NEGATIVE_INFINITY;
  #provenUntilMs = Number.NEGATIVE_INFINITY;

  /** Whether the endpoint is in backoff and receives no work. */
  isInBackoff(nowMs: number): boolean {
    return nowMs < this.#backoffUntilMs;
  }

  /** Whether the endpoint may still fail whatever it starts. */
  isUnreliable(nowMs: number): boolean {
    if (nowMs < this.#suspectUntilMs) return true;
    return !this.isInBackoff(nowMs) && nowMs < this.#throttledUntilMs;
  }

  /** Whether a run has recently gone well on this endpoint. */
  isProven(nowMs: number): boolean {
    return nowMs < this.#provenUntilMs && !this.isUnreliable(nowMs);
  }

  /** Notes a run that has been running for `ranMs`. */
  noteRunning(nowMs: number, ranMs: number): void {
    if (ranMs < EARLY_FAILURE_MS) return;
    this.#provenUntilMs = nowMs + PROVEN_MS;
    const hasStartedSince = nowMs - ranMs >= this.#failedAtMs;
    if (hasStartedSince) this.#throttledUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Notes a run that failed after `ranMs`. */
  noteRunFailure(nowMs: number, ranMs: number): void {
    this.noteFailure(nowMs);
    if (ranMs < EARLY_FAILURE_MS) this.#suspectUntilMs = nowMs + SUSPECT_MS;
  }

  /** Notes a run that completed successfully. */
  noteSuccess(nowMs: number): void {
    this.#provenUntilMs = nowMs + PROVEN_MS;
    this.#consecutiveFailures = 0;
    this.#backoffUntilMs = Number.NEGATIVE_INFINITY;
    this.#throttledUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Notes a start that was refused although there should be free capacity. */
  noteRefusal(nowMs: number): void {
    this.#backoffUntilMs = Math.max(
      this.#backoffUntilMs,
      nowMs + REFUSED_BACKOFF_MS,
    );
  }

  /** Notes a run that progressed much more slowly than others. */
  noteSlow(nowMs: number): void {
    this.#backoffUntilMs = Math.max(
      this.#backoffUntilMs,
      nowMs + SLOW_BACKOFF_MS,
    );
  }

  /** Notes a failed run or an unanswered order. */
  noteFailure(nowMs: number): void {
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
