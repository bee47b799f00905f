/** Links between boxes: ws with msgpackr, one fiber for each peer. */
export {
  WsStorePeers,
  type WsStorePeersOptions,
} from "./src/ws_store_peers.ts";
export { WsPeerNetwork, type WsPeerOptions } from "./src/ws_peer_network.ts";
