/**
 * Sizes and lookup tables of buddy blocks. A rack has up to 8 workers of up to 8
 * accelerators; a block of order k has 2^k accelerators and starts at a multiple
 * of its size.
 */

/** Workers per rack; positions without a worker count as unavailable. */
export const WORKERS_PER_RACK = 8;
/** Accelerators per worker; those that a worker lacks count as unavailable. */
export const ACCELERATORS_PER_WORKER = 8;
/** Accelerators per rack. */
export const ACCELERATORS_PER_RACK = WORKERS_PER_RACK * ACCELERATORS_PER_WORKER;
/** Order of a block that spans a whole worker. */
export const WORKER_ORDER = 3;
/** Order of a block that spans a whole rack. */
export const LARGEST_ORDER = 6;
/** Mask of all accelerators of a worker. */
export const FULL_MASK = 0xff;
/** Block sizes for which fragmentation is reported. */
export const BLOCK_SIZES: readonly number[] = [8, 16, 32, 64];

const MASK_COUNT = 256;

/** Smallest order whose blocks have at least this many accelerators. */
export function orderOf(accelerators: number): number {
  let order = 0;
  while ((1 << order) < accelerators) order++;
  return order;
}

/** Accelerators of a block of this order. */
export function sizeOf(order: number): number {
  return 1 << order;
}

/** Number of bits set, indexed by a worker's mask. */
export const BIT_COUNT: Uint8Array = buildBitCounts();

/**
 * Number of maximal free blocks of a worker, which are not part of a larger free
 * block of it. Indexed by used mask * 4 + order.
 */
export const MAXIMAL: Uint8Array = buildMaximalCounts();

/** Mask of `size` accelerators from bit `offset` on. */
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
