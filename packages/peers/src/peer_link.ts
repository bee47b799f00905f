/** Link from this process to one peer; a fiber keeps it open. */
import * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Ws from "ws";
import * as frames from "./frames.ts";

/** Failures of a request over a link. */
export type LinkError =
  | Errors.PeerUnreachableError
  | Errors.NotOwnerError
  | Errors.NotReadyError;

/** Dependencies and addresses of a link. */
export interface PeerLinkOptions {
  readonly self: string;
  readonly peer: string;
  readonly address: string;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

/** First and longest pause between two attempts, in ms. */
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;
const CONNECT_TIMEOUT_MS = 1000;
const MAX_FRAME_BYTES = 16_000_000;
/**
 * Idle time before a ping while a reply is pending, in ms. Replies take longer only
 * while the peer waits for the store.
 */
const REPLY_IDLE_MS = 300;
/** Idle time before a ping while only notices were sent, in ms. */
const NOTICE_IDLE_MS = 2000;
/**
 * Timeout of a ping, in ms. A live process answers pings whatever its requests wait
 * for. Together with the idle time before and a new connection after it, a silent
 * link works again within 3 s.
 */
const PONG_TIMEOUT_MS = 700;

/** Sends requests and notices to one peer. */
export class PeerLink {
  readonly #options: PeerLinkOptions;
  readonly #pending = new Map<number, Deferred.Deferred<unknown, LinkError>>();
  #socket: Ws.WebSocket | null = null;
  #codec = new frames.FrameCodec();
  #nextId = 1;
  /** Number of received messages and pongs. */
  #received = 0;
  /** Whether something was sent since the last message or pong arrived. */
  #isUnconfirmed = false;
  #isWatching = false;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
  }

  /** Keeps the link open until interrupted, with backoff between attempts. */
  run(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      const { clock, random, log, peer } = this.#options;
      let backoffMs = INITIAL_BACKOFF_MS;
      for (;;) {
        const opened = yield* clock.within(CONNECT_TIMEOUT_MS, this.#open());
        if (opened !== null && opened.value !== null) {
          log.info(`Link to ${peer} is open.`);
          backoffMs = INITIAL_BACKOFF_MS;
          yield* this.#awaitClose(opened.value);
          log.info(`Link to ${peer} is closed.`);
        }
        yield* clock.sleep(random.jitter(backoffMs));
        backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
      }
    }).pipe(Effect.ensuring(Effect.sync(() => this.#socket?.terminate())));
  }

  /** Whether the link is open. */
  get isOpen(): boolean {
    return this.#socket !== null;
  }

  /** Sends a message without a reply; drops it while the link is closed. */
  notify(req: object): void {
    const socket = this.#socket;
    if (socket === null) return;
    const kind = frames.FrameKind.Notice as const;
    this.#send(socket, { kind, from: this.#options.self, req });
  }

  /** Sends a request and waits for its reply, at most `timeoutMs`. */
  request(
    req: object,
    timeoutMs: number,
  ): Effect.Effect<unknown, LinkError> {
    return Effect.gen({ self: this }, function* () {
      const socket = this.#socket;
      if (socket === null) return yield* this.#unreachable("link not open");
      const id = this.#nextId++;
      const done = Deferred.makeUnsafe<unknown, LinkError>();
      this.#pending.set(id, done);
      const { self, clock } = this.#options;
      const kind = frames.FrameKind.Request as const;
      if (!this.#send(socket, { kind, id, from: self, req })) {
        this.#pending.delete(id);
        return yield* this.#unreachable("the request is nested too deeply");
      }
      const reply = clock.within(timeoutMs, Deferred.await(done));
      const timed = yield* Effect.ensuring(
        reply,
        Effect.sync(() => this.#pending.delete(id)),
      );
      if (timed === null) return yield* this.#unreachable("no reply in time");
      return timed.value;
    });
  }

  #open(): Effect.Effect<Ws.WebSocket | null> {
    return Effect.callback<Ws.WebSocket | null>((resume) => {
      const { address } = this.#options;
      const codec = new frames.FrameCodec();
      const socket = new Ws.WebSocket(`ws://${address}`, {
        maxPayload: MAX_FRAME_BYTES,
        perMessageDeflate: false,
      });
      socket.on("pong", () => this.#recordReceived());
      socket.once("open", () => {
        this.#socket = socket;
        this.#isUnconfirmed = false;
        this.#codec = codec;
        resume(Effect.succeed(socket));
      });
      socket.on("error", () => resume(Effect.succeed(null)));
      socket.on("message", (data: Uint8Array) => this.#receive(codec, data));
      return Effect.sync(() => socket.terminate());
    });
  }

  #awaitClose(socket: Ws.WebSocket): Effect.Effect<void> {
    const closed = Effect.callback<void>((resume) => {
      if (socket.readyState === Ws.WebSocket.CLOSED) resume(Effect.void);
      socket.once("close", () => resume(Effect.void));
    });
    return Effect.andThen(closed, Effect.sync(() => this.#failPending(socket)));
  }

  #failPending(socket: Ws.WebSocket): void {
    if (this.#socket === socket) this.#socket = null;
    for (const done of this.#pending.values()) {
      Deferred.doneUnsafe(done, this.#unreachable("the link closed"));
    }
    this.#pending.clear();
  }

  #receive(codec: frames.FrameCodec, data: Uint8Array): void {
    const { peer, metrics, log } = this.#options;
    this.#recordReceived();
    metrics.count("cairngate_peer_received_bytes_total", {}, data.length);
    const frame = codec.decode(data, peer);
    if (frame instanceof Errors.MalformedMessageError) {
      metrics.count("cairngate_peer_malformed_total");
      log.warn(frame.message);
      return;
    }
    const isAnswer = frame.kind === frames.FrameKind.Reply ||
      frame.kind === frames.FrameKind.Failure;
    if (!isAnswer) return;
    const done = this.#pending.get(frame.id);
    // The request of a late reply has already failed with a timeout.
    if (done === undefined) {
      metrics.count("cairngate_peer_late_replies_total");
      return;
    }
    Deferred.doneUnsafe(done, toResult(frame));
  }

  /** Sends a frame; false if it can't be encoded. */
  #send(socket: Ws.WebSocket, frame: frames.Frame): boolean {
    if (!frames.canEncode(frame)) return false;
    const bytes = this.#codec.encode(frame);
    const { metrics } = this.#options;
    metrics.count("cairngate_peer_sent_bytes_total", {}, bytes.length);
    socket.send(bytes, () => {});
    this.#isUnconfirmed = true;
    if (!this.#isWatching) Effect.runFork(this.#watch(socket));
    return true;
  }

  #recordReceived(): void {
    this.#received++;
    this.#isUnconfirmed = false;
  }

  /**
   * Watches the connection while a reply is pending or a sent message is unconfirmed.
   * A connection can go silent permanently without being closed; a peer that is only
   * slow to reply still answers pings.
   */
  #watch(socket: Ws.WebSocket): Effect.Effect<void> {
    const { clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      this.#isWatching = true;
      while (this.#socket === socket && this.#isExpectingData) {
        const received = this.#received;
        const idleMs = this.#pending.size > 0 ? REPLY_IDLE_MS : NOTICE_IDLE_MS;
        yield* clock.sleep(idleMs);
        if (this.#received !== received || this.#socket !== socket) continue;
        socket.ping();
        yield* clock.sleep(PONG_TIMEOUT_MS);
        // Reads data that arrived while the event loop of this process was blocked.
        yield* nextEventLoopTurn;
        if (this.#received === received && this.#socket === socket) {
          this.#dropSilent(socket, idleMs + PONG_TIMEOUT_MS);
        }
      }
    }).pipe(Effect.ensuring(Effect.sync(() => {
      this.#isWatching = false;
    })));
  }

  get #isExpectingData(): boolean {
    return this.#isUnconfirmed || this.#pending.size > 0;
  }

  #dropSilent(socket: Ws.WebSocket, silentMs: number): void {
    const { log, metrics, peer } = this.#options;
    const lostCalls = this.#pending.size;
    const kind = "peer";
    metrics.count("cairngate_connections_silent_total", { kind });
    metrics.count(
      "cairngate_answers_lost_by_silence_total",
      { kind },
      lostCalls,
    );
    log.warn(
      `Link to ${peer} is dropped after ${silentMs} ms of silence: ` +
        `${lostCalls} calls lost.`,
    );
    socket.terminate();
  }

  #unreachable(
    cause: string,
  ): Effect.Effect<never, Errors.PeerUnreachableError> {
    const box = this.#options.peer;
    return Effect.fail(new Errors.PeerUnreachableError({ box, cause }));
  }
}

/** Waits for the next event loop turn, so that pending socket data is read first. */
const nextEventLoopTurn: Effect.Effect<void> = Effect.callback<void>(
  (resume) => {
    setImmediate(() => resume(Effect.void));
  },
);

function toResult(
  frame: frames.ReplyFrame | frames.FailureFrame,
): Effect.Effect<unknown, LinkError> {
  if (frame.kind === frames.FrameKind.Reply) {
    return Effect.succeed(frame.value);
  }
  const fields = frame.fields as Record<string, never>;
  if (frame.tag === "NotOwnerError") {
    return Effect.fail(
      new Errors.NotOwnerError({
        cell: String(fields["cell"]),
        epoch: Number(fields["epoch"]),
      }),
    );
  }
  const waitsFor = String(fields["waitsFor"] ?? frame.tag);
  return Effect.fail(new Errors.NotReadyError({ waitsFor }));
}
