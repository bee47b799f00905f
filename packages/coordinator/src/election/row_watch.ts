/**
 * What is seen of the rows of the election: who holds them, whether the holder renews
 * them, and whether this node may take them.
 */
import type * as Admission from "@cairngate/admission";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Effect from "effect/Effect";
import type * as ports from "../ports.ts";
import * as fitnesses from "./fitness.ts";
import * as observers from "./forecast_sight.ts";
import * as leases from "./lease_value.ts";
import * as paces from "./renewal_pace.ts";
import type * as terms from "./term.ts";

/** What the watch works with. */
export interface RowWatchOptions {
  readonly ports: ports.CoordinatorPorts;
  /** Told of each change of the row that holds the token. */
  readonly onRow: (row: terms.CoordinatorRow | null) => void;
}

/** Candidates wait up to this much longer, in ms, so that few collide. */
const MAX_JITTER_MS = 200;
/** At the first start the boxes learn of each other for this time, in ms. */
const FIRST_START_WAIT_MS = 700;
/** A successor takes a released row within this time, in ms, or another does. */
const SUCCESSOR_WAIT_MS = 1000;
/** Longest wait of one look, in ms: a silent link is noticed soon after. */
const FEED_WAIT_MS = 400;
/**
 * Boxes that are not among the few close watchers look this seldom, in ms, while
 * each look tells of a renewal; after one that tells of none they watch closely. If
 * all close watchers are gone, a term is taken over so much later at most.
 */
const IDLE_MS = 1500;

/**
 * A renewal whose time is ahead of the newest one seen by more than this, beside the
 * time since, is not its holder's: by it no later one would count, in ms.
 */
const MAX_AHEAD_MS = 10_000;

/** The rows as this node sees them. */
export class RowWatch {
  readonly #ports: ports.CoordinatorPorts;
  readonly #onRow: RowWatchOptions["onRow"];
  readonly #follower: TableClient.RowFollower<unknown>;
  readonly #pace = new paces.RenewalPace();
  readonly #forecastObserver: observers.ForecastObserver;
  /** When the look under way began. */
  #requestedAtMs = 0;
  #row: terms.CoordinatorRow | null = null;
  /** Newest renewal that was seen; differs with each one. */
  #lease: unknown = null;
  /** When it was seen. */
  #leaseAtMs = 0;
  #changedAtMs = Number.POSITIVE_INFINITY;
  #silentSinceMs = Number.POSITIVE_INFINITY;
  #lastAnswerAtMs = Number.NEGATIVE_INFINITY;
  #firstAnswerAtMs: number | null = null;
  #jitterMs = 0;
  /** Whether the last look told of a renewal. */
  #hasSeenRenewal = false;

  constructor({ ports: watched, onRow }: RowWatchOptions) {
    this.#ports = watched;
    this.#onRow = onRow;
    const { clock, random, store, electionFeed: feed } = watched;
    this.#forecastObserver = new observers.ForecastObserver(clock);
    this.#follower = new TableClient.RowFollower<unknown>({
      feed,
      clock,
      random,
      awaitBack: () => store.awaitBack(),
      waitMs: FEED_WAIT_MS,
      onChange: (entries) => this.#note(entries),
      onHeard: () => this.#noteAnswer(),
    });
  }

  /** The forecast that the holder tells of, as last seen. */
  get forecast(): Admission.Known {
    return this.#forecastObserver.latest;
  }

  /** Holder of the row as last seen; empty where there is none. */
  get holder(): string {
    return this.#row?.holder ?? "";
  }

  /** Token of the row as last seen; 0 where there is none. */
  get token(): number {
    return this.#row?.token ?? 0;
  }

  /**
   * Watches for ever. Calls of boxes that can not be next would grow with boxes times
   * renewals, so these rest between two looks.
   *
   * @param isHeld whether this node holds the row
   */
  run(isHeld: () => boolean): Effect.Effect<never> {
    return Effect.forever(Effect.gen({ self: this }, function* () {
      if (!isHeld() && this.#mayIdle) yield* this.#ports.clock.sleep(IDLE_MS);
      this.#hasSeenRenewal = false;
      this.#requestedAtMs = this.#ports.clock.monotonicMs();
      yield* this.#follower.step();
    }));
  }

  /** Whether the holder has let the rows stand still, or there is none. */
  mayTakeOver(): boolean {
    if (!this.#follower.hasSnapshot) return false;
    const { node, incarnation, clock } = this.#ports;
    if (this.#row === null || this.#row.holder === "") return this.#mayClaim();
    const isFormerSelf = this.#row.holder === node &&
      this.#row.incarnation !== incarnation;
    if (isFormerSelf) return true;
    const nowMs = clock.monotonicMs();
    const { silenceLimitMs } = this.#pace;
    if (nowMs - this.#lastAnswerAtMs > silenceLimitMs) return false;
    const sinceMs = Math.max(
      Number.isFinite(this.#changedAtMs) ? this.#changedAtMs : 0,
      this.#silentSinceMs,
    );
    const delayMs = fitnesses.claimDelayMs(this.#ports.fitness);
    return nowMs - sinceMs > silenceLimitMs + this.#jitterMs + delayMs;
  }

  /**
   * Whether the holder has renewed since the feed told of it last: a feed may
   * fall behind while its looks are still answered.
   */
  hasRenewed(found: terms.CoordinatorRow | undefined, lease: unknown): boolean {
    const isHeld = found !== undefined && found.holder !== "" &&
      found.holder !== this.#ports.node;
    if (!isHeld || lease === found.token) return false;
    if (!this.#isNewer(lease)) return false;
    this.#recordLease(lease);
    return true;
  }

  /** The rows have changed: whoever holds them has its usual time again. */
  noteFeedBehind(): void {
    this.#changedAtMs = this.#ports.clock.monotonicMs();
    this.#ports.log.warn("The feed of the election falls behind its rows.");
  }

  /** Silence counts from the next time at which the store is heard. */
  resetSilence(): void {
    this.#silentSinceMs = Number.POSITIVE_INFINITY;
  }

  /** Silence counts from now: this node held the row so far. */
  startSilence(): void {
    this.#silentSinceMs = this.#ports.clock.monotonicMs();
  }

  get #mayIdle(): boolean {
    return this.#hasSeenRenewal && this.holder !== "" &&
      this.#follower.isCaughtUp && !this.#ports.fitness.isCloseWatcher();
  }

  #note(entries: readonly Ports.FeedEntry<unknown>[]): void {
    const rows = entries.filter(({ key }) =>
      key === TableClient.Keys.COORDINATOR_KEY
    );
    for (const { value } of rows) this.#noteRow(value);
    const renewals = entries.filter(({ key, value }) =>
      key === TableClient.Keys.COORDINATOR_LEASE_KEY && this.#noteLease(value)
    );
    if (rows.length + renewals.length === 0) return;
    this.#changedAtMs = this.#ports.clock.monotonicMs();
    this.#pace.note(this.#changedAtMs);
  }

  #noteRow(value: unknown): void {
    this.#row = value as terms.CoordinatorRow | null;
    // The renewals of each term count by a clock of their own.
    this.#lease = null;
    this.#pace.reset();
    this.#onRow(this.#row);
  }

  /** Returns whether it tells anything. A takeover writes its token there. */
  #noteLease(value: unknown): boolean {
    const isTakeover = value === this.token;
    if (!isTakeover && !this.#isNewer(value)) return false;
    if (isTakeover) this.#lease = null;
    else this.#recordLease(value);
    this.#forecastObserver.note(value, this.#requestedAtMs);
    this.#hasSeenRenewal = true;
    return true;
  }

  /** A renewal is a sign of life; the time that it names counts if it can be true. */
  #recordLease(lease: unknown): void {
    const nowMs = this.#ports.clock.monotonicMs();
    const previousMs = leases.renewedAtMs(this.#lease);
    const sentMs = leases.renewedAtMs(lease);
    const isAhead = previousMs !== null && sentMs !== null &&
      sentMs - previousMs > nowMs - this.#leaseAtMs + MAX_AHEAD_MS;
    if (isAhead) return;
    this.#lease = lease;
    this.#leaseAtMs = nowMs;
  }

  /**
   * Whether a renewal was sent after the newest one that was seen. One that is carried
   * out late tells nothing of its holder, who may have ended since.
   */
  #isNewer(lease: unknown): boolean {
    const previousMs = leases.renewedAtMs(this.#lease);
    const sentMs = leases.renewedAtMs(lease);
    if (previousMs === null || sentMs === null) return lease !== this.#lease;
    return sentMs > previousMs;
  }

  /** Silence counts only while the store is heard without a break. */
  #noteAnswer(): void {
    const nowMs = this.#ports.clock.monotonicMs();
    const wasInterrupted =
      nowMs - this.#lastAnswerAtMs > this.#pace.silenceLimitMs;
    this.#lastAnswerAtMs = nowMs;
    if (this.#firstAnswerAtMs === null) this.#firstAnswerAtMs = nowMs;
    // After an outage the holder needs a while to renew again.
    if (wasInterrupted) this.#pace.reset();
    if (wasInterrupted || this.#silentSinceMs === Number.POSITIVE_INFINITY) {
      this.#silentSinceMs = nowMs;
      this.#jitterMs = this.#ports.random.next() * MAX_JITTER_MS;
    }
  }

  /** Nobody holds the row: the fittest box claims it first. */
  #mayClaim(): boolean {
    const { node, clock, fitness } = this.#ports;
    const successor = this.#row?.successor;
    if (successor === node) return true;
    const firstMs = this.#row === null ? FIRST_START_WAIT_MS : 0;
    const waitMs = successor === undefined ? firstMs : SUCCESSOR_WAIT_MS;
    const firstAnswerMs = this.#firstAnswerAtMs ?? Number.POSITIVE_INFINITY;
    const isKnown = Number.isFinite(this.#changedAtMs);
    const sinceMs = isKnown
      ? Math.max(this.#changedAtMs, firstAnswerMs)
      : firstAnswerMs;
    const freeForMs = clock.monotonicMs() - sinceMs;
    return freeForMs >= waitMs + fitnesses.claimDelayMs(fitness);
  }
}
