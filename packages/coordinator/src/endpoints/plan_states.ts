/** The endpoints as a plan sees them. */
import type * as Ports from "@cairngate/ports";
import type * as Scheduler from "@cairngate/workflow-scheduler";
import type * as evacuations from "./evacuation_book.ts";
import type * as endpointSessions from "./endpoint_sessions.ts";
import type * as listingBooks from "./listing_book.ts";
import type * as listingTimes from "./listing_times.ts";
import type * as silences from "./silence_log.ts";
import type * as uneven from "./uneven_speeds.ts";
import type * as speeds from "./endpoint_speeds.ts";

/** What the states are made of. */
export interface EndpointStatesOptions {
  readonly clock: Ports.Clock;
  readonly evacuations: evacuations.EvacuationBook;
  readonly listings: listingBooks.AcceptedListings;
  readonly sessions: endpointSessions.EndpointSessions;
  readonly times: listingTimes.ListingTimes;
  readonly speeds: speeds.EndpointSpeeds;
  readonly unevenSpeeds: uneven.UnevenSpeeds;
  /** Whether endpoints differ so much that their speeds count for more. */
  readonly doEndpointsDiffer: () => boolean;
  readonly silences: silences.SilenceLog;
}

interface PlanMoment {
  readonly nowMs: number;
  /** Whether the evacuations are known up to now, so that work may start at all. */
  readonly mayStart: boolean;
}

/** States of all listed endpoints. */
export class EndpointStates {
  readonly #options: EndpointStatesOptions;

  constructor(options: EndpointStatesOptions) {
    this.#options = options;
  }

  /** The endpoints as a plan sees them. */
  all(): Scheduler.WorkerState[] {
    const { clock, evacuations, listings } = this.#options;
    const nowMs = clock.monotonicMs();
    const mayStart = !evacuations.mayBeLate;
    return Array.from(
      listings.all,
      (listing) => this.#stateOf(listing, { nowMs, mayStart }),
    );
  }

  /** Speed of an endpoint beside the others; 1 is the usual one. */
  speedOf(id: string): number {
    const { speeds, unevenSpeeds, doEndpointsDiffer } = this.#options;
    return doEndpointsDiffer() ? unevenSpeeds.of(id) : speeds.of(id);
  }

  /** Speed by which the paces of runs are compared; 1 where speeds hardly differ. */
  comparisonSpeed(id: string): number {
    const { unevenSpeeds, doEndpointsDiffer } = this.#options;
    return doEndpointsDiffer() ? unevenSpeeds.of(id) : 1;
  }

  /** Where an endpoint stands and how fast it is; null where it is not listed. */
  siteOf(id: string): { rack: string; speed: number } | null {
    const listing = this.#options.listings.get(id);
    if (listing === undefined) return null;
    return { rack: listing.rack, speed: this.speedOf(id) };
  }

  /** Accelerators that may be given work: listed, staying, not evacuated. */
  get schedulableAccelerators(): number {
    return [...this.#options.listings.all]
      .filter((one) => this.#isSchedulable(one))
      .reduce((sum, { accelerators }) => sum + accelerators, 0);
  }

  #stateOf(
    listing: Ports.EndpointListing,
    at: PlanMoment,
  ): Scheduler.WorkerState {
    const { sessions, times, silences } = this.#options;
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
      isDoubted: session?.health.isDoubted(nowMs) ?? false,
      isProven: session?.health.isProven(nowMs) ?? false,
      isCold: times.isCold(id),
      hasCrashedLately: silences.hasCrashedLately(address),
      speed: this.speedOf(id),
      occupants: session?.occupants.map(({ task }) => task) ?? [],
    };
  }

  /** Whether it stays and is not evacuated. */
  #isSchedulable({ draining, dataCentre }: Ports.EndpointListing): boolean {
    return !draining && !this.#options.evacuations.isEvacuated(dataCentre);
  }
}
