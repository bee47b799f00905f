/** Ports to the platform, the workers, the peers, time and random numbers. */
export {
  Clock,
  elapsedMs,
  type Moment,
  type TimeoutResult,
} from "./src/clock.ts";
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
export type { PageRequest } from "./src/page_request.ts";
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
  MAX_ADVISED_ENDPOINTS,
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
  type EndpointReport,
  type HeldRun,
  type OrderError,
  type RenewOrder,
  type RevokedStart,
  type RunRef,
  type StartOrder,
  TaskEndpoints,
} from "./src/task_endpoints.ts";
export type {
  AccessConfig,
  QueueRoute,
  TeamAccess,
} from "./src/access_config.ts";
export {
  type ConfigEntry,
  type EvacuationEntry,
  type OperatorEntry,
  OperatorEntryKind,
} from "./src/operator_entry.ts";
