/** Endpoints that orders do not get through to for a moment; all of them run on. */
import * as StandIns from "@cairngate/stand-ins";
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Length of a cut, in ms: shorter than any lease. */
const LENGTH_MS = { least: 300, most: 3000 };
/** Most endpoints that are cut off at one moment. */
const MOST_AT_ONCE = 4;

/** What becomes of orders during a cut: all alike, or each as it is drawn. */
const SHAPES: readonly (readonly StandIns.OrderFate[])[] = [
  [StandIns.OrderFate.Lost],
  [StandIns.OrderFate.AnswerLost],
  [StandIns.OrderFate.Lost, StandIns.OrderFate.AnswerLost],
];

interface Cut {
  readonly untilMs: number;
  readonly fates: readonly StandIns.OrderFate[];
}

/** The cuts of one play. */
export class BriefCuts {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #cuts = new Map<string, Cut>();

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed);
  }

  /**
   * Cuts some endpoints off, for one time and in one way. If there are any on which a
   * run is about to end, those are struck and one of them is left; else some that run.
   */
  strike(ending: readonly string[]): void {
    const isAny = ending.length > 1;
    const from = isAny ? [...ending] : this.#listBusy();
    const lastsMs = this.#random.between(LENGTH_MS.least, LENGTH_MS.most);
    const untilMs = this.#fleet.clock.monotonicMs() + lastsMs;
    const fates = this.#random.choose(SHAPES);
    const most = isAny ? ending.length - 1 : MOST_AT_ONCE;
    const count = this.#random.between(1, most);
    for (let i = 0; i < count && from.length > 0; i++) {
      const [id] = from.splice(this.#random.between(0, from.length - 1), 1);
      this.#cuts.set(id, { untilMs, fates });
    }
  }

  #listBusy(): string[] {
    const { workers } = this.#fleet;
    workers.settle();
    const running = workers.runs.filter(({ how }) => how === null);
    return [...new Set(running.map(({ worker }) => worker))];
  }

  /** What becomes of an order to an endpoint that arrives now. */
  fateOf(id: string): StandIns.OrderFate {
    const cut = this.#cuts.get(id);
    const isOver = cut === undefined ||
      cut.untilMs <= this.#fleet.clock.monotonicMs();
    return isOver ? StandIns.OrderFate.Carried : this.#random.choose(cut.fates);
  }

  /** Orders get through to all. */
  endAll(): void {
    this.#cuts.clear();
  }
}
