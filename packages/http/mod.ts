/** The callers' and the operators' HTTP servers. */
export { type CallersServer, serveCallers } from "./src/callers_server.ts";
export { serveOperators } from "./src/operators_server.ts";
