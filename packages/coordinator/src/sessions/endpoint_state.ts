/**
 * State of one session, shared by its parts: the current incarnation, whether the
 * endpoint answers, and whether it is still polled.
 */
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as Ports from "@cairngate/ports";
import type * as healths from "../endpoints/endpoint_health.ts";
import * as incarnationStates from "./incarnation_state.ts";
import * as unansweredStarts from "./unanswered_starts.ts";
import type * as listeners from "./session_listener.ts";
import type * as sessionOptions from "./session_options.ts";

/** State of one session. */
export class EndpointState implements listeners.SessionEndpoint {
  readonly ref: Ports.EndpointRef;
  /**
   * Data centre named by the latest entry; empty if it was not listed since the
   * record named it.
   */
  dataCentre: string;
  /** State of the current incarnation. */
  readonly incarnation: incarnationStates.IncarnationState;
  /** Time at which the session began, in ms of the monotonic clock of this box. */
  readonly openedAtMs: number;
  readonly #clock: Ports.Clock;
  /**
   * Time until which an earlier coordinator may have sent orders, on the same clock.
   */
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

  /** Whether the last poll was answered. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Whether an answer has to prove first that this incarnation is at the address. */
  get mustAnswerFirst(): boolean {
    return this.#mustAnswerFirst;
  }

  /** Prevents starts until the endpoint has answered. */
  requireAnswer(): void {
    this.#mustAnswerFirst = true;
  }

  /** Whether the current incarnation has answered this coordinator at this address. */
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

  /** Time until which an earlier coordinator may have sent orders, by this box's clock. */
  get previousOrdersUntilMs(): number {
    return this.#previousOrdersUntilMs;
  }

  /** Whether it was silent and unlisted for long; not polled until it is listed. */
  get isSuspectedGone(): boolean {
    return this.#isSuspectedGone;
  }

  /**
   * Notes that the endpoint is called from now on; an earlier coordinator may have
   * called it until now.
   */
  noteTermStarted(): void {
    this.#previousOrdersUntilMs = this.#clock.monotonicMs();
  }

  /** Whether the incarnation has ended or another session has taken over. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Notes the answer to a poll. */
  noteAnswered(): void {
    this.#isSuspectedGone = false;
    this.#hasAnswered = true;
    this.incarnation.hasEnded = false;
  }

  /** Notes that a start was accepted. */
  noteStartAccepted(): void {
    this.#isReachable = true;
    this.#hasAnswered = true;
  }

  /** Allows work to be sent there; returns false if it was allowed before. */
  markUsable(): boolean {
    if (this.#isReachable && !this.#mustAnswerFirst) return false;
    this.#isReachable = true;
    this.#mustAnswerFirst = false;
    return true;
  }

  /**
   * Notes an unanswered poll; returns false if the one before was unanswered as well.
   */
  markUnreachable(): boolean {
    const wasReachable = this.#isReachable;
    this.#isReachable = false;
    return wasReachable;
  }

  /**
   * Shortens a wait at an endpoint that does not answer to the end of its leases, when
   * its runs are over.
   */
  cutToLapse(waitMs: number): number {
    if (this.#isReachable) return waitMs;
    const nowMs = this.#clock.monotonicMs();
    return this.incarnation.clock.cutToLapse(waitMs, nowMs);
  }

  /** Stops polling, as the endpoint may have ended. */
  suspectGone(): void {
    this.#isSuspectedGone = true;
  }

  /** Resumes polling, as there is something to learn or to send. */
  resumePolling(): void {
    this.#isSuspectedGone = false;
    this.wake();
  }

  /** Ends all calls of the session. */
  end(): void {
    this.#isOver = true;
    this.wake();
  }

  /** Wakes the session to check whether polling is needed. */
  wake(): void {
    Deferred.doneUnsafe(this.#signal, Effect.void);
  }

  /** Completes when the session is woken. */
  awaitWake(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* Deferred.await(this.#signal);
      this.#signal = Deferred.makeUnsafe<void>();
    });
  }
}
