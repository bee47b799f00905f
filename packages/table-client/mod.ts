/** Client of the table service: retries, lost answers and grouped writes. */
export { StoreClient, type StoreClientOptions } from "./src/store_client.ts";
export { type GroupedWrite, GroupedWriter } from "./src/grouped_writer.ts";
export { PagedRead } from "./src/paged_read.ts";
export * as Keys from "./src/keys.ts";
export { RowFollower, type RowFollowerOptions } from "./src/row_follower.ts";
