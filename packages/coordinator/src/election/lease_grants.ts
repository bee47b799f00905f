/**
 * Whether the holder of a term may grant leases to endpoints. Each renewal announces a
 * window, counted from the time at which it is sent, in which no other box takes over.
 * The holder grants leases only within the window of an acknowledged renewal, so every
 * lease of its term is granted before another term can begin.
 */
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import type * as reports from "./outage_reports.ts";
import * as paces from "./renewal_pace.ts";

/** Dependencies of the grants. */
export interface LeaseGrantsOptions {
  readonly clock: Ports.Clock;
  readonly outageReports: reports.OutageReports;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
  readonly token: number;
  /** When the write that began the term was sent. */
  readonly begunAt: Ports.Moment;
}

/** A renewal and the window that it announces. */
export interface SentRenewal {
  readonly sentAt: Ports.Moment;
  /** Time from then on in which no other box takes over, in ms. */
  readonly windowMs: number;
}

/** Window in units of the longest recent age that the newest renewal has reached. */
const WINDOW_FACTOR = 1.5;
/** Factor by which the longest age decays with each renewal. */
const DECAY = 0.8;

/** Right of one term's holder to grant leases. */
export class LeaseGrants {
  readonly #options: LeaseGrantsOptions;
  /** The newest acknowledged renewal. No earlier window ends after its own. */
  #acknowledged: SentRenewal;
  /**
   * End of the latest window that was announced, acknowledged or not, in ms of the
   * monotonic clock.
   */
  #announcedUntilMs: number;
  #longestAgeMs = 0;
  /**
   * Renewals newer than the newest acknowledged one whose windows may still be open, in
   * the order of sending.
   */
  #unacknowledged: SentRenewal[] = [];
  #isEnded = false;
  /** Called when a renewal opens a window after a time without one. */
  onReopened: () => void = () => {};
  /** Time of the check that found that no lease may be granted; null while one may. */
  #pausedAtMs: number | null = null;

  constructor(options: LeaseGrantsOptions) {
    this.#options = options;
    this.#acknowledged = {
      sentAt: options.begunAt,
      windowMs: paces.MIN_SILENCE_MS,
    };
    this.#announcedUntilMs = windowEndMs(this.#acknowledged);
  }

  /**
   * Prepares a renewal that is sent now. Windows never end before an earlier one, as
   * other boxes may know only the later renewal.
   */
  announce(): SentRenewal {
    const sentAt = this.#options.clock.now();
    const windowMs = Math.max(
      this.#wantedWindowMs,
      this.#announcedUntilMs - sentAt.monotonicMs,
    );
    const renewal = { sentAt, windowMs };
    this.#announcedUntilMs = windowEndMs(renewal);
    this.#unacknowledged = this.#unacknowledged.filter((earlier) =>
      windowEndMs(earlier) > sentAt.monotonicMs
    );
    this.#unacknowledged.push(renewal);
    return renewal;
  }

  get #wantedWindowMs(): number {
    // How late renewals are acknowledged now is known only after the first one.
    if (!this.#isOpen) return paces.MAX_WINDOW_MS;
    const wantedMs = Math.ceil(this.#longestAgeMs * WINDOW_FACTOR);
    return Math.min(
      paces.MAX_WINDOW_MS,
      Math.max(paces.MIN_SILENCE_MS, wantedMs),
    );
  }

  /**
   * Notes that the store has acknowledged a renewal. The answer may have waited in a
   * buffer while this box stood still, so only the time of sending counts.
   */
  noteRenewed(renewal: SentRenewal): void {
    const wasOpen = this.#isOpen;
    const nowMs = this.#options.clock.monotonicMs();
    // A step of the wall clock says nothing about the store.
    const ageMs = nowMs - this.#acknowledged.sentAt.monotonicMs;
    this.#longestAgeMs = Math.max(ageMs, this.#longestAgeMs * DECAY);
    if (!isOlder(renewal, this.#acknowledged)) this.#acknowledged = renewal;
    this.#unacknowledged = this.#unacknowledged.filter((one) =>
      isOlder(this.#acknowledged, one)
    );
    if (!wasOpen && this.#isOpen) this.onReopened();
  }

  /**
   * Notes the time of a renewal that the feed of the election shows: its answer may be
   * lost, or too late for a call. Other writers may have left any time there, so only
   * renewals of this term count.
   */
  noteApplied(renewedAtMs: number): void {
    const renewal = this.#unacknowledged.find(({ sentAt }) =>
      Math.round(sentAt.monotonicMs) === renewedAtMs
    );
    if (renewal !== undefined) this.noteRenewed(renewal);
  }

  /** Time since the newest acknowledged renewal was sent, in ms. */
  get renewalAgeMs(): number {
    return this.#options.clock.elapsedMsSince(this.#acknowledged.sentAt);
  }

  /** Ends the grants for good, before another box may learn that the term ends. */
  end(): void {
    this.#isEnded = true;
  }

  /**
   * Whether a lease may be granted now. Where the store is unavailable to all boxes, none
   * can take over, and running work may continue.
   */
  mayGrant(): boolean {
    if (this.#isEnded) return false;
    const { outageReports } = this.#options;
    const mayGrant = this.#isOpen || outageReports.isUnavailableToAll();
    this.#logChange(mayGrant);
    return mayGrant;
  }

  get #isOpen(): boolean {
    return this.renewalAgeMs < this.#acknowledged.windowMs;
  }

  #logChange(mayGrant: boolean): void {
    const { clock, log, metrics, token } = this.#options;
    if (mayGrant === (this.#pausedAtMs === null)) return;
    const nowMs = clock.monotonicMs();
    if (this.#pausedAtMs !== null) {
      const pausedMs = Math.round(nowMs - this.#pausedAtMs);
      this.#pausedAtMs = null;
      log.info(`Token ${token} grants leases again after ${pausedMs} ms.`);
      return;
    }
    this.#pausedAtMs = nowMs;
    metrics.count("cairngate_lease_grant_pauses_total");
    log.warn(
      `Token ${token} grants no leases: its newest acknowledged renewal was sent ` +
        `${Math.round(this.renewalAgeMs)} ms ago.`,
    );
  }
}

/** End of a renewal's window, in ms of the monotonic clock. */
function windowEndMs({ sentAt, windowMs }: SentRenewal): number {
  return sentAt.monotonicMs + windowMs;
}

function isOlder(renewal: SentRenewal, other: SentRenewal): boolean {
  return renewal.sentAt.monotonicMs < other.sentAt.monotonicMs;
}
