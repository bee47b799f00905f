/** The HTTP servers for callers and for operators. */
export { type CallersServer, serveCallers } from "./src/callers_server.ts";
export { serveOperators } from "./src/operators_server.ts";
