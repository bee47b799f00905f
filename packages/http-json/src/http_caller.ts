/** Calls JSON endpoints over kept connections. */
import * as Effect from "effect/Effect";
import type * as http from "node:http";
import type * as net from "node:net";
import * as watches from "./answer_watch.ts";
import * as calls from "./http_call.ts";
import * as answers from "./json_answer.ts";
import * as kept from "./kept_connections.ts";

export { type HttpCall } from "./http_call.ts";

const CONNECT_REFUSED = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

/** A kept connection that was given up because nothing came on it any more. */
export interface SilentConnection {
  readonly address: string;
  /** Since it was opened, in ms. */
  readonly ageMs: number;
  /** Since something came on it, or since the call was sent, in ms. */
  readonly silentMs: number;
  /** Idle connections to the same address that were closed with it. */
  readonly neighbours: number;
}

/** How calls are made. */
export interface HttpCallerOptions extends kept.KeptConnectionsOptions {
  /** Told of each connection that is given up as silent. */
  readonly onSilence?: (silent: SilentConnection) => void;
}

/**
 * Calls over at most a number of connections to each address. Connections that
 * may have turned silent are not used again (answer_watch.ts).
 */
export class HttpCaller {
  readonly #options: HttpCallerOptions;
  readonly #kept: kept.KeptConnections;
  readonly #watch = new watches.AnswerWatch();

  constructor(options: HttpCallerOptions) {
    this.#options = options;
    this.#kept = new kept.KeptConnections(options);
  }

  /** Closes all connections. */
  close(): void {
    this.#kept.close();
  }

  /** Calls and waits for the whole answer; interruption ends the call. */
  call(
    address: string,
    what: calls.HttpCall,
  ): Effect.Effect<calls.HttpReply, calls.HttpLostError> {
    return Effect.suspend(() => {
      const nowMs = performance.now();
      const suspectMs = this.#watch.suspectBeforeMs(address, nowMs);
      if (suspectMs !== null) this.#kept.closeIdle(address, suspectMs);
      if (what.onlyTo !== undefined) this.#kept.closeToOthers(address, what);
      const exchange = this.#exchange(address, what);
      // A connection leaves the pool a turn after it was closed.
      return this.#kept.isClosing(address)
        ? Effect.andThen(nextTurn, exchange)
        : exchange;
    });
  }

  #exchange(
    address: string,
    what: calls.HttpCall,
  ): Effect.Effect<calls.HttpReply, calls.HttpLostError> {
    return Effect.callback<calls.HttpReply, calls.HttpLostError>((resume) => {
      const lose = (cause: string, neverSent: boolean) => {
        const err = new calls.HttpLostError({ address, cause, neverSent });
        resume(Effect.fail(err));
      };
      if (!this.#kept.mayReachSpeaker(address, what)) {
        return lose("no open connection to the one that answered before", true);
      }
      const call = this.#begin(address, what);
      let socket: net.Socket | null = null;
      let wasOpen = false;
      const req = this.#kept.request(address, what);
      const fail = (cause: string, neverSent: boolean) => {
        this.#watch.ended(call);
        lose(cause, neverSent);
      };
      req.on("socket", (assigned) => {
        socket = assigned;
        if (assigned.connecting) {
          assigned.once("connect", () => (wasOpen = true));
        } else wasOpen = true;
        call.onKept = req.reusedSocket;
        this.#kept.of(assigned);
      });
      req.on("error", (err: NodeJS.ErrnoException) => {
        fail(err.message, !wasOpen && CONNECT_REFUSED.has(err.code ?? ""));
      });
      req.on("response", (res) => {
        const done = (reply: calls.HttpReply) => resume(Effect.succeed(reply));
        this.#read(call, res, { done, fail });
      });
      req.end(what.body === undefined ? undefined : JSON.stringify(what.body));
      return Effect.sync(() => {
        this.#giveUp(call, socket);
        req.destroy();
      });
    });
  }

  #begin(address: string, what: calls.HttpCall): watches.WaitingCall {
    const call: watches.WaitingCall = {
      address,
      sentAtMs: performance.now(),
      quietMs: what.quietMs ?? 0,
      onKept: false,
    };
    this.#watch.begin(call);
    return call;
  }

  /** Reads an answer whose head has come. */
  #read(
    call: watches.WaitingCall,
    res: http.IncomingMessage,
    { done, fail }: Outcome,
  ): void {
    const connection = this.#kept.of(res.socket);
    const heard = () => {
      connection.heardAtMs = performance.now();
    };
    heard();
    res.on("data", heard);
    // Until its answer says who speaks, nobody is known to.
    connection.speaker = null;
    const noteSpeaker = (speaker: string) => {
      connection.speaker = speaker;
    };
    answers.collect(res, (reply) => {
      this.#watch.answered(call, connection.heardAtMs);
      this.#kept.tellTraffic(res.socket, connection);
      done({ ...reply, noteSpeaker });
    }, fail);
  }

  /** The caller waits no longer. */
  #giveUp(call: watches.WaitingCall, socket: net.Socket | null): void {
    this.#watch.ended(call);
    if (socket === null) return;
    const nowMs = performance.now();
    const { openedAtMs, heardAtMs } = this.#kept.of(socket);
    if (!this.#watch.isSilence(call, heardAtMs, nowMs)) return;
    const { address, sentAtMs } = call;
    const sinceMs = Math.max(sentAtMs, heardAtMs);
    const neighbours = this.#kept.closeIdle(address, sinceMs);
    this.#options.onSilence?.({
      address,
      ageMs: nowMs - openedAtMs,
      silentMs: nowMs - sinceMs,
      neighbours,
    });
  }
}

/** Told what came of a call. */
interface Outcome {
  readonly done: (reply: calls.HttpReply) => void;
  readonly fail: (cause: string, neverSent: boolean) => void;
}

/** Lets what has happened to sockets take effect. */
const nextTurn: Effect.Effect<void> = Effect.callback<void>((resume) => {
  setImmediate(() => resume(Effect.void));
});
