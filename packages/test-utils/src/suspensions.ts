/** Boxes that are suspended one after another. */
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Shortest and longest time for which a box stands still, in ms. */
const SUSPENDED_MS: readonly [number, number] = [1000, 10_000];
/** How far the time of day steps on some of them, in ms. */
const WALL_STEPS_MS: readonly number[] = [0, 0, -2000, 2000];

/** Boxes that stand still, the coordinator first, with their steady clocks. */
export class Suspensions {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #untilMs = new Map<string, number>();

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed + 0.25);
  }

  /** One box stands still from now on; others go on when their time is over. */
  next(): void {
    this.#resumeDue();
    const names = [...this.#fleet.nodes.keys()];
    const coordinator = this.#fleet.coordinator();
    const isKnown = coordinator !== null && names.includes(coordinator);
    const name = isKnown && this.#random.next() < 0.7
      ? coordinator
      : this.#random.choose(names);
    const clock = this.#fleet.clocks.get(name);
    if (clock === undefined) return;
    const lastsMs = this.#random.between(...SUSPENDED_MS);
    this.#untilMs.set(name, this.#fleet.clock.monotonicMs() + lastsMs);
    clock.wallAheadMs = this.#random.choose(WALL_STEPS_MS);
    clock.suspend();
  }

  /** All boxes go on. */
  end(): void {
    for (const clock of this.#fleet.clocks.values()) clock.resume();
  }

  #resumeDue(): void {
    const nowMs = this.#fleet.clock.monotonicMs();
    for (const [name, untilMs] of this.#untilMs) {
      if (untilMs > nowMs) continue;
      this.#untilMs.delete(name);
      this.#fleet.clocks.get(name)?.resume();
    }
  }
}
