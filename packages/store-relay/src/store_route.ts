/**
 * Decides whether this node's calls go to the store directly or through a peer.
 * A node alone cannot tell a store that is down from one that turns it away, so
 * the node and two peers probe the store at the same time: calls go through a
 * peer only while the store answers that peer and not this node.
 */
import * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as replies from "./replies.ts";

/** What the route needs. */
export interface StoreRouteOptions {
  /** The direct way to the store. */
  readonly table: Ports.TableService;
  readonly peers: Ports.StorePeers;
  /** Other nodes, as known now. */
  readonly members: () => readonly Ports.StorePeer[];
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

/** A call, both ways. */
export interface RoutedCall<A, E> {
  readonly direct: Effect.Effect<A, E>;
  readonly relayed: Ports.StoreCall;
  /** Time after which the peer's reply is given up. */
  readonly limitMs: number;
  /** Time for which a call that is well may go without an answer. */
  readonly quietMs: number;
  /** What a direct call that hangs becomes when the route changes. */
  readonly whenSwitched: "again" | "lost";
}

/** A direct call without an answer for this long raises suspicion. */
const SUSPICIOUS_MS = 250;
/** Longest wait for a probe; beyond it the store is as good as away. */
const PROBE_LIMIT_MS = 700;
/** A store that answers a peer this many times faster turns this node away. */
const HANGS_FACTOR = 5;
const HANGS_LEAST_MS = 100;
const JUDGE_PAUSE_MS = 250;
/** Time between probes of the direct way while calls go through a peer. */
const PROBE_AGAIN_MS = 300;
const PEERS_ASKED = 2;
/** A row that nobody writes. */
const PROBE_KEY = "election/probe";

/** The way to the store. */
export class StoreRoute {
  readonly #options: StoreRouteOptions;
  #peer: Ports.StorePeer | null = null;
  #switched = Deferred.makeUnsafe<void>();
  #isJudging = false;
  #judgedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: StoreRouteOptions) {
    this.#options = options;
  }

  /** Whether calls go to the store directly. */
  get isDirect(): boolean {
    return this.#peer === null;
  }

  /** The peer through which calls go; null for none. */
  get through(): string | null {
    return this.#peer?.node ?? null;
  }

  /** Asks the store directly for next to nothing. */
  probe(): Effect.Effect<void, Ports.StoreError> {
    const { table, clock } = this.#options;
    const read = clock.within(PROBE_LIMIT_MS, table.probe(PROBE_KEY));
    return Effect.flatMap(read, (timed) => {
      if (timed !== null) return Effect.void;
      const cause = "no answer to a probe";
      const operation = "probe";
      return Effect.fail(
        new Errors.StoreUnavailableError({ operation, cause }),
      );
    });
  }

  /** Makes a call on the way that is open. */
  carry<A, E extends { readonly _tag: string }>(
    call: RoutedCall<A, E>,
  ): Effect.Effect<A, E | replies.CallError> {
    return Effect.suspend((): Effect.Effect<A, E | replies.CallError> => {
      const peer = this.#peer;
      return peer === null
        ? this.#carryDirect(call)
        : this.#carryThrough(peer, call);
    });
  }

  #carryDirect<A, E extends { readonly _tag: string }>(
    call: RoutedCall<A, E>,
  ): Effect.Effect<A, E | replies.CallError> {
    const { clock } = this.#options;
    const watched = Effect.tapError(call.direct, (err) =>
      Effect.sync(() => {
        if (isNoAnswer(err)) this.#suspect();
      }));
    const switched = Deferred.await(this.#switched);
    const turned = Effect.gen({ self: this }, function* () {
      let patienceMs = call.quietMs + SUSPICIOUS_MS;
      while ((yield* clock.within(patienceMs, switched)) === null) {
        this.#suspect();
        patienceMs = JUDGE_PAUSE_MS;
      }
      if (call.whenSwitched === "again") return yield* this.carry(call);
      const operation = call.relayed.kind;
      return yield* new Errors.AnswerLostError({ operation });
    });
    return Effect.raceFirst(watched, turned);
  }

  #carryThrough<A, E extends { readonly _tag: string }>(
    peer: Ports.StorePeer,
    call: RoutedCall<A, E>,
  ): Effect.Effect<A, E | replies.CallError> {
    const { peers, metrics } = this.#options;
    const { relayed, limitMs } = call;
    const operation = relayed.kind;
    metrics.count("cairngate_store_relayed_total", { operation });
    return peers.call(peer, relayed, limitMs).pipe(
      Effect.catch((err): Effect.Effect<never, replies.CallError> => {
        this.#leave(peer, err.cause);
        // A call that was on its way may have been carried out.
        return Effect.fail(
          operation === Ports.StoreCallKind.Transact
            ? new Errors.AnswerLostError({ operation })
            : new Errors.StoreUnavailableError({ operation, cause: err.cause }),
        );
      }),
      Effect.tap((reply) =>
        Effect.sync(() => {
          if (reply.outcome === Ports.StoreOutcome.Unavailable) this.#suspect();
        })
      ),
      Effect.flatMap((reply) => replies.fromReply<A>(operation, reply)),
    );
  }

  /** The store does not answer: find out whom it turns away. */
  #suspect(): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#isJudging || nowMs < this.#judgedAtMs + JUDGE_PAUSE_MS) return;
    this.#isJudging = true;
    const done = Effect.sync(() => {
      this.#isJudging = false;
      this.#judgedAtMs = this.#options.clock.monotonicMs();
    });
    Effect.runFork(Effect.ensuring(this.#judge(), done));
  }

  #judge(): Effect.Effect<void> {
    const { clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const beganAtMs = clock.monotonicMs();
      const own = Deferred.makeUnsafe<boolean>();
      const ask = Effect.matchEffect(this.probe(), {
        onSuccess: () => Deferred.succeed(own, true),
        onFailure: () => Deferred.succeed(own, false),
      });
      yield* Effect.forkDetach(ask);
      const peer = yield* this.#askPeers();
      if (peer !== null) {
        const tookMs = clock.monotonicMs() - beganAtMs;
        const graceMs = Math.max(HANGS_LEAST_MS, tookMs * HANGS_FACTOR);
        const answered = yield* clock.within(graceMs, Deferred.await(own));
        if (answered?.value !== true) this.#turnTo(peer);
        else this.#turnBack();
      } else if (yield* Deferred.await(own)) this.#turnBack();
    });
  }

  /** The first of a few peers whom the store answers; null for none. */
  #askPeers(): Effect.Effect<Ports.StorePeer | null> {
    const { peers, random, members } = this.#options;
    const others = [...members()];
    const chosen: Ports.StorePeer[] = [];
    while (chosen.length < PEERS_ASKED && others.length > 0) {
      const at = Math.floor(random.next() * others.length);
      chosen.push(...others.splice(at, 1));
    }
    if (chosen.length === 0) return Effect.succeed(null);
    const probe = { kind: Ports.StoreCallKind.Probe } as const;
    const asks = chosen.map((peer) =>
      Effect.flatMap(
        peers.call(peer, probe, PROBE_LIMIT_MS),
        ({ outcome }) =>
          outcome === Ports.StoreOutcome.Done
            ? Effect.succeed(peer)
            : Effect.fail(outcome),
      )
    );
    return Effect.catch(
      Effect.raceAll(asks),
      () => Effect.succeed(null),
    );
  }

  #turnTo(peer: Ports.StorePeer): void {
    const { log, clock } = this.#options;
    if (this.#peer?.address === peer.address) return;
    const wasDirect = this.#peer === null;
    this.#peer = peer;
    log.warn(`The store turns this node away; calls go through ${peer.node}.`);
    if (!wasDirect) return;
    Deferred.doneUnsafe(this.#switched, Effect.void);
    this.#switched = Deferred.makeUnsafe<void>();
    const look = Effect.gen({ self: this }, function* () {
      while (this.#peer !== null) {
        yield* clock.sleep(PROBE_AGAIN_MS);
        const answered = yield* Effect.result(this.probe());
        if (answered._tag === "Success") this.#turnBack();
      }
    });
    Effect.runFork(look);
  }

  #turnBack(): void {
    if (this.#peer === null) return;
    this.#peer = null;
    this.#options.log.info("The store answers this node again.");
  }

  /** A peer that cannot be reached is no way any more. */
  #leave(peer: Ports.StorePeer, cause: string): void {
    if (this.#peer?.address !== peer.address) return;
    this.#options.log.warn(`No calls through ${peer.node} any more: ${cause}.`);
    this.#peer = null;
    this.#judgedAtMs = Number.NEGATIVE_INFINITY;
    this.#suspect();
  }
}

function isNoAnswer(err: { readonly _tag: string }): boolean {
  return err._tag === "StoreUnavailableError" || err._tag === "AnswerLostError";
}
