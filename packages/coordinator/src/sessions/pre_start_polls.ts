/** Polls an endpoint before a run starts there, or before its start is sent again. */
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as pollers from "./endpoint_poller.ts";
import type * as endpointStates from "./endpoint_state.ts";

/** Dependencies of the polls. */
export interface PreStartPollsOptions {
  readonly state: endpointStates.EndpointState;
  readonly poller: pollers.EndpointPoller;
}

/**
 * Maximum number of polls for the endpoint's clock before a start: the first one may
 * use a connection that is silent, the second one opens a new one.
 */
const MAX_CLOCK_POLLS = 2;

/** Polls one endpoint before starts. */
export class PreStartPolls {
  readonly #options: PreStartPollsOptions;
  /** Completes when the poll that starts wait for has ended; null if there is none. */
  #sharedPoll: Deferred.Deferred<void> | null = null;

  constructor(options: PreStartPollsOptions) {
    this.#options = options;
  }

  /**
   * Reads the endpoint's clock, which leases refer to and which only an answer of the
   * current incarnation contains. So no incarnation receives a start before it has
   * answered this coordinator; after that it refuses orders of earlier ones.
   */
  readClock(): Effect.Effect<boolean> {
    const { state } = this.#options;
    return Effect.gen({ self: this }, function* () {
      for (let tries = 0; tries < MAX_CLOCK_POLLS; tries++) {
        if (state.incarnation.clock.isKnown || state.isOver) break;
        yield* this.#pollShared();
      }
      return state.incarnation.clock.isKnown;
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
      const poll = Effect.asVoid(this.#options.poller.poll());
      return Effect.ensuring(poll, finish);
    });
  }
}
