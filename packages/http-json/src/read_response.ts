/** Reads the response to a call. */
import type * as http from "node:http";
import type * as calls from "./http_call.ts";

/** Reads a response to its end; fails where it is cut off or its JSON is invalid. */
export function readResponse(
  res: http.IncomingMessage,
  succeed: (response: Omit<calls.HttpResponse, "setResponder">) => void,
  fail: (cause: string, neverSent: boolean) => void,
): void {
  let text = "";
  res.setEncoding("utf8");
  res.on("data", (chunk: string) => (text += chunk));
  res.on("error", (err) => fail(err.message, false));
  res.on("close", () => {
    if (!res.complete) fail("the response was cut off", false);
  });
  res.on("end", () => {
    const { statusCode, headers } = res;
    const body = parseBody(text, headers["content-type"] ?? "");
    if (body === undefined) fail("the response is not valid JSON", false);
    else succeed({ status: statusCode ?? 0, body, headers });
  });
}

/**
 * Returns undefined where the content type is JSON and the text is not. An empty
 * body is null and no failure, because the status alone may be the response.
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
