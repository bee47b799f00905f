/**
 * What one session knows of its endpoint, for all its parts: the books of the present
 * life, whether the endpoint answers, and whether anybody still asks it.
 */
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as Ports from "@cairngate/ports";
import type * as healths from "../endpoints/endpoint_health.ts";
import * as lifeBooks from "./life_books.ts";
import type * as listeners from "./session_listener.ts";
import type * as sessionOptions from "./session_options.ts";

/** State of one session. */
export class EndpointState implements listeners.SessionWorker {
  readonly ref: Ports.EndpointRef;
  /** As its newest entry tells; empty: it was not listed since the record named it. */
  dataCentre: string;
  /** What is known of its present life. */
  readonly life: lifeBooks.LifeBooks;
  /** Our time at which the session began. */
  readonly openedAtMs: number;
  #isReachable = true;
  #isOver = false;
  #mustBeHeard: boolean;
  #isGone = false;
  #wasHeard = false;
  #signal = Deferred.makeUnsafe<void>();

  constructor(options: sessionOptions.SessionOptions) {
    this.ref = options.ref;
    this.dataCentre = options.dataCentre;
    this.life = new lifeBooks.LifeBooks(options);
    this.openedAtMs = options.ports.clock.monotonicMs();
    this.#mustBeHeard = options.isContested;
  }

  get health(): healths.EndpointHealth {
    return this.life.health;
  }

  /** Whether the last look had an answer. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Whether an answer has to show first that this life is at the address. */
  get mustBeHeard(): boolean {
    return this.#mustBeHeard;
  }

  /** Nothing is started there before it has answered. */
  requireAnswer(): void {
    this.#mustBeHeard = true;
  }

  /** Whether this life has answered this coordinator at its address. */
  get wasHeard(): boolean {
    return this.#wasHeard;
  }

  /** Neither heard nor listed for long: nobody asks it until it is listed again. */
  get isGone(): boolean {
    return this.#isGone;
  }

  /** Whether this life of the endpoint has ended, or another session has it. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** It has answered a look. */
  noteHeard(): void {
    this.#isGone = false;
    this.#wasHeard = true;
    this.life.hasEnded = false;
  }

  /** It has taken a start. */
  noteStarted(): void {
    this.#isReachable = true;
    this.#wasHeard = true;
  }

  /** Work may be sent there; false where that was known. */
  open(): boolean {
    if (this.#isReachable && !this.#mustBeHeard) return false;
    this.#isReachable = true;
    this.#mustBeHeard = false;
    return true;
  }

  /** It did not answer a look; false where it did not answer the one before. */
  noteSilent(): boolean {
    const wasReachable = this.#isReachable;
    this.#isReachable = false;
    return wasReachable;
  }

  /** It may have ended: nobody asks it. */
  noteGone(): void {
    this.#isGone = true;
  }

  /** There is something to ask it for. */
  noteWanted(): void {
    this.#isGone = false;
    this.wake();
  }

  /** Nothing is asked or sent any more. */
  end(): void {
    this.#isOver = true;
    this.wake();
  }

  /** There may be something to do. */
  wake(): void {
    Deferred.doneUnsafe(this.#signal, Effect.void);
  }

  /** Ends when there may be something to do. */
  awaitWake(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* Deferred.await(this.#signal);
      this.#signal = Deferred.makeUnsafe<void>();
    });
  }
}
