/** In-memory stand-ins for the platform and its workers. */
export { FaultSwitch, type StoreFaults } from "./src/fault_switch.ts";
export {
  type LedgerEntry,
  LedgerEvent,
  type LedgerSummary,
  RunLedger,
  summarizeLedger,
} from "./src/run_ledger.ts";
export { MemoryLiveList } from "./src/memory_live_list.ts";
export { MemoryObjectStore } from "./src/memory_object_store.ts";
export { MemoryTable } from "./src/memory_table.ts";
export { MemoryWorkers } from "./src/memory_workers.ts";
export { StandInWorker } from "./src/stand_in_worker.ts";
export { doWork } from "./src/work.ts";
