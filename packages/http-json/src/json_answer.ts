/** Reads the whole answer to a call. */
import type * as http from "node:http";
import type * as calls from "./http_call.ts";

/** Reads an answer to its end; one that is cut off or is not JSON fails. */
export function readResponse(
  res: http.IncomingMessage,
  succeed: (response: Omit<calls.HttpReply, "noteSpeaker">) => void,
  fail: (cause: string, neverSent: boolean) => void,
): void {
  let text = "";
  res.setEncoding("utf8");
  res.on("data", (chunk: string) => (text += chunk));
  res.on("error", (err) => fail(err.message, false));
  res.on("close", () => {
    if (!res.complete) fail("the answer was cut off", false);
  });
  res.on("end", () => {
    const { statusCode, headers } = res;
    const body = parseBody(text, headers["content-type"] ?? "");
    if (body === undefined) fail("the answer is not JSON", false);
    else succeed({ status: statusCode ?? 0, body, headers });
  });
}

/**
 * Undefined where the answer claims to be JSON and is not. One without a body is
 * whole: its status may say all.
 */
function parseBody(text: string, type: string): unknown {
  if (!type.includes("json")) return text;
  if (text === "") return null;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
