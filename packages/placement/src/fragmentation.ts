/** Measures how much free capacity lies outside whole free blocks. */
import * as blocks from "./blocks.ts";
import type * as space from "./buddy_space.ts";

/** Fragmentation for one block size, 0 to 1; null if less than a block is free. */
export interface FragmentationReading {
  readonly block: number;
  readonly value: number | null;
}

/**
 * For each block size: 1 - (accelerators in free blocks / free accelerators
 * rounded down to whole blocks). Source: docs/MEASURES.md.
 */
export function computeFragmentation(
  racks: space.BuddySpace,
): FragmentationReading[] {
  const free = racks.freeTotal();
  return blocks.BLOCK_SIZES.map((block) => {
    const inWholeBlocks = Math.floor(free / block) * block;
    if (inWholeBlocks === 0) return { block, value: null };
    const inBlocks = racks.blocksTotal(blocks.orderOf(block)) * block;
    return { block, value: 1 - inBlocks / inWholeBlocks };
  });
}
