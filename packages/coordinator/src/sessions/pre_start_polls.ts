/** Polls an endpoint before a run starts there, or before its start is sent again. */
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as pollers from "./endpoint_poller.ts";
import type * as endpointStates from "./endpoint_state.ts";

/** Dependencies of the polls. */
export interface PreStartPollsOptions {
  readonly state: endpointStates.EndpointState;
  readonly poller: pollers.EndpointPoller;
  readonly clock: Ports.Clock;
}

/**
 * Maximum number of polls for a lease before a start: the first one may use a connection
 * that is silent, the second one opens a new one and reads the endpoint's clock, and the
 * third one grants the lease.
 */
const MAX_LEASE_POLLS = 3;

/** Polls one endpoint before starts. */
export class PreStartPolls {
  readonly #options: PreStartPollsOptions;
  /** Completes when the poll that starts wait for has ended; null if there is none. */
  #sharedPoll: Deferred.Deferred<void> | null = null;

  constructor(options: PreStartPollsOptions) {
    this.#options = options;
  }

  /**
   * Polls until the current incarnation is leased for long enough for a run, as a start
   * carries a short lease only. So no incarnation receives a start before it has
   * answered this coordinator; after that it refuses orders of earlier ones.
   */
  ensureLease(): Effect.Effect<boolean> {
    const { state, clock } = this.#options;
    const isLeased = () =>
      state.incarnation.isLeasedForStarts(clock.monotonicMs());
    return Effect.gen({ self: this }, function* () {
      for (let tries = 0; tries < MAX_LEASE_POLLS; tries++) {
        if (isLeased() || state.isOver) break;
        yield* this.#pollShared();
      }
      return isLeased();
    });
  }

  /**
   * Polls before the start of a task that may crash its endpoint: only if an answer
   * precedes the start, a crash can be attributed to the run.
   */
  isAlive(): Effect.Effect<boolean> {
    const { state, poller } = this.#options;
    return Effect.map(
      poller.poll(pollers.NO_WAIT_MS),
      () => state.isReachable && !state.isOver,
    );
  }

  /**
   * Polls after an unanswered start: an answer shows whether the endpoint has the run.
   * Returns whether there was one.
   */
  pollUntilAnswered(): Effect.Effect<boolean> {
    return this.#options.poller.pollUntilAnswered();
  }

  /** Sends one poll for all waiting starts: up to eight start at once. */
  #pollShared(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#sharedPoll !== null) return Deferred.await(this.#sharedPoll);
      const done = Deferred.makeUnsafe<void>();
      this.#sharedPoll = done;
      const finish = Effect.sync(() => {
        this.#sharedPoll = null;
        Deferred.doneUnsafe(done, Effect.void);
      });
      const poll = Effect.asVoid(
        this.#options.poller.poll(pollers.NO_WAIT_MS),
      );
      return Effect.ensuring(poll, finish);
    });
  }
}
