/** Calls of JSON endpoints, and what comes of them. */
import * as Data from "effect/Data";
import type * as http from "node:http";

/** A complete answer. */
export interface HttpReply {
  readonly status: number;
  readonly body: unknown;
  readonly headers: http.IncomingHttpHeaders;
  /** Notes on its connection who has answered; see `onlyTo`. */
  readonly noteSpeaker: (speaker: string) => void;
}

/** No complete answer came. */
export class HttpLostError extends Data.TaggedError("HttpLostError")<{
  readonly address: string;
  readonly cause: string;
  /** True where no connection could be opened, so nothing was sent. */
  readonly neverSent: boolean;
}> {}

/** What to call. */
export interface HttpCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time for which the other side holds the answer back, in ms; usually 0. */
  readonly quietMs?: number;
  /** Over a connection of its own, which shows whether the address answers. */
  readonly onNewConnection?: boolean;
  /** Calls with the same word here have connections that no other call uses. */
  readonly lane?: string;
  /**
   * Only over a kept connection on which this speaker has answered last. A connection
   * ends with the process at its other end, so another one can't receive the call,
   * whoever listens at the address by now. Without such a connection nothing is sent.
   */
  readonly onlyTo?: string;
}
