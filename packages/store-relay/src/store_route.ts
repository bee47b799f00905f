/**
 * Decides whether calls of this box go to the store directly or through a peer.
 * A box alone cannot tell a store that is down from one that does not answer this
 * box, so the box and two peers probe the store at the same time: calls go through
 * a peer only while the store answers that peer and not this box.
 */
import * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as replies from "./replies.ts";

/** Dependencies of the route. */
export interface StoreRouteOptions {
  /** Direct access to the store. */
  readonly table: Ports.TableService;
  readonly peers: Ports.StorePeers;
  /** Returns the other boxes that are members now. */
  readonly members: () => readonly Ports.StorePeer[];
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

/** A call in its direct and its relayed form. */
export interface RoutedCall<A, E> {
  readonly direct: Effect.Effect<A, E>;
  readonly relayed: Ports.StoreCall;
  /** Timeout of the relayed call, in ms. */
  readonly relayTimeoutMs: number;
  /** Time that a direct call may take by its nature, as a long poll does, in ms. */
  readonly expectedWaitMs: number;
  /** Whether a pending direct call is repeated or fails when the route changes. */
  readonly onRouteChange: "again" | "lost";
}

/** Time without an answer after which the routes are compared, in ms. */
const UNANSWERED_CALL_MS = 250;
/** Timeout of a probe, in ms; the store then counts as unavailable. */
const PROBE_TIMEOUT_MS = 700;
/**
 * After a peer's answer, the direct probe may take this multiple of the peer's time
 * before calls are relayed.
 */
const PROBE_GRACE_FACTOR = 5;
const MIN_PROBE_GRACE_MS = 100;
/** Shortest time between two comparisons, in ms. */
const CHECK_PAUSE_MS = 250;
/** Interval between direct probes while calls go through a peer, in ms. */
const PROBE_INTERVAL_MS = 300;
/** Number of peers that probe the store in a comparison. */
const PROBING_PEERS = 2;
/** Key of a row that is never written. */
const PROBE_KEY = "election/probe";

/** Route of this box to the store. */
export class StoreRoute {
  readonly #options: StoreRouteOptions;
  #peer: Ports.StorePeer | null = null;
  #routeChanged = Deferred.makeUnsafe<void>();
  #isChecking = false;
  #checkedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: StoreRouteOptions) {
    this.#options = options;
  }

  /** Whether calls go to the store directly. */
  get isDirect(): boolean {
    return this.#peer === null;
  }

  /** Box through which calls are relayed; null while they go directly. */
  get relayPeer(): string | null {
    return this.#peer?.node ?? null;
  }

  /** Probes the store directly with a minimal read. */
  probe(): Effect.Effect<void, Ports.StoreError> {
    const { table, clock } = this.#options;
    const read = clock.within(PROBE_TIMEOUT_MS, table.probe(PROBE_KEY));
    return Effect.flatMap(read, (timed) => {
      if (timed !== null) return Effect.void;
      const cause = "no answer to a probe";
      const operation = "probe";
      return Effect.fail(
        new Errors.StoreUnavailableError({ operation, cause }),
      );
    });
  }

  /** Makes a call on the current route. */
  call<A, E extends { readonly _tag: string }>(
    call: RoutedCall<A, E>,
  ): Effect.Effect<A, E | replies.CallError> {
    return Effect.suspend((): Effect.Effect<A, E | replies.CallError> => {
      const peer = this.#peer;
      return peer === null
        ? this.#callDirect(call)
        : this.#callThrough(peer, call);
    });
  }

  #callDirect<A, E extends { readonly _tag: string }>(
    call: RoutedCall<A, E>,
  ): Effect.Effect<A, E | replies.CallError> {
    const { clock } = this.#options;
    const watched = Effect.tapError(call.direct, (err) =>
      Effect.sync(() => {
        if (isNoAnswer(err)) this.#check();
      }));
    const routeChanged = Deferred.await(this.#routeChanged);
    const rerouted = Effect.gen({ self: this }, function* () {
      let waitMs = call.expectedWaitMs + UNANSWERED_CALL_MS;
      while ((yield* clock.within(waitMs, routeChanged)) === null) {
        this.#check();
        waitMs = CHECK_PAUSE_MS;
      }
      if (call.onRouteChange === "again") return yield* this.call(call);
      const operation = call.relayed.kind;
      return yield* new Errors.AnswerLostError({ operation });
    });
    return Effect.raceFirst(watched, rerouted);
  }

  #callThrough<A, E extends { readonly _tag: string }>(
    peer: Ports.StorePeer,
    call: RoutedCall<A, E>,
  ): Effect.Effect<A, E | replies.CallError> {
    const { peers, metrics } = this.#options;
    const { relayed, relayTimeoutMs } = call;
    const operation = relayed.kind;
    metrics.count("cairngate_store_relayed_total", { operation });
    return peers.call(peer, relayed, relayTimeoutMs).pipe(
      Effect.catch((err): Effect.Effect<never, replies.CallError> => {
        this.#abandon(peer, err.cause);
        // The peer may have carried out a call that it did not reply to.
        return Effect.fail(
          operation === Ports.StoreCallKind.Transact
            ? new Errors.AnswerLostError({ operation })
            : new Errors.StoreUnavailableError({ operation, cause: err.cause }),
        );
      }),
      Effect.tap((reply) =>
        Effect.sync(() => {
          if (reply.outcome === Ports.StoreOutcome.Unavailable) this.#check();
        })
      ),
      Effect.flatMap((reply) => replies.fromReply<A>(operation, reply)),
    );
  }

  /** Starts a comparison of the routes, unless one is running or recent. */
  #check(): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#isChecking || nowMs < this.#checkedAtMs + CHECK_PAUSE_MS) return;
    this.#isChecking = true;
    const done = Effect.sync(() => {
      this.#isChecking = false;
      this.#checkedAtMs = this.#options.clock.monotonicMs();
    });
    Effect.runFork(Effect.ensuring(this.#compareRoutes(), done));
  }

  #compareRoutes(): Effect.Effect<void> {
    const { clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const startedAtMs = clock.monotonicMs();
      const ownResult = Deferred.makeUnsafe<boolean>();
      const ownProbe = Effect.matchEffect(this.probe(), {
        onSuccess: () => Deferred.succeed(ownResult, true),
        onFailure: () => Deferred.succeed(ownResult, false),
      });
      yield* Effect.forkDetach(ownProbe);
      const peer = yield* this.#probePeers();
      if (peer !== null) {
        const tookMs = clock.monotonicMs() - startedAtMs;
        const graceMs = Math.max(
          MIN_PROBE_GRACE_MS,
          tookMs * PROBE_GRACE_FACTOR,
        );
        const answered = yield* clock.within(
          graceMs,
          Deferred.await(ownResult),
        );
        if (answered?.value !== true) this.#switchTo(peer);
        else this.#restoreDirect();
      } else if (yield* Deferred.await(ownResult)) this.#restoreDirect();
    });
  }

  /** The first of a few random peers that reaches the store; null for none. */
  #probePeers(): Effect.Effect<Ports.StorePeer | null> {
    const { peers, random, members } = this.#options;
    const others = [...members()];
    const chosen: Ports.StorePeer[] = [];
    while (chosen.length < PROBING_PEERS && others.length > 0) {
      const index = Math.floor(random.next() * others.length);
      chosen.push(...others.splice(index, 1));
    }
    if (chosen.length === 0) return Effect.succeed(null);
    const probe = { kind: Ports.StoreCallKind.Probe } as const;
    const probes = chosen.map((peer) =>
      Effect.flatMap(
        peers.call(peer, probe, PROBE_TIMEOUT_MS),
        ({ outcome }) =>
          outcome === Ports.StoreOutcome.Done
            ? Effect.succeed(peer)
            : Effect.fail(outcome),
      )
    );
    return Effect.catch(
      Effect.raceAll(probes),
      () => Effect.succeed(null),
    );
  }

  #switchTo(peer: Ports.StorePeer): void {
    const { log, clock } = this.#options;
    if (this.#peer?.address === peer.address) return;
    const wasDirect = this.#peer === null;
    this.#peer = peer;
    log.warn(
      `The store does not answer this box; calls go through ${peer.node}.`,
    );
    if (!wasDirect) return;
    Deferred.doneUnsafe(this.#routeChanged, Effect.void);
    this.#routeChanged = Deferred.makeUnsafe<void>();
    const probing = Effect.gen({ self: this }, function* () {
      while (this.#peer !== null) {
        yield* clock.sleep(PROBE_INTERVAL_MS);
        const ownProbe = yield* Effect.result(this.probe());
        if (ownProbe._tag === "Success") this.#restoreDirect();
      }
    });
    Effect.runFork(probing);
  }

  #restoreDirect(): void {
    if (this.#peer === null) return;
    this.#peer = null;
    this.#options.log.info(
      "The store answers this box again; calls go to it directly.",
    );
  }

  /** Stops using a peer that cannot be reached and compares the routes again. */
  #abandon(peer: Ports.StorePeer, cause: string): void {
    if (this.#peer?.address !== peer.address) return;
    this.#options.log.warn(
      `Calls no longer go through ${peer.node}: ${cause}.`,
    );
    this.#peer = null;
    this.#checkedAtMs = Number.NEGATIVE_INFINITY;
    this.#check();
  }
}

function isNoAnswer(err: { readonly _tag: string }): boolean {
  return err._tag === "StoreUnavailableError" || err._tag === "AnswerLostError";
}
