/** Makes HTTP calls with JSON bodies over kept connections. */
import * as Effect from "effect/Effect";
import * as Result from "effect/Result";
import type * as http from "node:http";
import type * as net from "node:net";
import * as detectors from "./silence_detector.ts";
import * as calls from "./http_call.ts";
import * as responses from "./read_response.ts";
import * as pools from "./connection_pool.ts";

export { type HttpCall } from "./http_call.ts";

/** Error codes that prove, before a connection is open, that nothing was sent. */
const CONNECT_REFUSED = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

/** A kept connection that was closed because it carried no data any more. */
export interface SilentConnection {
  readonly address: string;
  /** Time since it was opened, in ms. */
  readonly ageMs: number;
  /** Time since it last received data, or since the call was sent, in ms. */
  readonly silentMs: number;
  /** Number of idle connections to the same address that were closed with it. */
  readonly closedCount: number;
}

/** Options of an HttpCaller. */
export interface HttpCallerOptions extends pools.ConnectionPoolOptions {
  /** Called for each connection that is closed as silent. */
  readonly onSilence?: (silent: SilentConnection) => void;
}

/**
 * Makes calls over a limited number of connections to each address. Connections
 * that may have turned silent are not used again.
 */
export class HttpCaller {
  readonly #options: HttpCallerOptions;
  readonly #pool: pools.ConnectionPool;
  readonly #detector = new detectors.SilenceDetector();

  constructor(options: HttpCallerOptions) {
    this.#options = options;
    this.#pool = new pools.ConnectionPool(options);
  }

  /** Closes all connections. */
  close(): void {
    this.#pool.close();
  }

  /** Makes a call and waits for the whole response; interruption ends the call. */
  call(
    address: string,
    call: calls.HttpCall,
  ): Effect.Effect<calls.HttpResponse, calls.HttpLostError> {
    return Effect.suspend(() => {
      const nowMs = performance.now();
      const suspectMs = this.#detector.suspectBeforeMs(address, nowMs);
      if (suspectMs !== null) this.#pool.closeIdle(address, suspectMs);
      if (call.onlyTo !== undefined) this.#pool.closeOthers(address, call);
      const exchange = this.#exchange(address, call);
      // A closed connection leaves the pool in the next turn of the event loop.
      return this.#pool.isClosing(address)
        ? Effect.andThen(nextTurn, exchange)
        : exchange;
    });
  }

  #exchange(
    address: string,
    call: calls.HttpCall,
  ): Effect.Effect<calls.HttpResponse, calls.HttpLostError> {
    return Effect.callback<calls.HttpResponse, calls.HttpLostError>(
      (resume) => {
        const failWith = (cause: string, neverSent: boolean) => {
          const err = new calls.HttpLostError({ address, cause, neverSent });
          resume(Effect.fail(err));
        };
        if (!this.#pool.canReachResponder(address, call)) {
          return failWith(
            "no open connection to the process that responded before",
            true,
          );
        }
        const request = this.#createRequest(address, call);
        if (Result.isFailure(request)) return failWith(request.failure, true);
        const { req, body } = request.success;
        const pending = this.#addPending(address, call);
        let socket: net.Socket | null = null;
        let isConnected = false;
        const fail = (cause: string, neverSent: boolean) => {
          this.#detector.remove(pending);
          failWith(cause, neverSent);
        };
        req.on("socket", (assigned) => {
          socket = assigned;
          if (assigned.connecting) {
            assigned.once("connect", () => (isConnected = true));
          } else isConnected = true;
          pending.isReused = req.reusedSocket;
          this.#pool.stateOf(assigned);
        });
        req.on("error", (err: NodeJS.ErrnoException) => {
          fail(
            err.message,
            !isConnected && CONNECT_REFUSED.has(err.code ?? ""),
          );
        });
        req.on("response", (res) => {
          const succeed = (response: calls.HttpResponse) =>
            resume(Effect.succeed(response));
          this.#read(pending, res, { succeed, fail });
        });
        req.end(body);
        return Effect.sync(() => {
          this.#abandon(pending, socket);
          req.destroy();
        });
      },
    );
  }

  /**
   * Creates a request with its body. Fails if the address, a header or the body can't
   * be sent at all, such as a port above 65535.
   */
  #createRequest(
    address: string,
    call: calls.HttpCall,
  ): Result.Result<PreparedRequest, string> {
    return Result.try({
      try: () => {
        const body = JSON.stringify(call.body);
        return { req: this.#pool.request(address, call), body };
      },
      catch: (err) => err instanceof Error ? err.message : String(err),
    });
  }

  #addPending(address: string, call: calls.HttpCall): detectors.PendingCall {
    const pending: detectors.PendingCall = {
      address,
      sentAtMs: performance.now(),
      quietMs: call.quietMs ?? 0,
      isReused: false,
    };
    this.#detector.add(pending);
    return pending;
  }

  /** Reads a response whose headers have arrived. */
  #read(
    pending: detectors.PendingCall,
    res: http.IncomingMessage,
    { succeed, fail }: ResponseHandlers,
  ): void {
    const connection = this.#pool.stateOf(res.socket);
    const noteReceived = () => {
      connection.receivedAtMs = performance.now();
    };
    noteReceived();
    res.on("data", noteReceived);
    // Which process responds is unknown until the caller has read the response.
    connection.responder = null;
    const setResponder = (responder: string) => {
      connection.responder = responder;
    };
    responses.readResponse(res, (response) => {
      this.#detector.noteResponse(pending, connection.receivedAtMs);
      this.#pool.reportTraffic(res.socket, connection);
      succeed({ ...response, setResponder });
    }, fail);
  }

  /** Removes an interrupted call; closes suspect connections if its own is silent. */
  #abandon(pending: detectors.PendingCall, socket: net.Socket | null): void {
    this.#detector.remove(pending);
    if (socket === null) return;
    const nowMs = performance.now();
    const { openedAtMs, receivedAtMs } = this.#pool.stateOf(socket);
    if (!this.#detector.isSilent(pending, receivedAtMs, nowMs)) return;
    const { address, sentAtMs } = pending;
    const silentSinceMs = Math.max(sentAtMs, receivedAtMs);
    const closedCount = this.#pool.closeIdle(address, silentSinceMs);
    this.#options.onSilence?.({
      address,
      ageMs: nowMs - openedAtMs,
      silentMs: nowMs - silentSinceMs,
      closedCount,
    });
  }
}

/** A request that is not sent yet, and its body; undefined for none. */
interface PreparedRequest {
  readonly req: http.ClientRequest;
  readonly body: string | undefined;
}

/** Callbacks for the result of a call. */
interface ResponseHandlers {
  readonly succeed: (response: calls.HttpResponse) => void;
  readonly fail: (cause: string, neverSent: boolean) => void;
}

/** Waits for the next turn of the event loop, so that closed sockets are removed. */
const nextTurn: Effect.Effect<void> = Effect.callback<void>((resume) => {
  setImmediate(() => resume(Effect.void));
});
