/**
 * Restarts of crashed endpoints, mostly under the same id: soon or late after the
 * crash, with the earlier list entry kept, removed, or written again after the restart,
 * and with a wall clock that may have been set back. Steady clocks go on over a restart
 * in simulations with an even seed and begin anew in the others.
 */
import type * as Ports from "@cairngate/ports";
import type * as StandIns from "@cairngate/stand-ins";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Share of the crashes after which the endpoint keeps its id, 0 to 1. */
const KEEPS_ID_SHARE = 0.75;
/** Share of the crashes after which the earlier entry expires, 0 to 1. */
const ENTRY_REMOVED_SHARE = 0.3;
/** Share of the crashes after which it overwrites the entry of a kept id, 0 to 1. */
const ENTRY_REWRITTEN_SHARE = 0.3;
/** Times from a crash to the next incarnation, in ms. */
const RETURN_DELAYS_MS: readonly number[] = [50, 300, 1000, 3000, 8000, 20_000];
/**
 * Shortest time to an incarnation with another id, in ms: the quickest endpoints
 * recorded by users take 0.5 s, and the scheduler relies on 0.3 s.
 */
const MIN_NEW_ID_RETURN_MS = 300;
/** Longest time from a restart to the rewrite of the earlier entry, in ms. */
const MAX_REWRITE_DELAY_MS = 1500;
/** Share of the incarnations whose wall clock was set back, 0 to 1. */
const CLOCK_SET_BACK_SHARE = 0.2;
const MAX_CLOCK_SET_BACK_MS = 60_000;
/** Time between two heartbeats of an endpoint, in ms. */
const HEARTBEAT_MS = 500;
/** Operators specify that an entry expires after three missed heartbeats. */
const ENTRY_EXPIRY_MS = 3 * HEARTBEAT_MS;
/** Share of the changes in which a third of the endpoints crash, 0 to 1. */
const GROUP_CRASH_SHARE = 0.25;

/** Restarts the endpoints of one simulation and sends their heartbeats. */
export class EndpointRestarts {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #heartbeats: Fiber.Fiber<unknown>;

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed);
    fleet.resetsClocks = seed % 2 === 1;
    fleet.workers.createBirthMs = () => this.#drawBirthMs();
    fleet.workers.onCrash = (spec) => this.#scheduleReturn(spec);
    const beat = Effect.sync(() => fleet.sendHeartbeats());
    const wait = fleet.clock.sleep(HEARTBEAT_MS);
    this.#heartbeats = Effect.runFork(
      Effect.forever(Effect.andThen(wait, beat)),
    );
  }

  /** Crashes a group of endpoints at once, or none. */
  change(): void {
    if (this.#random.next() >= GROUP_CRASH_SHARE) return;
    const ids = this.#fleet.workers.listRunning();
    for (let left = Math.ceil(ids.length / 3); left > 0; left--) {
      const [id] = ids.splice(this.#random.between(0, ids.length - 1), 1);
      this.#fleet.workers.crash(id);
    }
  }

  /** Stops the heartbeats. */
  end(): void {
    Effect.runFork(Fiber.interrupt(this.#heartbeats));
  }

  #drawBirthMs(): number {
    const isSetBack = this.#random.next() < CLOCK_SET_BACK_SHARE;
    const byMs = isSetBack ? this.#random.between(1, MAX_CLOCK_SET_BACK_MS) : 0;
    return this.#fleet.clock.wallMs() - byMs;
  }

  #scheduleReturn(spec: StandIns.TaskEndpointSpec): void {
    const backMs = this.#random.choose(RETURN_DELAYS_MS);
    const keepsId = this.#random.next() < KEEPS_ID_SHARE;
    const entry = this.#random.next();
    const lateMs = this.#random.between(0, MAX_REWRITE_DELAY_MS);
    const earlier = this.#fleet.entryOf(spec.id);
    if (entry < ENTRY_REMOVED_SHARE) {
      this.#schedule(ENTRY_EXPIRY_MS, () => this.#expire(spec.id));
    }
    if (!keepsId) return this.#returnUnderNewId(spec, backMs);
    this.#schedule(backMs, () => {
      this.#fleet.restartUnderSameId(spec);
      const isLate = entry >= ENTRY_REMOVED_SHARE &&
        entry < ENTRY_REMOVED_SHARE + ENTRY_REWRITTEN_SHARE;
      if (isLate) this.#schedule(lateMs, () => this.#rewrite(earlier));
    });
  }

  /** Restarts under another id at the address; the earlier entry expires on time. */
  #returnUnderNewId(spec: StandIns.TaskEndpointSpec, returnMs: number): void {
    const backMs = Math.max(returnMs, MIN_NEW_ID_RETURN_MS);
    this.#schedule(backMs, () => {
      this.#fleet.entryOverlapMs = Math.max(0, ENTRY_EXPIRY_MS - backMs);
      this.#fleet.restartUnderNewId(spec);
    });
  }

  #expire(id: string): void {
    if (!this.#fleet.workers.listRunning().includes(id)) this.#fleet.unlist(id);
  }

  /** Applies a delayed write of the earlier incarnation. */
  #rewrite(earlier: Ports.EndpointListing | null): void {
    const isListed = earlier !== null &&
      this.#fleet.entryOf(earlier.id) !== null;
    if (isListed) this.#fleet.writeEntry(earlier);
  }

  #schedule(ms: number, action: () => void): void {
    const later = Effect.andThen(
      this.#fleet.clock.sleep(ms),
      Effect.sync(action),
    );
    Effect.runFork(later);
  }
}
