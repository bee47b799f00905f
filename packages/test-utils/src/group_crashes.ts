/** Endpoints that end in groups and are back soon, beside their former entries. */
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Share of the changes in which a group ends. */
const CRASH_SHARE = 0.3;
/** Share of the endpoints in a group: ten of 33 in the users' record. */
const GROUP_SHARE = 1 / 3;
/** Time after which another life is there, in ms: as in the users' record. */
const BACK_MS = 1000;
/** Longest time for which a former entry outlasts that, in ms: as there. */
const OUTLASTS_MS = 3000;
/** Time between two heartbeats of an endpoint, in ms. */
const BEAT_MS = 500;

/** Groups of endpoints that end in one play, and the heartbeats of all. */
export class GroupCrashes {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #beats: Fiber.Fiber<unknown>;

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed);
    fleet.crashBackMs = BACK_MS;
    const beat = Effect.sync(() => fleet.beat());
    const wait = fleet.clock.sleep(BEAT_MS);
    this.#beats = Effect.runFork(Effect.forever(Effect.andThen(wait, beat)));
  }

  /** A group ends at one moment, or none does. */
  change(): void {
    this.#fleet.entryOutlastsMs = this.#random.between(0, OUTLASTS_MS);
    if (this.#random.next() >= CRASH_SHARE) return;
    const lives = this.#fleet.workers.listLives();
    const size = Math.ceil(lives.length * GROUP_SHARE);
    for (let i = 0; i < size; i++) {
      const at = this.#random.between(0, lives.length - 1);
      const [id] = lives.splice(at, 1);
      this.#fleet.workers.crash(id);
    }
  }

  /** No endpoint writes its entry again. */
  end(): void {
    Effect.runFork(Fiber.interrupt(this.#beats));
  }
}
