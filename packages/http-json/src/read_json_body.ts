/** Reads JSON request bodies of limited size. */
import * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";
import type * as http from "node:http";

/** Reads and parses the body of a request; an empty body is null. */
export function readJsonBody(
  req: http.IncomingMessage,
  limitBytes: number,
): Effect.Effect<unknown, Errors.BadRequestError | Errors.TooLargeError> {
  return Effect.flatMap(readBody(req, limitBytes), parseBody);
}

function readBody(
  req: http.IncomingMessage,
  limitBytes: number,
): Effect.Effect<string, Errors.BadRequestError | Errors.TooLargeError> {
  return Effect.callback((resume) => {
    const chunks: Uint8Array[] = [];
    let size = 0;
    req.on("data", (chunk: Uint8Array) => {
      size += chunk.length;
      if (size > limitBytes) {
        const what = "The request body";
        resume(Effect.fail(new Errors.TooLargeError({ what, limitBytes })));
        chunks.length = 0;
        return;
      }
      chunks.push(chunk);
    });
    req.on("end", () => {
      resume(Effect.succeed(new TextDecoder().decode(concat(chunks, size))));
    });
    req.on("error", () => {
      const expected = "a complete body";
      resume(
        Effect.fail(new Errors.BadRequestError({ field: "body", expected })),
      );
    });
  });
}

function concat(chunks: readonly Uint8Array[], size: number): Uint8Array {
  const bytes = new Uint8Array(size);
  let offset = 0;
  for (const chunk of chunks) {
    bytes.set(chunk, offset);
    offset += chunk.length;
  }
  return bytes;
}

function parseBody(
  text: string,
): Effect.Effect<unknown, Errors.BadRequestError> {
  if (text === "") return Effect.succeed(null);
  return Effect.try({
    try: () => JSON.parse(text) as unknown,
    catch: () =>
      new Errors.BadRequestError({ field: "body", expected: "valid JSON" }),
  });
}
