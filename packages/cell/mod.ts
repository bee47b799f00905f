/** Ownership of a cell, takeover, and carrying out the scheduler's plans. */
export { CellManager } from "./src/cell_manager.ts";
export { type CellDump, CellOwner } from "./src/cell_owner.ts";
export {
  type CellPorts,
  ClusterView,
  type ConfigInForce,
} from "./src/ports.ts";
