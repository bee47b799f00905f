/**
 * Measures how late this box is with its own work. An endpoint answers a poll after
 * the wait that was requested; any further time is mostly spent on this box, queueing
 * for a busy processor or link. A box that is late makes fewer calls and does not
 * blame endpoints for its own delay.
 */
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as Semaphore from "effect/Semaphore";

/** Number of latest answers whose median counts: some endpoints are late themselves. */
const WINDOW_SIZE = 48;
/** Number of answers after which the median is computed again. */
const ANSWERS_PER_UPDATE = 8;
/** Delay assumed before the first answers, in ms: a new term starts cautiously. */
const INITIAL_DELAY_MS = 40;
/**
 * Time between two polls per ms of delay. A delay of 100 ms gives one poll every 5
 * ms: a third of a core handles about 170 polls per second beside its other calls.
 */
const SPACING_PER_DELAY = 0.05;
/** Maximum time between polls, in ms: 300 endpoints within half a lease of 6 s. */
const MAX_SPACING_MS = 10;
/**
 * Maximum number of calls in flight. On a third of a core a call takes 6 ms, so 24
 * calls delay other work by 0.15 s, well within the 0.35 s between two renewals of
 * the term.
 */
const MAX_CONCURRENT_CALLS = 24;
/** Time in ms after which an unanswered call releases its slot. */
const SLOT_HOLD_MS = 200;
/** Factor by which the delay of this box extends the limit of a call. */
const DELAY_ALLOWANCE_FACTOR = 3;
/** Maximum extension of a limit, in ms, so that a silent endpoint is still detected. */
const MAX_DELAY_ALLOWANCE_MS = 1500;

/** Dependencies of the delay measurement. */
export interface BoxLoadOptions {
  readonly clock: Ports.Clock;
  readonly metrics: Metrics.Metrics;
}

/** Delay of one box, measured from the answers to its polls. */
export class BoxLoad {
  readonly #clock: Ports.Clock;
  readonly #metrics: Metrics.Metrics;
  readonly #slots = Semaphore.makeUnsafe(MAX_CONCURRENT_CALLS);
  /** Delays of the latest answers beyond the requested wait, as a ring buffer. */
  readonly #delaysMs: number[] = [];
  #sampleCount = 0;
  #delayMs = INITIAL_DELAY_MS;

  constructor({ clock, metrics }: BoxLoadOptions) {
    this.#clock = clock;
    this.#metrics = metrics;
  }

  /** Current delay of this box, in ms. */
  get delayMs(): number {
    return this.#delayMs;
  }

  /** Time between two polls that this box can sustain, in ms. */
  get pollSpacingMs(): number {
    return Math.min(MAX_SPACING_MS, this.#delayMs * SPACING_PER_DELAY);
  }

  /** Records by how much an answer exceeded the requested wait, in ms. */
  addSample(delayMs: number): void {
    this.#delaysMs[this.#sampleCount % WINDOW_SIZE] = Math.max(0, delayMs);
    this.#sampleCount++;
    if (this.#sampleCount % ANSWERS_PER_UPDATE !== 0) return;
    const sorted = [...this.#delaysMs].sort((a, b) => a - b);
    this.#delayMs = sorted[Math.floor((sorted.length - 1) / 2)];
    this.#metrics.observeMs("cairngate_box_late_seconds", this.#delayMs);
  }

  /**
   * Makes a call that is answered at once, as soon as a slot is free. The number of
   * slots limits the rate to what the box sustains, and other work, such as the
   * renewal of its term, waits for a few calls at most.
   */
  withSlot<A, E>(call: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#slots.take(1);
      let holdsSlot = true;
      const release = Effect.suspend(() => {
        const heldSlot = holdsSlot;
        holdsSlot = false;
        return heldSlot ? this.#slots.release(1) : Effect.void;
      });
      // A silent endpoint must not block the calls to others.
      const releaseLate = Effect.andThen(
        this.#clock.sleep(SLOT_HOLD_MS),
        release,
      );
      return yield* Effect.raceFirst(
        call,
        Effect.andThen(releaseLate, Effect.never),
      ).pipe(Effect.ensuring(release));
    });
  }

  /** Extends the limit of a call, in ms, by the delay that this box may add. */
  extendLimit(limitMs: number): number {
    return limitMs +
      Math.min(MAX_DELAY_ALLOWANCE_MS, this.#delayMs * DELAY_ALLOWANCE_FACTOR);
  }
}
