/** Links between boxes: ws with msgpackr, one fiber for each peer. */
export { WsPeerNetwork, type WsPeerOptions } from "./src/ws_peer_network.ts";
