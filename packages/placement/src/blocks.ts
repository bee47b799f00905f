/**
 * Sizes and tables of buddy blocks. A rack is 8 workers of 8 accelerators;
 * a block of order k has 2^k accelerators and starts at a multiple of its size.
 */

/** Workers of a rack; smaller racks leave the rest unavailable. */
export const WORKERS_PER_RACK = 8;
/** Accelerators of a worker; smaller workers leave the rest unavailable. */
export const ACCELERATORS_PER_WORKER = 8;
/** Accelerators of a whole rack. */
export const ACCELERATORS_PER_RACK = WORKERS_PER_RACK * ACCELERATORS_PER_WORKER;
/** Order of a block that is a whole worker. */
export const WORKER_ORDER = 3;
/** Order of a block that is a whole rack. */
export const LARGEST_ORDER = 6;
/** Mask of a worker with every accelerator taken. */
export const FULL_MASK = 0xff;
/** Block sizes for which fragmentation is reported. */
export const BLOCK_SIZES: readonly number[] = [8, 16, 32, 64];

const MASK_COUNT = 256;

/** Smallest order whose blocks hold this many accelerators. */
export function orderOf(accelerators: number): number {
  let order = 0;
  while ((1 << order) < accelerators) order++;
  return order;
}

/** Accelerators of a block of this order. */
export function sizeOf(order: number): number {
  return 1 << order;
}

/** Number of bits set in a worker's mask. */
export const BIT_COUNT: Uint8Array = buildBitCounts();

/**
 * MAXIMAL[mask * 4 + k]: free blocks of order k within a worker that are not
 * part of a larger free block of the same worker.
 */
export const MAXIMAL: Uint8Array = buildMaximalCounts();

/** Mask of `size` accelerators that starts at bit `offset`. */
export function blockMask(offset: number, size: number): number {
  return ((1 << size) - 1) << offset;
}

function buildBitCounts(): Uint8Array {
  const counts = new Uint8Array(MASK_COUNT);
  for (let mask = 1; mask < MASK_COUNT; mask++) {
    counts[mask] = counts[mask >> 1] + (mask & 1);
  }
  return counts;
}

function buildMaximalCounts(): Uint8Array {
  const counts = new Uint8Array(MASK_COUNT * 4);
  for (let mask = 0; mask < MASK_COUNT; mask++) countMaximal(counts, mask);
  return counts;
}

function countMaximal(counts: Uint8Array, used: number): void {
  let covered = 0;
  for (let order = WORKER_ORDER; order >= 0; order--) {
    const size = 1 << order;
    for (let offset = 0; offset < ACCELERATORS_PER_WORKER; offset += size) {
      const block = blockMask(offset, size);
      if ((used | covered) & block) continue;
      counts[used * 4 + order]++;
      covered |= block;
    }
  }
}
