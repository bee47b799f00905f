/**
 * Endpoints as slow as those of users: a stop is answered at once and ends its run
 * later, and the members of a gang end one after another.
 */
import * as randoms from "./seeded_random.ts";
import * as fleets from "./test_fleet.ts";

/** Most time by which a member of a gang ends after the first one, in ms. */
const MOST_FOLLOWS_MS = 1000;
/** Time between two moments at which what has come about is taken in, in ms. */
const STEP_MS = 20;

/** The slow ends of one play, and where runs are about to end. */
export class SlowEnds {
  readonly #fleet: fleets.TestFleet;
  /** Our times of the ends that are on their way, by task. */
  readonly #endsAtMs = new Map<string, number>();

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    const random = new randoms.SeededRandom(seed);
    const draw = (task: string, mostMs: number) => {
      const takesMs = random.between(0, mostMs);
      this.#endsAtMs.set(task, fleet.clock.monotonicMs() + takesMs);
      return takesMs;
    };
    const { stopMs } = fleets.FLEET_BOUNDS;
    fleet.workers.stopTakesMs = (task) => draw(task, stopMs);
    fleet.workers.gangFollowsMs = (task) => draw(task, MOST_FOLLOWS_MS);
  }

  /**
   * Endpoints with a run that is being stopped, or will follow the first end of its
   * gang.
   */
  get endpoints(): string[] {
    const { clock, workers } = this.#fleet;
    workers.settle();
    for (const [task, atMs] of this.#endsAtMs) {
      if (atMs <= clock.monotonicMs()) this.#endsAtMs.delete(task);
    }
    const ending = workers.runs.filter(({ how, task }) =>
      how === null && this.#endsAtMs.has(task)
    );
    return [...new Set(ending.map(({ worker }) => worker))];
  }

  /**
   * Moves time on in small steps. Ends come about at endpoints whether or not anybody
   * asks them; taken in late, one would make others end at times that are past.
   */
  async advance(ms: number, isEnough: () => boolean = () => false) {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      if (isEnough()) return;
      await this.#fleet.clock.advance(Math.min(STEP_MS, ms - passedMs));
      this.#fleet.workers.settle();
    }
  }

  /** Waits for such an end, for some time. */
  async awaitOne(limitMs: number): Promise<void> {
    await this.advance(limitMs, () => this.endpoints.length > 0);
  }
}
