/**
 * Election of the coordinator by a row of the store. The row holds the fencing
 * token and changes on takeover only; a second row is renewed by the holder.
 * A node takes over when the holder has let both rows stand still.
 */
import * as TableClient from "@cairngate/table-client";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as ports from "../ports.ts";
import * as fitnesses from "./fitness.ts";
import * as paces from "./renewal_pace.ts";
import * as restart from "../restart.ts";
import * as terms from "./term.ts";

/** Time between two renewals, in ms: a loss is seen after three of them. */
const RENEW_MS = 350;
/** Candidates wait up to this much longer, in ms, so that few collide. */
const SPREAD_MS = 200;
/** At the first start the boxes learn of each other for this time, in ms. */
const FIRST_WAIT_MS = 700;
/** A successor takes a released row within this time, in ms, or another does. */
const SUCCESSOR_MS = 1000;
/** Time between two looks for a fitter box, in ms. */
const FITTER_MS = 1000;
/** Longest wait of one look, in ms: a silent link is noticed soon after. */
const FEED_WAIT_MS = 400;
/**
 * Boxes that are not among the few close watchers look this seldom, in ms, while
 * each look tells of a renewal; after one that tells of none they watch closely. If
 * all close watchers are gone, a term is taken over so much later at most.
 */
const REST_MS = 1500;
/** Time between two checks of whether to claim, in ms. */
const LOOK_MS = 50;
/** A renewal is not repeated after this time, in ms: the next one is due. */
const RENEW_LIMIT_MS = 400;
/** A takeover or a release is given up after this time, in ms. */
const WRITE_LIMIT_MS = 1500;

/** Takes part in the election for ever. */
export class Election {
  readonly #ports: ports.CoordinatorPorts;
  readonly #follower: TableClient.RowFollower<unknown>;
  #row: terms.CoordinatorRow | null = null;
  /** Newest renewal that was seen; differs with each one. */
  #lease: unknown = null;
  readonly #pace = new paces.RenewalPace();
  #changedAtMs = Number.POSITIVE_INFINITY;
  #silentSinceMs = Number.POSITIVE_INFINITY;
  #lastHeardMs = Number.NEGATIVE_INFINITY;
  #heardFirstAtMs: number | null = null;
  #spreadMs = 0;
  #term: terms.Term | null = null;
  #leaving = false;
  /** Whether the last look told of a renewal. */
  #hasToldOfRenewal = false;

  constructor(coordinatorPorts: ports.CoordinatorPorts) {
    this.#ports = coordinatorPorts;
    const { clock, random, store, electionFeed: feed } = coordinatorPorts;
    this.#follower = new TableClient.RowFollower<unknown>({
      feed,
      clock,
      random,
      awaitBack: () => store.awaitBack(),
      waitMs: FEED_WAIT_MS,
      onChange: (entries) => this.#note(entries),
      onHeard: () => this.#heard(),
    });
  }

  /** Holder of the row as last seen; null where there is none. */
  get holder(): string | null {
    const holder = this.#row?.holder ?? "";
    return holder === "" ? null : holder;
  }

  /** Runs `work` whenever this node is elected, until the term is lost. */
  run(work: (term: terms.Term) => Effect.Effect<void>): Effect.Effect<never> {
    const hold = Effect.gen({ self: this }, function* () {
      yield* this.#ports.clock.sleep(LOOK_MS);
      if (!this.#mayTake()) return;
      const term = yield* this.#take(this.#row?.token ?? 0);
      if (term === null) return;
      yield* this.#serve(term, work);
    });
    return Effect.raceFirst(this.#watch(), Effect.forever(hold));
  }

  /** Calls of boxes that can not be next would grow with boxes times renewals. */
  #watch(): Effect.Effect<never> {
    return Effect.forever(Effect.gen({ self: this }, function* () {
      if (this.#mayRest()) yield* this.#ports.clock.sleep(REST_MS);
      this.#hasToldOfRenewal = false;
      yield* this.#follower.step();
    }));
  }

  #mayRest(): boolean {
    const holder = this.#row?.holder ?? "";
    return this.#hasToldOfRenewal && holder !== "" && this.#term === null &&
      this.#follower.isCaughtUp && !this.#ports.fitness.isCloseWatcher();
  }

  /** Releases the row, so that another node takes over at once. */
  release(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#leaving = true;
      const term = this.#term;
      if (term === null || term.isLost) return;
      const successor = yield* this.#ports.fitness.findSuccessor();
      if (term.isLost) return;
      term.lose("released");
      yield* this.#writeRelease(term, successor);
    });
  }

  #writeRelease(
    term: terms.Term,
    successor: string | null,
  ): Effect.Effect<void> {
    const { incarnation, store, log } = this.#ports;
    const { token, condition, condition: { key } } = term;
    const value: terms.CoordinatorRow = {
      token,
      holder: "",
      incarnation,
      ...(successor === null ? {} : { successor }),
    };
    const write = { conditions: [condition], writes: [{ key, value }] };
    return Effect.andThen(
      Effect.ignore(store.write(write, WRITE_LIMIT_MS)),
      Effect.sync(() => {
        log.info(`Token ${token} is released to ${successor ?? "any box"}.`);
      }),
    );
  }

  #note(entries: readonly Ports.FeedEntry<unknown>[]): void {
    for (const { key, value } of entries) {
      if (key === TableClient.Keys.COORDINATOR_LEASE_KEY) {
        this.#lease = value;
        this.#hasToldOfRenewal = true;
      }
      if (key !== TableClient.Keys.COORDINATOR_KEY) continue;
      this.#row = value as terms.CoordinatorRow | null;
      this.#pace.reset();
      const token = this.#row?.token ?? 0;
      const term = this.#term;
      const isOther = this.#row?.incarnation !== this.#ports.incarnation;
      if (term !== null && token > term.token && isOther) {
        term.lose(`token ${token} seen`);
      }
    }
    this.#changedAtMs = this.#ports.clock.monotonicMs();
    this.#pace.note(this.#changedAtMs);
  }

  /** Silence counts only while the store is heard without a break. */
  #heard(): void {
    const nowMs = this.#ports.clock.monotonicMs();
    const brokeOff = nowMs - this.#lastHeardMs > this.#pace.silenceMs;
    this.#lastHeardMs = nowMs;
    if (this.#heardFirstAtMs === null) this.#heardFirstAtMs = nowMs;
    // After an outage the holder needs a while to renew again.
    if (brokeOff) this.#pace.reset();
    if (brokeOff || this.#silentSinceMs === Number.POSITIVE_INFINITY) {
      this.#silentSinceMs = nowMs;
      this.#spreadMs = this.#ports.random.next() * SPREAD_MS;
    }
  }

  #mayTake(): boolean {
    if (this.#leaving || !this.#follower.hasSnapshot) return false;
    const { node, incarnation, clock } = this.#ports;
    if (this.#row === null || this.#row.holder === "") return this.#mayClaim();
    const isFormerSelf = this.#row.holder === node &&
      this.#row.incarnation !== incarnation;
    if (isFormerSelf) return true;
    const nowMs = clock.monotonicMs();
    const { silenceMs } = this.#pace;
    if (nowMs - this.#lastHeardMs > silenceMs) return false;
    const sinceMs = Math.max(
      Number.isFinite(this.#changedAtMs) ? this.#changedAtMs : 0,
      this.#silentSinceMs,
    );
    const delayMs = fitnesses.claimDelayMs(this.#ports.fitness);
    return nowMs - sinceMs > silenceMs + this.#spreadMs + delayMs;
  }

  /** Nobody holds the row: the fittest box claims it first. */
  #mayClaim(): boolean {
    const { node, clock, fitness } = this.#ports;
    const successor = this.#row?.successor;
    if (successor === node) return true;
    const firstMs = this.#row === null ? FIRST_WAIT_MS : 0;
    const waitMs = successor === undefined ? firstMs : SUCCESSOR_MS;
    const heardMs = this.#heardFirstAtMs ?? Number.POSITIVE_INFINITY;
    const isKnown = Number.isFinite(this.#changedAtMs);
    const sinceMs = isKnown ? Math.max(this.#changedAtMs, heardMs) : heardMs;
    const freeForMs = clock.monotonicMs() - sinceMs;
    return freeForMs >= waitMs + fitnesses.claimDelayMs(fitness);
  }

  /** Takes over from the holder that was judged, and from no later one. */
  #take(judgedToken: number): Effect.Effect<terms.Term | null> {
    return Effect.gen({ self: this }, function* () {
      const { store, node, incarnation, log } = this.#ports;
      const key = TableClient.Keys.COORDINATOR_KEY;
      const leaseKey = TableClient.Keys.COORDINATOR_LEASE_KEY;
      const rows = yield* store.read([key, leaseKey], WRITE_LIMIT_MS);
      const row = rows.find((one) => one.key === key);
      const lease = rows.find((one) => one.key === leaseKey);
      const found = row?.value as terms.CoordinatorRow | undefined;
      const isOther = (found?.token ?? 0) !== judgedToken;
      if (isOther || this.#hasRenewed(found, lease?.value ?? null)) {
        return this.#waitAgain();
      }
      const token = (found?.token ?? 0) + 1;
      const value: terms.CoordinatorRow = { token, holder: node, incarnation };
      const revision = yield* store.write({
        conditions: [
          { key, revision: row?.revision ?? 0 },
          { key: leaseKey, revision: lease?.revision ?? 0 },
        ],
        writes: [{ key, value }, { key: leaseKey, value: token }],
      }, WRITE_LIMIT_MS);
      log.info(`Node ${node} coordinates under token ${token}.`);
      return new terms.Term(token, revision);
    }).pipe(Effect.catch((err) => {
      this.#ports.log.info(`Not elected: ${err.message}`);
      this.#silentSinceMs = Number.POSITIVE_INFINITY;
      return Effect.succeed(null);
    }));
  }

  /**
   * Whether the holder has renewed since the feed told of it last: a feed may
   * fall behind while its looks are still answered.
   */
  #hasRenewed(
    found: terms.CoordinatorRow | undefined,
    lease: unknown,
  ): boolean {
    const isHeld = found !== undefined && found.holder !== "" &&
      found.holder !== this.#ports.node;
    if (!isHeld || lease === this.#lease) return false;
    this.#lease = lease;
    return true;
  }

  /** The rows have changed: whoever holds them has its usual time again. */
  #waitAgain(): null {
    this.#changedAtMs = this.#ports.clock.monotonicMs();
    this.#ports.log.warn("The feed of the election falls behind its rows.");
    return null;
  }

  #serve(
    term: terms.Term,
    work: (term: terms.Term) => Effect.Effect<void>,
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#term = term;
      const ended = Effect.map(term.awaitLoss(), (how) => {
        this.#ports.log.info(`Token ${term.token} is lost: ${how}.`);
      });
      const guarded = Effect.catchDefect(
        work(term),
        (defect) => this.#giveUp(term, defect),
      );
      const beside = Effect.raceFirst(
        this.#keepRenewing(term),
        this.#moveToFitter(term),
      );
      const both = Effect.raceFirst(guarded, beside);
      yield* Effect.raceFirst(both, ended);
      term.lose("the work ended");
      this.#term = null;
      this.#silentSinceMs = this.#ports.clock.monotonicMs();
    });
  }

  /** A fault in our own code ends the term; perhaps another node fares better. */
  #giveUp(term: terms.Term, defect: unknown): Effect.Effect<void> {
    return Effect.sync(() => {
      const { log, metrics } = this.#ports;
      log.error(`Coordinating failed: ${restart.describeDefect(defect)}`);
      metrics.count("cairngate_defects_total", { what: "Coordinating" });
      term.lose("the coordinator failed");
    });
  }

  /** Hands the term to a box that is better placed for it, once there is one. */
  #moveToFitter(term: terms.Term): Effect.Effect<never> {
    const { clock, fitness } = this.#ports;
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* clock.sleep(FITTER_MS);
        if (!fitness.hasFitter()) continue;
        const fitter = yield* fitness.findFitter();
        if (fitter === null || term.isLost) continue;
        yield* this.#writeRelease(term, fitter);
        term.lose(`handed to ${fitter}`);
      }
    });
  }

  #keepRenewing(term: terms.Term): Effect.Effect<never> {
    const { store, clock, metrics } = this.#ports;
    const key = TableClient.Keys.COORDINATOR_LEASE_KEY;
    let renewedAtMs = clock.monotonicMs();
    const renew = Effect.suspend(() =>
      store.write({
        conditions: [term.condition],
        writes: [{ key, value: Math.round(clock.monotonicMs()) }],
      }, RENEW_LIMIT_MS)
    ).pipe(
      Effect.map(() => {
        const nowMs = clock.monotonicMs();
        const pauseMs = nowMs - renewedAtMs;
        metrics.observeMs("cairngate_renewal_pause_seconds", pauseMs);
        renewedAtMs = nowMs;
      }),
      Effect.catchTags({
        ConditionFailedError: () =>
          Effect.sync(() => term.lose("the row has changed")),
        StoreUnavailableError: () => Effect.void,
      }),
    );
    return clock.every(RENEW_MS, renew);
  }
}
