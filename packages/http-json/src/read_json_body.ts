/** Reads JSON request bodies of limited size. */
import * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";
import type * as http from "node:http";
import * as buffers from "./body_buffer.ts";

type BodyFailure = Errors.BadRequestError | Errors.TooLargeError;

/**
 * Reads and parses the body of a request; an empty body is null. Reading ends with the
 * first failure; a body that is announced as too large is not read at all.
 */
export function readJsonBody(
  req: http.IncomingMessage,
  limitBytes: number,
): Effect.Effect<unknown, BodyFailure> {
  return Effect.flatMap(readBody(req, limitBytes), parseBody);
}

function readBody(
  req: http.IncomingMessage,
  limitBytes: number,
): Effect.Effect<string, BodyFailure> {
  return Effect.callback((resume) => {
    const announced = announcedBytes(req);
    if ((announced ?? 0) > limitBytes) {
      return resume(Effect.fail(tooLarge(limitBytes)));
    }
    const body = new buffers.BodyBuffer(announced ?? limitBytes);
    const finish = (result: Effect.Effect<string, BodyFailure>) => {
      req.off("data", onData).off("end", onEnd);
      req.pause();
      resume(result);
    };
    const onData = (chunk: Uint8Array) => {
      if (!body.append(chunk)) finish(Effect.fail(tooLarge(limitBytes)));
    };
    const onEnd = () => finish(Effect.succeed(body.decode()));
    req.on("data", onData);
    req.on("end", onEnd);
    // Stays, because a connection may also break after the end of the read.
    req.on("error", () => {
      const expected = "a complete body";
      const err = new Errors.BadRequestError({ field: "body", expected });
      finish(Effect.fail(err));
    });
  });
}

/** The length of the body by its head; null for a chunked body or none. */
function announcedBytes(req: http.IncomingMessage): number | null {
  const length = req.headers["content-length"];
  return length === undefined ? null : Number(length);
}

function tooLarge(limitBytes: number): Errors.TooLargeError {
  return new Errors.TooLargeError({ what: "The request body", limitBytes });
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
