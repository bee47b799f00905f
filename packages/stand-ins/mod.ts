/** In-memory stand-ins for the platform and its endpoints. */
export { BusyProcessor } from "./src/busy_processor.ts";
export { BusyTaskEndpoints } from "./src/busy_task_workers.ts";
export { FaultyTable } from "./src/faulty_table.ts";
export { FaultSwitch, type StoreFaults } from "./src/fault_switch.ts";
export {
  type ExecutionEntry,
  ExecutionEvent,
  type ExecutionSummary,
  RunLog,
  summarizeRunLog,
} from "./src/run_log.ts";
export { MemoryLiveList } from "./src/memory_live_list.ts";
export { MemoryObjectStore } from "./src/memory_object_store.ts";
export { MemoryRowFeed } from "./src/memory_row_feed.ts";
export { MemoryTaskEndpoints } from "./src/memory_task_workers.ts";
export { MemoryTable, type TableChange } from "./src/memory_table.ts";
export { MemoryEndpoints } from "./src/memory_workers.ts";
export {
  type CallConnection,
  OpenConnections,
} from "./src/open_connections.ts";
export { DeadAddressOutcome, OrderOutcome } from "./src/order_outcome.ts";
export { OrderTransit, type TransitTimes } from "./src/order_transit.ts";
export type { TaskRunRecord } from "./src/run_record.ts";
export { StandInEndpoint } from "./src/stand_in_worker.ts";
export { doWork } from "./src/work.ts";
export type { TaskEndpointSpec } from "./src/incarnation.ts";
