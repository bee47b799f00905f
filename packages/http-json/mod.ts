/** JSON over Node's http: reading bodies, sending answers, calling. */
export { formatAddress, listen, parseAddress } from "./src/address.ts";
export {
  type HttpCall,
  HttpCaller,
  type HttpCallerOptions,
  HttpLostError,
  type HttpReply,
  type SilentConnection,
  type TrafficListener,
} from "./src/http_caller.ts";
export { isObject } from "./src/is_object.ts";
export { readJsonBody } from "./src/read_json_body.ts";
export { sendJson, sendText } from "./src/send.ts";
