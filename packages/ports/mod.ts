/** Ports to the platform, the workers, the peers, time and random numbers. */
export { Clock, type Timed } from "./src/clock.ts";
export { LiveList, type LiveSnapshot } from "./src/live_list.ts";
export { ObjectStore } from "./src/object_store.ts";
export {
  type Row,
  type RowCondition,
  type RowPage,
  type RowWrite,
  TableService,
  type Transaction,
  type WriteError,
} from "./src/table_service.ts";
export type { StoreError } from "./src/store_error.ts";
export type { PageAsk } from "./src/page_ask.ts";
export { type WorkerError, Workers } from "./src/workers.ts";
export { type PeerHandler, PeerNetwork } from "./src/peer_network.ts";
export {
  type StoreCall,
  StoreCallKind,
  StoreOutcome,
  type StorePeer,
  StorePeers,
  type StoreReply,
} from "./src/store_peers.ts";
export { RandomSource } from "./src/random_source.ts";
export {
  type Advice,
  type AdviceTicket,
  Advisor,
  MOST_ADVISED,
} from "./src/advisor.ts";
export {
  type FeedEntry,
  type FeedPage,
  RowFeed,
  type SnapshotPage,
} from "./src/row_feed.ts";
export {
  type EndedRun,
  type EndKind,
  type EndpointListing,
  type EndpointRef,
  type EndpointView,
  type HeldRun,
  type OrderError,
  type RenewLease,
  type RunRef,
  type StartRun,
  TaskWorkers,
} from "./src/task_workers.ts";
export type {
  AccessConfig,
  QueueRoute,
  TenantAccess,
} from "./src/access_config.ts";
export {
  type ConfigEntry,
  type EvacuationEntry,
  type OperatorEntry,
  OperatorEntryKind,
} from "./src/operator_entry.ts";
