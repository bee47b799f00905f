/** Occupancy of racks as buddy blocks, and the feasibility of guarantees. */
export {
  ACCELERATORS_PER_RACK,
  BLOCK_SIZES,
  FULL_MASK,
  LARGEST_ORDER,
  orderOf,
  sizeOf,
  WORKERS_PER_RACK,
} from "./src/blocks.ts";
export { type BlockPosition, BuddySpace } from "./src/buddy_space.ts";
export {
  type BoundBlock,
  type GuaranteeDemand,
  GuaranteeTracker,
} from "./src/guarantee_tracker.ts";
export {
  computeFragmentation,
  type FragmentationReading,
} from "./src/fragmentation.ts";
