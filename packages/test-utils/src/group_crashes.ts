/** Crashes of groups of endpoints that return before their earlier entries expire. */
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Share of the changes in which a group crashes, 0 to 1. */
const CRASH_SHARE = 0.3;
/** Share of the endpoints in a group, 0 to 1: users recorded ten of 33. */
const GROUP_SHARE = 1 / 3;
/** Time from a crash to the next incarnation, in ms, as users recorded it. */
const RETURN_MS = 1000;
/**
 * Longest time that an earlier entry outlasts the return, in ms, as users recorded it.
 */
const MAX_ENTRY_OVERLAP_MS = 3000;
/** Time between two heartbeats of an endpoint, in ms. */
const HEARTBEAT_MS = 500;

/** Crashes groups of endpoints in one simulation and sends the heartbeats of all. */
export class GroupCrashes {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #heartbeats: Fiber.Fiber<unknown>;

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed);
    fleet.restartDelayMs = RETURN_MS;
    const beat = Effect.sync(() => fleet.sendHeartbeats());
    const wait = fleet.clock.sleep(HEARTBEAT_MS);
    this.#heartbeats = Effect.runFork(
      Effect.forever(Effect.andThen(wait, beat)),
    );
  }

  /** Crashes a group of endpoints at once, or none. */
  change(): void {
    this.#fleet.entryOverlapMs = this.#random.between(0, MAX_ENTRY_OVERLAP_MS);
    if (this.#random.next() >= CRASH_SHARE) return;
    const ids = this.#fleet.workers.listRunning();
    const size = Math.ceil(ids.length * GROUP_SHARE);
    for (let i = 0; i < size; i++) {
      const at = this.#random.between(0, ids.length - 1);
      const [id] = ids.splice(at, 1);
      this.#fleet.workers.crash(id);
    }
  }

  /** Stops the heartbeats. */
  end(): void {
    Effect.runFork(Fiber.interrupt(this.#heartbeats));
  }
}
