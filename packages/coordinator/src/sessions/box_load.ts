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
const WINDOW = 48;
/** Answers after which the middle one is looked for anew. */
const EVERY = 8;
/** Assumed until answers have come, in ms: a new term begins with care. */
const FIRST_LATE_MS = 40;
/**
 * Time between two looks for each ms of delay: at 100 ms late a look each 5 ms. A
 * third of a core was seen to make 170 looks in a second beside its other calls.
 */
const SPACING_SHARE = 0.05;
/** Longest time between two looks, in ms: 300 endpoints in half a lease of 6 s. */
const MOST_SPACING_MS = 10;
/**
 * Calls under way at a time: 24 that take 6 ms each of a third of a core keep
 * others waiting for 0.15 s, well within the 0.35 s between two renewals.
 */
const TURNS = 24;
/** A call without an answer for this time, in ms, counts no more. */
const HOLD_MS = 200;
/** Calls get this many times the delay beyond their usual limits. */
const ALLOWANCE = 3;
/** Most that is added to a limit, in ms: a silent endpoint has to be noticed. */
const MOST_ALLOWED_MS = 1500;

/** What the load is measured with. */
export interface BoxLoadOptions {
  readonly clock: Ports.Clock;
  readonly metrics: Metrics.Metrics;
}

/** Delay of one box, learned from the answers to its looks. */
export class BoxLoad {
  readonly #clock: Ports.Clock;
  readonly #metrics: Metrics.Metrics;
  readonly #turns = Semaphore.makeUnsafe(TURNS);
  /** The newest answers' times beyond what was asked, as a ring. */
  readonly #window: number[] = [];
  #noted = 0;
  #lateMs = FIRST_LATE_MS;

  constructor({ clock, metrics }: BoxLoadOptions) {
    this.#clock = clock;
    this.#metrics = metrics;
  }

  /** How late this box is, in ms. */
  get lateMs(): number {
    return this.#lateMs;
  }

  /** Time between two looks that this box bears, in ms. */
  get spacingMs(): number {
    return Math.min(MOST_SPACING_MS, this.#lateMs * SPACING_SHARE);
  }

  /** An answer came this much later than asked, in ms. */
  note(lateMs: number): void {
    this.#window[this.#noted % WINDOW] = Math.max(0, lateMs);
    this.#noted++;
    if (this.#noted % EVERY !== 0) return;
    const sorted = [...this.#window].sort((a, b) => a - b);
    this.#lateMs = sorted[Math.floor((sorted.length - 1) / 2)];
    this.#metrics.observeMs("cairngate_box_late_seconds", this.#lateMs);
  }

  /**
   * Makes a call that is answered at once. A few such calls are under way at a
   * time, so that their pace is what the box bears, and whatever else it has to
   * do, like the renewal of its term, waits for a few calls at most.
   */
  inTurn<A, E>(call: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#turns.take(1);
      let isHeld = true;
      const giveBack = Effect.suspend(() => {
        const wasHeld = isHeld;
        isHeld = false;
        return wasHeld ? this.#turns.release(1) : Effect.void;
      });
      // An endpoint that is silent must not hold up the others.
      const late = Effect.andThen(this.#clock.sleep(HOLD_MS), giveBack);
      return yield* Effect.raceFirst(
        call,
        Effect.andThen(late, Effect.never),
      ).pipe(Effect.ensuring(giveBack));
    });
  }

  /** A limit for calls, in ms, with what this box itself may take of it. */
  allow(limitMs: number): number {
    return limitMs + Math.min(MOST_ALLOWED_MS, this.#lateMs * ALLOWANCE);
  }
}
