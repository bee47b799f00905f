/** JSON over Node's http: reads bodies, sends responses and makes calls. */
export { formatAddress, listen, parseAddress } from "./src/address.ts";
export {
  type HttpCall,
  HttpLostError,
  type HttpResponse,
} from "./src/http_call.ts";
export {
  HttpCaller,
  type HttpCallerOptions,
  type SilentConnection,
} from "./src/http_caller.ts";
export { type TrafficListener } from "./src/connection_pool.ts";
export { ConnectionDrain } from "./src/connection_drain.ts";
export { isObject } from "./src/is_object.ts";
export { readJsonBody } from "./src/read_json_body.ts";
export { sendJson, sendText } from "./src/send.ts";
