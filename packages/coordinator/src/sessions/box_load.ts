/**
 * How late this box is with its own work. Endpoints answer a look after the time
 * that they were asked to wait; what an answer takes beyond that is mostly spent
 * here, in the queue of a processor or a link that has too much to do. A box
 * that is late makes fewer calls, and blames no endpoint for its own delay.
 */
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as Semaphore from "effect/Semaphore";

/** Answers of which the middle one counts: some endpoints are late themselves. */
const WINDOW_SIZE = 48;
/** Answers after which the middle one is looked for anew. */
const ANSWERS_PER_UPDATE = 8;
/** Assumed until answers have come, in ms: a new term begins with care. */
const INITIAL_DELAY_MS = 40;
/**
 * Time between two looks for each ms of delay: at 100 ms late a look each 5 ms. A
 * third of a core was seen to make 170 looks in a second beside its other calls.
 */
const SPACING_PER_DELAY = 0.05;
/** Longest time between two looks, in ms: 300 endpoints in half a lease of 6 s. */
const MAX_SPACING_MS = 10;
/**
 * Calls under way at a time: 24 that take 6 ms each of a third of a core keep
 * others waiting for 0.15 s, well within the 0.35 s between two renewals.
 */
const MAX_CONCURRENT_CALLS = 24;
/** A call without an answer for this time, in ms, counts no more. */
const SLOT_HOLD_MS = 200;
/** Calls get this many times the delay beyond their usual limits. */
const DELAY_ALLOWANCE_FACTOR = 3;
/** Most that is added to a limit, in ms: a silent endpoint has to be noticed. */
const MAX_DELAY_ALLOWANCE_MS = 1500;

/** What the load is measured with. */
export interface BoxLoadOptions {
  readonly clock: Ports.Clock;
  readonly metrics: Metrics.Metrics;
}

/** Delay of one box, learned from the answers to its looks. */
export class BoxLoad {
  readonly #clock: Ports.Clock;
  readonly #metrics: Metrics.Metrics;
  readonly #slots = Semaphore.makeUnsafe(MAX_CONCURRENT_CALLS);
  /** The newest answers' times beyond what was asked, as a ring. */
  readonly #delaysMs: number[] = [];
  #sampleCount = 0;
  #delayMs = INITIAL_DELAY_MS;

  constructor({ clock, metrics }: BoxLoadOptions) {
    this.#clock = clock;
    this.#metrics = metrics;
  }

  /** How late this box is, in ms. */
  get lateMs(): number {
    return this.#delayMs;
  }

  /** Time between two looks that this box bears, in ms. */
  get spacingMs(): number {
    return Math.min(MAX_SPACING_MS, this.#delayMs * SPACING_PER_DELAY);
  }

  /** An answer came this much later than asked, in ms. */
  addSample(lateMs: number): void {
    this.#delaysMs[this.#sampleCount % WINDOW_SIZE] = Math.max(0, lateMs);
    this.#sampleCount++;
    if (this.#sampleCount % ANSWERS_PER_UPDATE !== 0) return;
    const sorted = [...this.#delaysMs].sort((a, b) => a - b);
    this.#delayMs = sorted[Math.floor((sorted.length - 1) / 2)];
    this.#metrics.observeMs("cairngate_box_late_seconds", this.#delayMs);
  }

  /**
   * Makes a call that is answered at once. A few such calls are under way at a
   * time, so that their pace is what the box bears, and whatever else it has to
   * do, like the renewal of its term, waits for a few calls at most.
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
      // An endpoint that is silent must not hold up the others.
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

  /** A limit for calls, in ms, with what this box itself may take of it. */
  extendLimit(limitMs: number): number {
    return limitMs +
      Math.min(MAX_DELAY_ALLOWANCE_MS, this.#delayMs * DELAY_ALLOWANCE_FACTOR);
  }
}
