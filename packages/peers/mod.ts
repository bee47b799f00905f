/** Links between boxes: WebSocket with msgpackr, one fiber per peer. */
export {
  WsStorePeers,
  type WsStorePeersOptions,
} from "./src/ws_store_peers.ts";
export {
  WsPeerNetwork,
  type WsPeerNetworkOptions,
} from "./src/ws_peer_network.ts";
export { isNestedDeeper } from "./src/nesting.ts";
