/** Calls over HTTP with JSON bodies, their responses and their failure. */
import * as Data from "effect/Data";
import type * as http from "node:http";

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
  readonly headers: http.IncomingHttpHeaders;
  /** Records on its connection which process has responded; see `onlyTo`. */
  readonly setResponder: (responder: string) => void;
}

/** A call ended without a complete response. */
export class HttpLostError extends Data.TaggedError("HttpLostError")<{
  readonly address: string;
  readonly cause: string;
  /** True where no connection could be opened, so nothing was sent. */
  readonly neverSent: boolean;
}> {}

/** A call to make. */
export interface HttpCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time for which the server may hold the response back, in ms; 0 by default. */
  readonly quietMs?: number;
  /** Opens a connection for this call only, to test whether the address responds. */
  readonly onNewConnection?: boolean;
  /** Calls of one lane share connections that no other call uses. */
  readonly lane?: string;
  /**
   * Sends the call only over a kept connection whose last response came from this
   * process. A connection ends with the process at its other end, so no other process
   * can receive the call, even if one listens at the address by now. Without such a
   * connection nothing is sent.
   */
  readonly onlyTo?: string;
}
