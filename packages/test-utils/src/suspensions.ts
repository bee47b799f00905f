/** Random suspensions of boxes. */
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Shortest and longest suspension, in ms. */
const SUSPENDED_MS: readonly [number, number] = [1000, 10_000];
/** Offsets of the wall clock of a suspended box, in ms. */
const WALL_STEPS_MS: readonly number[] = [0, 0, -2000, 2000];

/** Suspends boxes with their monotonic clocks, mostly the coordinator. */
export class Suspensions {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #untilMs = new Map<string, number>();

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed + 0.25);
  }

  /** Resumes the boxes that are due and suspends one. */
  next(): void {
    this.#resumeDue();
    const names = [...this.#fleet.boxes.keys()];
    const coordinator = this.#fleet.coordinator();
    const isCoordinatorUp = coordinator !== null && names.includes(coordinator);
    const name = isCoordinatorUp && this.#random.next() < 0.7
      ? coordinator
      : this.#random.choose(names);
    const clock = this.#fleet.clocks.get(name);
    if (clock === undefined) return;
    const durationMs = this.#random.between(...SUSPENDED_MS);
    this.#untilMs.set(name, this.#fleet.clock.monotonicMs() + durationMs);
    clock.wallAheadMs = this.#random.choose(WALL_STEPS_MS);
    clock.suspend();
  }

  /** Resumes all boxes. */
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
