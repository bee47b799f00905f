/**
 * Simulates endpoints that end runs as slowly as those of users: a stop is answered at
 * once and ends its run later, and the members of a gang end one after another.
 */
import * as randoms from "./seeded_random.ts";
import * as fleets from "./test_fleet.ts";

/** Longest time from the first end in a gang to that of another member, in ms. */
const MAX_GANG_END_DELAY_MS = 1000;
/** Time between two updates of the endpoints, in ms. */
const STEP_MS = 20;

/** Delays the ends of runs in one simulation and tracks the pending ones. */
export class SlowEnds {
  readonly #fleet: fleets.TestFleet;
  /** Times of the pending ends on the clock of the simulation, by task. */
  readonly #endsAtMs = new Map<string, number>();

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    const random = new randoms.SeededRandom(seed);
    const draw = (task: string, maxMs: number) => {
      const delayMs = random.between(0, maxMs);
      this.#endsAtMs.set(task, fleet.clock.monotonicMs() + delayMs);
      return delayMs;
    };
    const { stopMs } = fleets.FLEET_BOUNDS;
    fleet.workers.stopDelayMs = (task) => draw(task, stopMs);
    fleet.workers.gangEndDelayMs = (task) => draw(task, MAX_GANG_END_DELAY_MS);
  }

  /**
   * Endpoints with a run that is being stopped or that ends because another member of
   * its gang has ended.
   */
  get endpoints(): string[] {
    const { clock, workers } = this.#fleet;
    workers.update();
    for (const [task, atMs] of this.#endsAtMs) {
      if (atMs <= clock.monotonicMs()) this.#endsAtMs.delete(task);
    }
    const ending = workers.runs.filter(({ how, task }) =>
      how === null && this.#endsAtMs.has(task)
    );
    return [...new Set(ending.map(({ worker }) => worker))];
  }

  /**
   * Advances the time in small steps and updates the endpoints after each. Updated
   * late, an end would make the other members of its gang end at times that are past.
   */
  async advance(ms: number, isDone: () => boolean = () => false) {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      if (isDone()) return;
      await this.#fleet.clock.advance(Math.min(STEP_MS, ms - elapsedMs));
      this.#fleet.workers.update();
    }
  }

  /** Waits until a run is about to end, or until the timeout. */
  async awaitEnd(timeoutMs: number): Promise<void> {
    await this.advance(timeoutMs, () => this.endpoints.length > 0);
  }
}
