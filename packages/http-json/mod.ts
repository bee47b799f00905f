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
export { ConnectionLimit } from "./src/connection_limit.ts";
export { isObject } from "./src/is_object.ts";
export { BodyBudget, type BodyClaim } from "./src/body_budget.ts";
export {
  type BodyFailure,
  type BodyLimits,
  readJsonBody,
} from "./src/read_json_body.ts";
export { giveUpLastCallers } from "./src/last_callers.ts";
export { RequestLimit, type RequestLimits } from "./src/request_limit.ts";
export { sendJson, sendText } from "./src/send.ts";
export {
  DEFAULT_MACHINE,
  deriveServerLimits,
  type MachineLimits,
  type ServerLimits,
} from "./src/server_limits.ts";
