/** Short network cuts between the boxes and some endpoints, which keep running. */
import * as StandIns from "@cairngate/stand-ins";
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Duration of a cut, in ms: shorter than any lease. */
const CUT_MS = { min: 300, max: 3000 };
/** Limit on the endpoints that one call cuts off while no run is about to end. */
const MAX_CUT_ENDPOINTS = 4;

/** Outcomes that the orders of one cut draw from. */
const OUTCOME_SETS: readonly (readonly StandIns.OrderOutcome[])[] = [
  [StandIns.OrderOutcome.Lost],
  [StandIns.OrderOutcome.AnswerLost],
  [StandIns.OrderOutcome.Lost, StandIns.OrderOutcome.AnswerLost],
];

interface Cut {
  readonly untilMs: number;
  readonly outcomes: readonly StandIns.OrderOutcome[];
}

/** Short cuts of one simulation. */
export class BriefCuts {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #cuts = new Map<string, Cut>();

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed);
  }

  /**
   * Cuts off some endpoints for the same time and with the same outcomes. Chooses among
   * the endpoints on which a run is about to end, of which at least one stays
   * connected, or among all busy endpoints if fewer than two are about to end a run.
   */
  inject(ending: readonly string[]): void {
    const hasEnding = ending.length > 1;
    const candidates = hasEnding ? [...ending] : this.#listBusy();
    const durationMs = this.#random.between(CUT_MS.min, CUT_MS.max);
    const untilMs = this.#fleet.clock.monotonicMs() + durationMs;
    const outcomes = this.#random.choose(OUTCOME_SETS);
    const max = hasEnding ? ending.length - 1 : MAX_CUT_ENDPOINTS;
    const count = this.#random.between(1, max);
    for (let i = 0; i < count && candidates.length > 0; i++) {
      const [id] = candidates.splice(
        this.#random.between(0, candidates.length - 1),
        1,
      );
      this.#cuts.set(id, { untilMs, outcomes });
    }
  }

  #listBusy(): string[] {
    const { workers } = this.#fleet;
    workers.update();
    const running = workers.runs.filter(({ how }) => how === null);
    return [...new Set(running.map(({ worker }) => worker))];
  }

  /** Draws the outcome of an order that arrives at an endpoint now. */
  outcomeOf(id: string): StandIns.OrderOutcome {
    const cut = this.#cuts.get(id);
    const isOver = cut === undefined ||
      cut.untilMs <= this.#fleet.clock.monotonicMs();
    return isOver
      ? StandIns.OrderOutcome.Delivered
      : this.#random.choose(cut.outcomes);
  }

  /** Ends all cuts. */
  endAll(): void {
    this.#cuts.clear();
  }
}
