/** In-memory stand-ins for the platform and its endpoints. */
export { BusyProcessor } from "./src/busy_processor.ts";
export { BusyTaskWorkers } from "./src/busy_task_workers.ts";
export { FaultyTable } from "./src/faulty_table.ts";
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
export { MemoryRowFeed } from "./src/memory_row_feed.ts";
export { MemoryTaskWorkers } from "./src/memory_task_workers.ts";
export { MemoryTable, type TableChange } from "./src/memory_table.ts";
export { MemoryWorkers } from "./src/memory_workers.ts";
export {
  type CallConnection,
  OpenConnections,
} from "./src/open_connections.ts";
export { DeadAddress, OrderFate } from "./src/order_fate.ts";
export { OrderTransit, type WayTimes } from "./src/order_ways.ts";
export type { TaskRunNote } from "./src/run_note.ts";
export { StandInWorker } from "./src/stand_in_worker.ts";
export { doWork } from "./src/work.ts";
export type { TaskWorkerSpec } from "./src/worker_life.ts";
