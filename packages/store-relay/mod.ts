/** Calls to the store through a peer while the store turns this node away. */
export { RelayServer, type RelayServerOptions } from "./src/relay_server.ts";
export { RelayedFeed } from "./src/relayed_feed.ts";
export { RelayedTable } from "./src/relayed_table.ts";
export { StoreRoute, type StoreRouteOptions } from "./src/store_route.ts";
