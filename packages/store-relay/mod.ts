/** Relays calls to the store through a peer while it does not answer this box. */
export { RelayServer, type RelayServerOptions } from "./src/relay_server.ts";
export { RelayedFeed } from "./src/relayed_feed.ts";
export { RelayedTable } from "./src/relayed_table.ts";
export { StoreRoute, type StoreRouteOptions } from "./src/store_route.ts";
