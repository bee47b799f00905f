/** Looks that are made at an endpoint before a run starts there. */
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as pollers from "./endpoint_look.ts";
import type * as endpointStates from "./endpoint_state.ts";

/** What they work with. */
export interface PreStartPollsOptions {
  readonly state: endpointStates.EndpointState;
  readonly poller: pollers.EndpointPoller;
}

/**
 * Looks that are made for the endpoint's clock before a start: the first one may
 * go over a connection that has turned silent, the second goes over a new one.
 */
const MAX_CLOCK_POLLS = 2;

/** Those of one endpoint. */
export class PreStartPolls {
  readonly #options: PreStartPollsOptions;
  /** Done when the look that starts wait for has ended; null while there is none. */
  #sharedPoll: Deferred.Deferred<void> | null = null;

  constructor(options: PreStartPollsOptions) {
    this.#options = options;
  }

  /**
   * A lease is told in the endpoint's own time, which only an answer of the present
   * life tells. So no life is given a start before it has answered this coordinator;
   * from then on it takes no order of an earlier one.
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
   * Asks before a task starts that may crash its endpoint: only a start that follows
   * an answer tells whether the endpoint ended under it or before.
   */
  isAlive(): Effect.Effect<boolean> {
    const { state, poller } = this.#options;
    return Effect.map(
      poller.poll(pollers.NO_WAIT_MS),
      () => state.isReachable && !state.isOver,
    );
  }

  /** One look for all starts that wait for it: up to eight come at once. */
  #pollShared(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#sharedPoll !== null) return Deferred.await(this.#sharedPoll);
      const done = Deferred.makeUnsafe<void>();
      this.#sharedPoll = done;
      const finish = Effect.sync(() => {
        this.#sharedPoll = null;
        Deferred.doneUnsafe(done, Effect.void);
      });
      return Effect.ensuring(this.#options.poller.poll(), finish);
    });
  }
}
