/** Reads JSON request bodies of limited size. */
import * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";
import type * as http from "node:http";
import type * as budgets from "./body_budget.ts";
import * as buffers from "./body_buffer.ts";

/** Why a body is refused. */
export type BodyFailure =
  | Errors.BadRequestError
  | Errors.TooLargeError
  | Errors.OverloadedError
  | Errors.StalledBodyError;

/** Limits of one body. */
export interface BodyLimits {
  readonly limitBytes: number;
  /** Part of the budget of all bodies; its owner releases it. */
  readonly claim?: budgets.BodyClaim;
  /** Time without any bytes after which the body is given up, in ms; 15 s if left out. */
  readonly idleMs?: number;
}

/** Default of `idleMs`: as long as an idle connection of the job API stays open. */
const DEFAULT_IDLE_MS = 15_000;

/** Time after which a body that found no room may be sent again, in s. */
const RETRY_AFTER_S = 1;

/**
 * Reads and parses the body of a request; an empty body is null. Reading ends with the
 * first failure; a body that is announced as too large is not read at all.
 */
export function readJsonBody(
  req: http.IncomingMessage,
  limits: BodyLimits,
): Effect.Effect<unknown, BodyFailure> {
  return Effect.flatMap(readBody(req, limits), parseBody);
}

function readBody(
  req: http.IncomingMessage,
  { limitBytes, claim, idleMs = DEFAULT_IDLE_MS }: BodyLimits,
): Effect.Effect<string, BodyFailure> {
  return Effect.callback((resume) => {
    const announced = announcedBytes(req);
    if ((announced ?? 0) > limitBytes) {
      return resume(Effect.fail(tooLarge(limitBytes)));
    }
    const body = new buffers.BodyBuffer(
      announced ?? limitBytes,
      (bytes) => claim?.grow(bytes) ?? true,
    );
    const finish = (result: Effect.Effect<string, BodyFailure>) => {
      clearTimeout(idleTimer);
      req.off("data", onData).off("end", onEnd);
      // The listener of errors keeps the buffer alive for as long as the request.
      body.clear();
      req.pause();
      resume(result);
    };
    const idleTimer = setTimeout(
      () => finish(Effect.fail(new Errors.StalledBodyError({ idleMs }))),
      idleMs,
    );
    const onData = (chunk: Uint8Array) => {
      idleTimer.refresh();
      const isTooLarge = body.length + chunk.length > limitBytes;
      if (isTooLarge) finish(Effect.fail(tooLarge(limitBytes)));
      else if (!body.append(chunk)) finish(Effect.fail(noRoom()));
    };
    const onEnd = () => {
      claim?.complete();
      finish(Effect.succeed(body.decode()));
    };
    if (claim !== undefined) {
      claim.onEvict = () => finish(Effect.fail(noRoom()));
    }
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

function noRoom(): Errors.OverloadedError {
  const limit = "memory for request bodies";
  const retryAfterSeconds = RETRY_AFTER_S;
  return new Errors.OverloadedError({ limit, retryAfterSeconds });
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
