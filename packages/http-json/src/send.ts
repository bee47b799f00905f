/** Sends HTTP responses. */
import type * as http from "node:http";

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
  res.writeHead(status, { ...response.headers, "content-length": body.length });
  res.end(body);
}
