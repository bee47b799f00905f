/** Looks that are made at an endpoint before a run starts there. */
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as endpointLooks from "./endpoint_look.ts";
import type * as endpointStates from "./endpoint_state.ts";

/** What they work with. */
export interface StartLooksOptions {
  readonly state: endpointStates.EndpointState;
  readonly look: endpointLooks.EndpointLook;
}

/**
 * Looks that are made for the endpoint's clock before a start: the first one may
 * go over a connection that has turned silent, the second goes over a new one.
 */
const CLOCK_LOOKS = 2;

/** Those of one endpoint. */
export class StartLooks {
  readonly #options: StartLooksOptions;
  /** Done when the look that starts wait for has ended; null while there is none. */
  #common: Deferred.Deferred<void> | null = null;

  constructor(options: StartLooksOptions) {
    this.#options = options;
  }

  /**
   * A lease is told in the endpoint's own time, which only an answer of the present
   * life tells. So no life is given a start before it has answered this coordinator;
   * from then on it takes no order of an earlier one.
   */
  learnClock(): Effect.Effect<boolean> {
    const { state } = this.#options;
    return Effect.gen({ self: this }, function* () {
      for (let tries = 0; tries < CLOCK_LOOKS; tries++) {
        if (state.life.clock.isKnown || state.isOver) break;
        yield* this.#lookTogether();
      }
      return state.life.clock.isKnown;
    });
  }

  /**
   * Asks before a task starts that may crash its endpoint: only a start that follows
   * an answer tells whether the endpoint ended under it or before.
   */
  isAlive(): Effect.Effect<boolean> {
    const { state, look } = this.#options;
    return Effect.map(
      look.look(endpointLooks.AT_ONCE),
      () => state.isReachable && !state.isOver,
    );
  }

  /** One look for all starts that wait for it: up to eight come at once. */
  #lookTogether(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#common !== null) return Deferred.await(this.#common);
      const done = Deferred.makeUnsafe<void>();
      this.#common = done;
      const finish = Effect.sync(() => {
        this.#common = null;
        Deferred.doneUnsafe(done, Effect.void);
      });
      return Effect.ensuring(this.#options.look.look(), finish);
    });
  }
}
