/** Cell ownership, takeover, and execution of the scheduler's decisions. */
export { CellManager } from "./src/cell_manager.ts";
export { CellOwner } from "./src/cell_owner.ts";
export {
  type CellPorts,
  ClusterView,
  type ConfigInForce,
} from "./src/ports.ts";
export { type CellDump } from "./src/owner_views.ts";
