/** Endpoint snapshots for the scheduler. */
import type * as Ports from "@cairngate/ports";
import type * as Scheduler from "@cairngate/workflow-scheduler";
import type * as evacuations from "./evacuation_tracker.ts";
import type * as endpointSessions from "./endpoint_sessions.ts";
import type * as acceptedListings from "./accepted_listings.ts";
import type * as listingTimes from "./listing_times.ts";
import type * as failureLogs from "./endpoint_failure_log.ts";
import type * as uneven from "./uneven_speeds.ts";
import type * as speeds from "./endpoint_speeds.ts";

/** Sources of the endpoint snapshots. */
export interface EndpointSnapshotsOptions {
  readonly clock: Ports.Clock;
  readonly evacuations: evacuations.EvacuationTracker;
  readonly listings: acceptedListings.AcceptedListings;
  readonly sessions: endpointSessions.EndpointSessions;
  readonly times: listingTimes.ListingTimes;
  readonly speeds: speeds.EndpointSpeeds;
  readonly unevenSpeeds: uneven.UnevenSpeeds;
  /** Whether endpoint speeds differ enough for the uneven-speed model to apply. */
  readonly doEndpointsDiffer: () => boolean;
  readonly failureLog: failureLogs.EndpointFailureLog;
}

interface PlanMoment {
  readonly nowMs: number;
  /** Whether evacuations are up to date, so that work may start at all. */
  readonly mayStart: boolean;
}

/** Builds the snapshots of all listed endpoints. */
export class EndpointSnapshots {
  readonly #options: EndpointSnapshotsOptions;

  constructor(options: EndpointSnapshotsOptions) {
    this.#options = options;
  }

  /** Current snapshots of all listed endpoints. */
  all(): Scheduler.EndpointSnapshot[] {
    const { clock, evacuations, listings } = this.#options;
    const nowMs = clock.monotonicMs();
    const mayStart = !evacuations.mayBeOutdated;
    return Array.from(
      listings.all,
      (listing) => this.#stateOf(listing, { nowMs, mayStart }),
    );
  }

  /** Relative speed of an endpoint; 1 is the usual one. */
  speedOf(id: string): number {
    const { speeds, unevenSpeeds, doEndpointsDiffer } = this.#options;
    return doEndpointsDiffer() ? unevenSpeeds.of(id) : speeds.of(id);
  }

  /**
   * Speed by which the progress rates of runs are normalised; 1 where speeds hardly
   * differ.
   */
  comparisonSpeed(id: string): number {
    const { unevenSpeeds, doEndpointsDiffer } = this.#options;
    return doEndpointsDiffer() ? unevenSpeeds.of(id) : 1;
  }

  /** Rack and speed of an endpoint; null where it is not listed. */
  siteOf(id: string): { rack: string; speed: number } | null {
    const listing = this.#options.listings.get(id);
    if (listing === undefined) return null;
    return { rack: listing.rack, speed: this.speedOf(id) };
  }

  /** Accelerators of endpoints that are listed, not draining and not evacuated. */
  get schedulableAccelerators(): number {
    return [...this.#options.listings.all]
      .filter((one) => this.#isSchedulable(one))
      .reduce((sum, { accelerators }) => sum + accelerators, 0);
  }

  #stateOf(
    listing: Ports.EndpointListing,
    at: PlanMoment,
  ): Scheduler.EndpointSnapshot {
    const { sessions, times, failureLog } = this.#options;
    const { id, address } = listing;
    const { nowMs, mayStart } = at;
    const session = sessions.open(id);
    return {
      id,
      service: listing.service,
      dataCentre: listing.dataCentre,
      rack: listing.rack,
      labels: new Set(listing.labels),
      total: listing,
      usable: mayStart && this.#isSchedulable(listing) &&
        session !== null && session.isUsable && !session.isOnProbation(nowMs),
      isUnreliable: session?.health.isUnreliable(nowMs) ?? false,
      isProven: session?.health.isProven(nowMs) ?? false,
      isCold: times.isCold(id),
      hasCrashedLately: failureLog.hasCrashedLately(address),
      speed: this.speedOf(id),
      tasks: session?.assignments.map(({ task }) => task) ?? [],
    };
  }

  /** Whether the endpoint is neither draining nor in an evacuated data centre. */
  #isSchedulable({ draining, dataCentre }: Ports.EndpointListing): boolean {
    return !draining && !this.#options.evacuations.isEvacuated(dataCentre);
  }
}
