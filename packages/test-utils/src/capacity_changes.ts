/** Simulates endpoints whose listed capacity changes, and checks starts against it. */
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/**
 * Time after which a reduced capacity binds the scheduler, in ms: operators allow for
 * one contact and one heartbeat.
 */
const CAPACITY_EFFECTIVE_MS = 4500;

/** Changes the listed accelerators of endpoints and checks starts against them. */
export class CapacityChanges {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #sizes: readonly number[];
  readonly #changes: { id: string; atMs: number; capacity: number }[] = [];

  /** @param sizes accelerators of the endpoints, by index of their address */
  constructor(
    fleet: fleets.TestFleet,
    options: { readonly seed: number; readonly sizes: readonly number[] },
  ) {
    this.#fleet = fleet;
    this.#sizes = options.sizes;
    // A separate generator, so that the other faults of a seed do not change.
    this.#random = new randoms.SeededRandom(options.seed + 0.5);
    fleet.workers.enforcesCapacity = false;
  }

  /** Lists a random endpoint with a random number of accelerators. */
  change(): void {
    const ids = this.#fleet.workers.listRunning();
    if (ids.length === 0) return;
    const id = this.#random.choose(ids);
    this.#set(id, this.#random.between(0, this.#sizeOf(id)));
  }

  /** Lists all endpoints with all of their accelerators again. */
  restore(): void {
    for (const id of this.#fleet.workers.listRunning()) {
      this.#set(id, this.#sizeOf(id));
    }
  }

  /** Returns the starts that exceeded the capacity listed at the time, as messages. */
  findViolations(): string[] {
    const { runs } = this.#fleet.workers;
    return runs.flatMap(({ task, run, worker, startedAtMs }) => {
      const concurrent = runs.filter((record) =>
        record.worker === worker && record.startedAtMs <= startedAtMs &&
        (record.endedAtMs ?? Number.POSITIVE_INFINITY) > startedAtMs
      );
      const capacity = this.#capacityAt(worker, startedAtMs);
      return concurrent.length > capacity
        ? [
          `${task} run ${run}: ${concurrent.length} runs on a capacity of ${capacity}`,
        ]
        : [];
    });
  }

  #set(id: string, capacity: number): void {
    const place = this.#fleet.indexOf(id);
    this.#fleet.list({ id, accelerators: capacity }, place);
    this.#changes.push({ id, atMs: this.#fleet.clock.monotonicMs(), capacity });
  }

  #sizeOf(id: string): number {
    return this.#sizes[this.#fleet.indexOf(id)];
  }

  /** Highest capacity listed within the effective time before a moment. */
  #capacityAt(id: string, atMs: number): number {
    const changes = this.#changes.filter((one) =>
      one.id === id && one.atMs < atMs
    );
    const earlier = changes.filter((one) =>
      one.atMs <= atMs - CAPACITY_EFFECTIVE_MS
    );
    const relevant = changes.slice(Math.max(0, earlier.length - 1));
    const capacities = relevant.map(({ capacity }) => capacity);
    if (earlier.length === 0) capacities.push(this.#sizeOf(id));
    return Math.max(...capacities);
  }
}
