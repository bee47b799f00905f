/** Sends HTTP responses. */
import type * as http from "node:http";

/**
 * Length of a body up to which the rest of it is read after a response, in bytes, so
 * that the connection can be used again.
 */
const MAX_REST_BYTES = 65_536;
/**
 * Limits of what is read after a response to an unread body, in bytes and ms. Closing
 * a connection with unread bytes resets it, and the caller may lose the response.
 */
const MAX_DRAINED_BYTES = 1_048_576;
const DRAIN_MS = 1000;

/** Sends a JSON response, unless one was sent or the caller has disconnected. */
export function sendJson(
  res: http.ServerResponse,
  status: number,
  response: { body: unknown; headers?: Readonly<Record<string, string>> },
): void {
  const headers = { "content-type": "application/json", ...response.headers };
  send(res, status, { text: JSON.stringify(response.body) ?? "null", headers });
}

/** Sends a plain-text response, unless one was sent or the caller has disconnected. */
export function sendText(
  res: http.ServerResponse,
  status: number,
  text: string,
): void {
  const headers = { "content-type": "text/plain; charset=utf-8" };
  send(res, status, { text, headers });
}

function send(
  res: http.ServerResponse,
  status: number,
  response: { text: string; headers: Readonly<Record<string, string>> },
): void {
  if (res.headersSent || res.destroyed) return;
  const body = new TextEncoder().encode(response.text);
  const headers = { ...response.headers, "content-length": body.length };
  if (!hasLongRest(res.req)) {
    res.writeHead(status, headers);
    res.end(body);
    return;
  }
  res.writeHead(status, { ...headers, connection: "close" });
  res.write(body);
  drain(res.req, () => res.end());
}

/** Whether a body is still arriving that is long or of unknown length. */
function hasLongRest(req: http.IncomingMessage): boolean {
  if (req.complete) return false;
  if (req.headers["transfer-encoding"] !== undefined) return true;
  return Number(req.headers["content-length"] ?? 0) > MAX_REST_BYTES;
}

/** Discards the rest of a body within the limits, then calls `done`. */
function drain(req: http.IncomingMessage, done: () => void): void {
  let drainedBytes = 0;
  const finish = () => {
    clearTimeout(timer);
    req.off("data", onData).off("end", finish).off("close", finish);
    done();
  };
  const onData = (chunk: Uint8Array) => {
    drainedBytes += chunk.length;
    if (drainedBytes > MAX_DRAINED_BYTES) finish();
  };
  const timer = setTimeout(finish, DRAIN_MS);
  req.on("data", onData).on("end", finish).on("close", finish);
  req.on("error", () => {});
  req.resume();
}
