/**
 * Follows the rows of the election: who holds them, whether the holder renews them, and
 * whether this box may take them.
 */
import type * as Admission from "@cairngate/admission";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Effect from "effect/Effect";
import type * as ports from "../ports.ts";
import * as fitnesses from "./fitness.ts";
import * as observers from "./forecast_observer.ts";
import * as leases from "./lease_value.ts";
import * as paces from "./renewal_pace.ts";
import * as storedTokens from "./stored_tokens.ts";
import type * as terms from "./term.ts";

/** Options of the watch. */
export interface RowWatchOptions {
  readonly ports: ports.CoordinatorPorts;
  /** Called for each change of the row that holds the token. */
  readonly onRow: (row: terms.CoordinatorRow | null) => void;
  /** Called with the time of each renewal, by the clock of its holder. */
  readonly onRenewal: (renewedAtMs: number) => void;
}

/** Maximum random delay of a candidate, in ms, so that few collide. */
const MAX_JITTER_MS = 200;
/** Wait before the first claim ever, in ms, in which the boxes discover each other. */
const FIRST_START_WAIT_MS = 700;
/** Time for which a released row is reserved for its successor, in ms. */
const SUCCESSOR_WAIT_MS = 1000;
/** Longest wait of one feed request, in ms; bounds the time to notice a silent link. */
const FEED_WAIT_MS = 400;
/**
 * Pause between feed requests of boxes that are not close watchers, in ms, while each
 * response brings a renewal; after one without, they follow closely. If all close
 * watchers are gone, a takeover is delayed by at most this pause.
 */
const IDLE_MS = 1500;

/**
 * Renewal times may be ahead of the newest one by the time passed since plus this, in
 * ms. One further ahead was not written by the holder; accepting it would make all
 * later renewals appear old.
 */
const MAX_AHEAD_MS = 10_000;

/** Election rows as this box sees them. */
export class RowWatch {
  readonly #ports: ports.CoordinatorPorts;
  readonly #onRow: RowWatchOptions["onRow"];
  readonly #onRenewal: RowWatchOptions["onRenewal"];
  readonly #follower: TableClient.RowFollower<unknown>;
  readonly #pace = new paces.RenewalPace();
  readonly #forecastObserver: observers.ForecastObserver;
  #memoryUse: Admission.KnownMemoryUse = {
    use: null,
    notedAtMs: Number.NEGATIVE_INFINITY,
  };
  /** When the present feed request was sent. */
  #requestedAtMs = 0;
  #row: terms.CoordinatorRow | null = null;
  #highestToken = 0;
  /** Value of the newest renewal; differs with each one. */
  #lease: unknown = null;
  /** When it was seen. */
  #leaseAtMs = 0;
  #changedAtMs = Number.POSITIVE_INFINITY;
  #silentSinceMs = Number.POSITIVE_INFINITY;
  #lastAnswerAtMs = Number.NEGATIVE_INFINITY;
  #firstAnswerAtMs: number | null = null;
  #jitterMs = 0;
  /** Whether the last response brought a renewal. */
  #hasSeenRenewal = false;

  constructor({ ports: watched, onRow, onRenewal }: RowWatchOptions) {
    this.#ports = watched;
    this.#onRow = onRow;
    this.#onRenewal = onRenewal;
    const { clock, random, store, electionFeed: feed } = watched;
    this.#forecastObserver = new observers.ForecastObserver(clock);
    this.#follower = new TableClient.RowFollower<unknown>({
      feed,
      clock,
      random,
      awaitRecovery: () => store.awaitRecovery(),
      waitMs: FEED_WAIT_MS,
      onChange: (entries) => this.#note(entries),
      onPolled: () => this.#noteAnswer(),
    });
  }

  /** The newest forecast of the holder. */
  get forecast(): Admission.KnownForecast {
    return this.#forecastObserver.latest;
  }

  /** Memory use that the newest renewal published. */
  get memoryUse(): Admission.KnownMemoryUse {
    return this.#memoryUse;
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
   * Highest token known. The next one must be above it even if the row has become
   * unreadable, because endpoints and fences reject lower ones.
   */
  get highestToken(): number {
    return this.#highestToken;
  }

  /** Notes a token of another term. */
  noteToken(token: number): void {
    this.#highestToken = Math.max(this.#highestToken, token);
  }

  /**
   * Follows the rows until interrupted. Boxes that are unlikely to take over pause
   * between requests; otherwise calls would grow with boxes times renewals.
   *
   * @param isHeld whether this box holds the row
   */
  run(isHeld: () => boolean): Effect.Effect<never> {
    return Effect.forever(Effect.gen({ self: this }, function* () {
      if (!isHeld() && this.#mayIdle) yield* this.#ports.clock.sleep(IDLE_MS);
      this.#hasSeenRenewal = false;
      this.#requestedAtMs = this.#ports.clock.monotonicMs();
      yield* this.#follower.step();
    }));
  }

  /** Whether the rows have not changed for too long, or there is no holder. */
  mayTakeOver(): boolean {
    if (!this.#follower.hasSnapshot) return false;
    const { box, incarnation, clock } = this.#ports;
    if (this.#row === null || this.#row.holder === "") return this.#mayClaim();
    const isFormerSelf = this.#row.holder === box &&
      this.#row.incarnation !== incarnation;
    if (isFormerSelf) return true;
    const nowMs = clock.monotonicMs();
    const silenceLimitMs = Math.max(
      this.#pace.silenceLimitMs,
      leases.windowMs(this.#lease),
    );
    if (nowMs - this.#lastAnswerAtMs > silenceLimitMs) return false;
    const sinceMs = Math.max(
      Number.isFinite(this.#changedAtMs) ? this.#changedAtMs : 0,
      this.#silentSinceMs,
    );
    const delayMs = fitnesses.claimDelayMs(this.#ports.fitness);
    return nowMs - sinceMs > silenceLimitMs + this.#jitterMs + delayMs;
  }

  /**
   * Whether the holder has renewed since the last renewal in the feed: a feed may fall
   * behind while its requests are still answered.
   */
  hasRenewed(found: terms.CoordinatorRow | null, lease: unknown): boolean {
    const isHeld = found !== null && found.holder !== "" &&
      found.holder !== this.#ports.box;
    if (!isHeld || lease === found.token) return false;
    if (!this.#isNewer(lease)) return false;
    this.#recordLease(lease);
    return true;
  }

  /** Restarts the holder's silence limit, because the rows are newer than the feed. */
  noteFeedBehind(): void {
    this.#changedAtMs = this.#ports.clock.monotonicMs();
    this.#ports.log.warn("The feed of the election is behind its rows.");
  }

  /** Counts silence from the next time at which the store answers. */
  resetSilence(): void {
    this.#silentSinceMs = Number.POSITIVE_INFINITY;
  }

  /** Counts silence from now, because this box held the row so far. */
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
    this.#row = storedTokens.decodeCoordinatorRow(value);
    this.noteToken(this.token);
    // Renewal times are comparable only within one term, as each holder uses its own
    // clock.
    this.#lease = null;
    this.#pace.reset();
    this.#onRow(this.#row);
  }

  /**
   * Returns whether the value is news: a newer renewal or a takeover, which writes its
   * token.
   */
  #noteLease(value: unknown): boolean {
    const renewedAtMs = leases.renewedAtMs(value);
    if (renewedAtMs !== null) this.#onRenewal(renewedAtMs);
    const isTakeover = value === this.token;
    if (!isTakeover && !this.#isNewer(value)) return false;
    if (isTakeover) this.#lease = null;
    else {
      this.#recordLease(value);
      const notedAtMs = this.#ports.clock.monotonicMs();
      this.#memoryUse = { use: leases.readMemoryUse(value), notedAtMs };
    }
    this.#forecastObserver.note(value, this.#requestedAtMs);
    this.#hasSeenRenewal = true;
    return true;
  }

  /**
   * Records a renewal unless its time is implausible; it shows that the holder is alive
   * either way.
   */
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
   * Whether a renewal was sent after the newest one seen. One that the store applied
   * late proves nothing about its holder, which may have ended since.
   */
  #isNewer(lease: unknown): boolean {
    const previousMs = leases.renewedAtMs(this.#lease);
    const sentMs = leases.renewedAtMs(lease);
    if (previousMs === null || sentMs === null) return lease !== this.#lease;
    return sentMs > previousMs;
  }

  /**
   * Notes an answer of the store. Silence counts only while the store answers without
   * interruption.
   */
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

  /**
   * Whether this box may claim a row without a holder; the fittest box claims it first.
   */
  #mayClaim(): boolean {
    const { box, clock, fitness } = this.#ports;
    const successor = this.#row?.successor;
    if (successor === box) return true;
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
