/** What ends with a life of one endpoint: the runs that it had, and its session. */
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import * as lifeEnds from "./life_end.ts";
import * as occupants from "./occupant.ts";
import * as listeners from "./session_listener.ts";
import type * as sessionOptions from "./session_options.ts";
import type * as unheards from "./unheard_runs.ts";

const { LostCause, lost } = listeners;

/** What the ends work with. */
export interface EndpointEndsOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
}

/** How runs ended of which it is so sure that they were there. */
type EndOf = (presence: Workflow.Presence) => listeners.SessionEnd;

/**
 * No endpoint ends and is back as another life within this time, in ms: those of the
 * users take about 3 s, the quickest that flap 1 s.
 */
const LEAST_REBIRTH_MS = 300;

/**
 * An endpoint that lives has written its own entry again within this time, in ms:
 * two heartbeats of 1.5 s and what a listing takes to be told.
 */
const OWN_ENTRY_MS = 3500;

/** Ends of one endpoint's lives. */
export class EndpointEnds {
  readonly #options: EndpointEndsOptions;

  constructor(options: EndpointEndsOptions) {
    this.#options = options;
  }

  /** It is shown to have ended: nothing of this life runs any more. */
  endAll(sign = lifeEnds.LifeEndSign.OtherAnswers): Effect.Effect<void> {
    const { state, runs: { held, unheard }, options } = this.#options;
    return Effect.gen({ self: this }, function* () {
      if (state.isOver) return;
      state.end();
      const nowMs = options.ports.clock.monotonicMs();
      const untold = unheard.takeAll();
      const wereThere = held.all.filter((one) => this.#mayBeThere(one));
      const endOf = state.life.ending.end(sign, wereThere, untold);
      const records = held.all.map((one) =>
        wereThere.includes(one)
          ? this.#endHeld(one, endOf, nowMs)
          : this.#endRun(one, lost(LostCause.NeverSent))
      );
      records.push(...this.#endUntold(untold, endOf));
      yield* Effect.all(records, { concurrency: "unbounded", discard: true });
    });
  }

  /**
   * Nobody listens any more where this life has answered, and its lease is out: it has
   * ended, whatever its entry says. The session stays, as another life may begin.
   */
  endLifeHere(): Effect.Effect<void> {
    const { state: { life }, runs, options } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const held = runs.held.sent;
      const untold = runs.unheard.takeAll();
      if (held.length + untold.length === 0) return;
      life.hasEnded = true;
      const nowMs = options.ports.clock.monotonicMs();
      const sign = lifeEnds.LifeEndSign.NobodyListens;
      const endOf = life.ending.end(sign, held, untold);
      const records = held.map((one) => this.#endHeld(one, endOf, nowMs));
      records.push(...this.#endUntold(untold, endOf));
      yield* Effect.all(records, { concurrency: "unbounded", discard: true });
    });
  }

  /**
   * Another endpoint answers at the address. An endpoint that never answered there
   * may stand elsewhere, where its entry was written by somebody else: what an
   * earlier coordinator started on it is not given up before it had the time to
   * write its own entry again, nor while it may be leased.
   */
  noteReplaced(): Effect.Effect<void> {
    const { state, runs, options } = this.#options;
    const nowMs = options.ports.clock.monotonicMs();
    const mayHold = nowMs - state.openedAtMs < OWN_ENTRY_MS ||
      !state.life.clock.hasLapsed(nowMs);
    const mayBeElsewhere = !state.wasHeard && !runs.held.isEmpty && mayHold;
    return mayBeElsewhere ? Effect.void : this.endAll();
  }

  /**
   * It is neither heard nor listed for so long that it may have ended; its entry
   * lapses as well where it is cut off. What ran there is told of as gone, and the
   * session is kept: whoever answers there later shows what became of it. Where
   * connections were refused, nobody listens: that is an end, and no cut.
   */
  suspectGone(): void {
    const { state, runs: { unheard }, options } = this.#options;
    if (state.isGone) return;
    if (state.life.ending.isRefused) {
      Effect.runFork(this.endAll(lifeEnds.LifeEndSign.NobodyListens));
      return;
    }
    state.noteGone();
    // One that was going to leave has left; nobody waits for news of it.
    if (state.life.ending.isLeaving) unheard.takeAll();
    for (const run of unheard.all) options.listener.runGone(state, run);
  }

  /**
   * Whether a run may have been there when this life ended. Another life answers by
   * then, so a start sent a moment ago came too late for this one.
   */
  #mayBeThere(occupant: occupants.Occupant): boolean {
    const { sent, sentAtMs } = occupant;
    if (!sent || sentAtMs === null || occupants.isConfirmed(occupant)) {
      return sent;
    }
    const nowMs = this.#options.options.ports.clock.monotonicMs();
    return nowMs - sentAtMs >= LEAST_REBIRTH_MS;
  }

  #endHeld(
    occupant: occupants.Occupant,
    endOf: EndOf,
    crashedByMs: number,
  ): Effect.Effect<void> {
    const { ending } = this.#options.state.life;
    return this.#endRun(
      occupant,
      endOf(ending.presenceOf(occupant, crashedByMs)),
    );
  }

  /** What a former life had, ended with that one. */
  #endRun(
    occupant: occupants.Occupant,
    end: listeners.SessionEnd,
  ): Effect.Effect<void> {
    const { held, former } = this.#options.runs;
    return held.end(occupant, former.take(occupant) ?? end);
  }

  #endUntold(
    untold: readonly unheards.UnheardRun[],
    endOf: EndOf,
  ): readonly Effect.Effect<void>[] {
    const { state, runs: { former }, options: { listener } } = this.#options;
    return untold.map((run) =>
      listener.lateEnd(state, run, former.take(run) ?? endOf(run.presence))
    );
  }
}
