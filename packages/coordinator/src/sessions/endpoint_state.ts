/**
 * What one session knows of its endpoint, for all its parts: the books of the present
 * life, whether the endpoint answers, and whether anybody still asks it.
 */
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as Ports from "@cairngate/ports";
import type * as healths from "../endpoints/endpoint_health.ts";
import * as incarnationStates from "./life_books.ts";
import * as unansweredStarts from "./loose_starts.ts";
import type * as listeners from "./session_listener.ts";
import type * as sessionOptions from "./session_options.ts";

/** State of one session. */
export class EndpointState implements listeners.SessionWorker {
  readonly ref: Ports.EndpointRef;
  /** As its newest entry tells; empty: it was not listed since the record named it. */
  dataCentre: string;
  /** What is known of its present life. */
  readonly incarnation: incarnationStates.IncarnationState;
  /** Our time at which the session began. */
  readonly openedAtMs: number;
  readonly #clock: Ports.Clock;
  /** Our time until which an earlier coordinator may have sent orders. */
  #previousOrdersUntilMs: number;
  #isReachable = true;
  #isOver = false;
  #mustAnswerFirst: boolean;
  #isSuspectedGone = false;
  #hasAnswered = false;
  #signal = Deferred.makeUnsafe<void>();

  constructor(options: sessionOptions.SessionOptions) {
    this.ref = options.ref;
    this.dataCentre = options.dataCentre;
    this.incarnation = new incarnationStates.IncarnationState(options);
    this.#clock = options.ports.clock;
    this.openedAtMs = this.#clock.monotonicMs();
    this.#previousOrdersUntilMs = this.openedAtMs;
    this.#mustAnswerFirst = options.isContested;
  }

  get health(): healths.EndpointHealth {
    return this.incarnation.health;
  }

  /** Whether the last look had an answer. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Whether an answer has to show first that this life is at the address. */
  get mustAnswerFirst(): boolean {
    return this.#mustAnswerFirst;
  }

  /** Nothing is started there before it has answered. */
  requireAnswer(): void {
    this.#mustAnswerFirst = true;
  }

  /** Whether this life has answered this coordinator at its address. */
  get hasAnswered(): boolean {
    return this.#hasAnswered;
  }

  /**
   * Whether a start from an earlier coordinator may still arrive and be accepted. An
   * endpoint refuses it once it has received the current fencing token, which only an
   * answer confirms. An endpoint that reports no birth time gets a new id with each
   * restart and refuses starts addressed to any other id.
   */
  get mayAcceptStaleStarts(): boolean {
    if (this.#isOver || this.incarnation.likelyBornMs === null) return false;
    if (this.#hasAnswered && this.#isReachable) return false;
    const elapsedMs = this.#clock.monotonicMs() - this.#previousOrdersUntilMs;
    return elapsedMs < unansweredStarts.LONGEST_ORDER_DELAY_MS;
  }

  /** Neither heard nor listed for long: nobody asks it until it is listed again. */
  get isSuspectedGone(): boolean {
    return this.#isSuspectedGone;
  }

  /** Endpoints are called from now on; until now an earlier coordinator may have been. */
  noteTermStarted(): void {
    this.#previousOrdersUntilMs = this.#clock.monotonicMs();
  }

  /** Whether this life of the endpoint has ended, or another session has it. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** It has answered a look. */
  noteAnswered(): void {
    this.#isSuspectedGone = false;
    this.#hasAnswered = true;
    this.incarnation.hasEnded = false;
  }

  /** It has taken a start. */
  noteStartAccepted(): void {
    this.#isReachable = true;
    this.#hasAnswered = true;
  }

  /** Work may be sent there; false where that was known. */
  markUsable(): boolean {
    if (this.#isReachable && !this.#mustAnswerFirst) return false;
    this.#isReachable = true;
    this.#mustAnswerFirst = false;
    return true;
  }

  /** It did not answer a look; false where it did not answer the one before. */
  markUnreachable(): boolean {
    const wasReachable = this.#isReachable;
    this.#isReachable = false;
    return wasReachable;
  }

  /** It may have ended: nobody asks it. */
  suspectGone(): void {
    this.#isSuspectedGone = true;
  }

  /** There is something to ask it for. */
  resumePolling(): void {
    this.#isSuspectedGone = false;
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
