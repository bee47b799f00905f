/** Which accelerators are used, and which whole blocks are free. */
import * as blocks from "./blocks.ts";

const ORDERS = blocks.LARGEST_ORDER + 1;

/** A block within a rack. */
export interface BlockPosition {
  readonly rack: number;
  /** First accelerator of the block, counted within the rack. */
  readonly offset: number;
  readonly order: number;
}

/**
 * Occupancy of a number of racks. Every accelerator is free or used; the number
 * of maximal free blocks of each order is maintained for each rack.
 */
export class BuddySpace {
  readonly rackCount: number;
  readonly #used: Uint8Array;
  readonly #maximal: Uint8Array;
  readonly #free: Uint8Array;
  /** Masks before the current trial, by worker; null outside of trials. */
  #trial: Map<number, number> | null = null;

  /** Starts with every accelerator free. */
  constructor(rackCount: number) {
    this.rackCount = rackCount;
    this.#used = new Uint8Array(rackCount * blocks.WORKERS_PER_RACK);
    this.#maximal = new Uint8Array(rackCount * ORDERS);
    this.#free = new Uint8Array(rackCount);
    for (let rack = 0; rack < rackCount; rack++) this.#recount(rack);
  }

  /** Mask of the used accelerators of a worker. */
  usedMask(worker: number): number {
    return this.#used[worker];
  }

  /** Replaces the mask of the used accelerators of a worker. */
  setUsedMask(worker: number, mask: number): void {
    if (this.#used[worker] === mask) return;
    this.#recordForTrial(worker);
    this.#used[worker] = mask;
    this.#recount(Math.floor(worker / blocks.WORKERS_PER_RACK));
  }

  /** Runs a search that changes masks, then restores them. */
  runTrial<T>(search: () => T): T {
    const outer = this.#trial;
    const before = new Map<number, number>();
    this.#trial = before;
    const found = search();
    // Restores as part of the outer trial, which records these changes too.
    this.#trial = outer;
    for (const [worker, mask] of before) this.setUsedMask(worker, mask);
    return found;
  }

  /** Free accelerators of a rack. */
  freeInRack(rack: number): number {
    return this.#free[rack];
  }

  /** Free accelerators of all racks. */
  freeTotal(): number {
    let total = 0;
    for (let rack = 0; rack < this.rackCount; rack++) total += this.#free[rack];
    return total;
  }

  /** Number of free blocks of an order in a rack, if larger ones are split. */
  blocksInRack(rack: number, order: number): number {
    let count = 0;
    for (let k = order; k < ORDERS; k++) {
      count += this.#maximal[rack * ORDERS + k] << (k - order);
    }
    return count;
  }

  /** Number of free blocks of an order in all racks, if larger ones are split. */
  blocksTotal(order: number): number {
    let count = 0;
    for (let rack = 0; rack < this.rackCount; rack++) {
      count += this.blocksInRack(rack, order);
    }
    return count;
  }

  /** Order of the smallest maximal free block of at least `order`; -1 if none. */
  smallestFit(rack: number, order: number): number {
    for (let k = order; k < ORDERS; k++) {
      if (this.#maximal[rack * ORDERS + k] > 0) return k;
    }
    return -1;
  }

  /** Number of maximal free blocks of each order, over all racks. */
  maximalCounts(): number[] {
    const counts = new Array<number>(ORDERS).fill(0);
    for (let rack = 0; rack < this.rackCount; rack++) {
      for (let k = 0; k < ORDERS; k++) {
        counts[k] += this.#maximal[rack * ORDERS + k];
      }
    }
    return counts;
  }

  /** Whether every accelerator of a block is free. */
  isFree(block: BlockPosition): boolean {
    const size = blocks.sizeOf(block.order);
    const first = block.rack * blocks.WORKERS_PER_RACK + (block.offset >> 3);
    if (block.order <= blocks.WORKER_ORDER) {
      return (this.#used[first] & blocks.blockMask(block.offset & 7, size)) ===
        0;
    }
    for (let i = 0; i < size >> 3; i++) {
      if (this.#used[first + i] !== 0) return false;
    }
    return true;
  }

  /** First free block of an order inside a maximal block of order `within`. */
  findIn(rack: number, order: number, within: number): BlockPosition | null {
    const step = blocks.sizeOf(within);
    for (
      let offset = 0;
      offset < blocks.ACCELERATORS_PER_RACK;
      offset += step
    ) {
      const outer = { rack, offset, order: within };
      if (!this.isFree(outer) || this.#isPartOfLarger(outer)) continue;
      return { rack, offset, order };
    }
    return null;
  }

  #recordForTrial(worker: number): void {
    if (this.#trial === null || this.#trial.has(worker)) return;
    this.#trial.set(worker, this.#used[worker]);
  }

  #isPartOfLarger(block: BlockPosition): boolean {
    if (block.order >= blocks.LARGEST_ORDER) return false;
    const order = block.order + 1;
    const offset = block.offset & ~(blocks.sizeOf(order) - 1);
    return this.isFree({ rack: block.rack, offset, order });
  }

  #recount(rack: number): void {
    const base = rack * ORDERS;
    this.#maximal.fill(0, base, base + ORDERS);
    const first = rack * blocks.WORKERS_PER_RACK;
    let free = 0;
    let freeWorkers = 0;
    for (let i = 0; i < blocks.WORKERS_PER_RACK; i++) {
      const mask = this.#used[first + i];
      free += blocks.ACCELERATORS_PER_WORKER - blocks.BIT_COUNT[mask];
      for (let k = 0; k < blocks.WORKER_ORDER; k++) {
        this.#maximal[base + k] += blocks.MAXIMAL[mask * 4 + k];
      }
      if (mask === 0) freeWorkers |= 1 << i;
    }
    this.#free[rack] = free;
    this.#countWholeWorkers(base, freeWorkers);
  }

  #countWholeWorkers(base: number, freeWorkers: number): void {
    // The 8 workers of a rack form the same buddy tree as the 8 accelerators of
    // a worker, three orders higher.
    const used = ~freeWorkers & blocks.FULL_MASK;
    for (let k = 0; k <= blocks.WORKER_ORDER; k++) {
      this.#maximal[base + blocks.WORKER_ORDER + k] = blocks.MAXIMAL[
        used * 4 + k
      ];
    }
  }
}
