/** Sends HTTP responses. */
import type * as http from "node:http";

/**
 * Length of a body up to which its connection stays open after an early response, in
 * bytes, if the rest of it arrives.
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
  // A response that waits behind another one is not destroyed with its connection.
  if (res.headersSent || res.destroyed || res.req.socket.destroyed) return;
  const body = new TextEncoder().encode(response.text);
  const headers = { ...response.headers, "content-length": body.length };
  const restBytes = restBytesOf(res.req);
  if (restBytes === 0) {
    res.writeHead(status, headers);
    res.end(body);
    return;
  }
  const isLong = restBytes > MAX_REST_BYTES;
  res.writeHead(status, isLong ? { ...headers, connection: "close" } : headers);
  res.write(body);
  drain(res.req, (isWhole) => {
    res.end();
    if (!isWhole) res.once("finish", () => res.req.socket.destroySoon());
  });
}

/** Most bytes of a body that is still arriving; infinite for a chunked one. */
function restBytesOf(req: http.IncomingMessage): number {
  if (req.complete) return 0;
  if (req.headers["transfer-encoding"] !== undefined) return Infinity;
  return Number(req.headers["content-length"] ?? 0);
}

/** Discards the rest of a body within the limits, and tells whether it was whole. */
function drain(
  req: http.IncomingMessage,
  done: (isWhole: boolean) => void,
): void {
  let drainedBytes = 0;
  const finish = (isWhole: boolean) => {
    clearTimeout(timer);
    req.off("data", onData).off("end", onEnd).off("close", onClose);
    done(isWhole);
  };
  const onData = (chunk: Uint8Array) => {
    drainedBytes += chunk.length;
    if (drainedBytes > MAX_DRAINED_BYTES) finish(false);
  };
  const onEnd = () => finish(true);
  const onClose = () => finish(false);
  const timer = setTimeout(onClose, DRAIN_MS);
  req.on("data", onData).on("end", onEnd).on("close", onClose);
  req.on("error", () => {});
  req.resume();
}
