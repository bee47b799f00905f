/** Follows the platform's list of endpoints and keeps a session with each of them. */
import type * as Ports from "@cairngate/ports";
import type * as Scheduler from "@cairngate/workflow-scheduler";
import type * as Effect from "effect/Effect";
import type * as earlierLeases from "../sessions/earlier_leases.ts";
import type * as leaseHandOver from "../sessions/lease_hand_over.ts";
import type * as assignments from "../sessions/assignment.ts";
import type * as sessions from "../sessions/endpoint_session.ts";
import type * as directoryOptions from "./directory_options.ts";
import * as endpointSessions from "./endpoint_sessions.ts";
import * as acceptedListings from "./accepted_listings.ts";
import * as listingChanges from "./listing_changes.ts";
import * as listingTimes from "./listing_times.ts";
import * as snapshots from "./endpoint_snapshots.ts";
import * as failureLogs from "./endpoint_failure_log.ts";
import * as speedLearners from "./speed_learner.ts";
import * as uneven from "./uneven_speeds.ts";
import * as speeds from "./endpoint_speeds.ts";

const DONE_PERCENT = 100;

/** Endpoints by id, for one term. */
export class EndpointDirectory {
  /** Relative speeds of the endpoints. */
  readonly speeds = new speeds.EndpointSpeeds();
  /** Relative speeds, learned by the model for fleets with large differences. */
  readonly unevenSpeeds = new uneven.UnevenSpeeds();
  /** Feeds rates of runs into the uneven-speed model. */
  readonly speedLearner = new speedLearners.SpeedLearner(this.unevenSpeeds);
  /** Times derived from listings: arrival, end of the cold start, departure. */
  readonly times: listingTimes.ListingTimes;
  /** Endpoints that stopped answering or crashed recently. */
  readonly failureLog: failureLogs.EndpointFailureLog;
  readonly #sessions: endpointSessions.EndpointSessions;
  readonly #changes: listingChanges.ListingChanges;
  readonly #snapshots: snapshots.EndpointSnapshots;

  constructor(options: directoryOptions.DirectoryOptions) {
    const { listener, ports: { clock, evacuations } } = options;
    this.times = new listingTimes.ListingTimes(clock);
    this.failureLog = new failureLogs.EndpointFailureLog({
      clock,
      onExcused: (affectedRuns, scale) =>
        listener.crashExcused(affectedRuns, scale),
    });
    const listings = new acceptedListings.AcceptedListings(clock);
    this.#sessions = new endpointSessions.EndpointSessions({
      options,
      listings,
      failureLog: this.failureLog,
    });
    const { times, speeds, unevenSpeeds } = this;
    const sessions = this.#sessions;
    const parts = { listings, sessions, times, speeds, unevenSpeeds };
    this.#changes = new listingChanges.ListingChanges({ ...parts, options });
    this.#snapshots = new snapshots.EndpointSnapshots({
      ...parts,
      clock,
      evacuations,
      failureLog: this.failureLog,
      doEndpointsDiffer: options.doEndpointsDiffer,
    });
  }

  /**
   * Starts the sessions. All recorded runs have to be adopted before, because a session
   * stops runs that it does not know.
   */
  begin(): void {
    this.#sessions.begin();
  }

  /** Applies changes of the platform's list. */
  update(entries: readonly Ports.FeedEntry<Ports.EndpointListing>[]): void {
    this.#changes.update(entries);
  }

  /**
   * Handles another incarnation answering under this id; its pending listing, if any,
   * takes effect.
   */
  noteNewIncarnation(id: string): void {
    this.#changes.noteNewIncarnation(id);
  }

  /** The session with an endpoint; null where there is none. */
  session(id: string): sessions.EndpointSession | null {
    return this.#sessions.get(id) ?? null;
  }

  /** All sessions, including those with unlisted endpoints. */
  get sessions(): Iterable<sessions.EndpointSession> {
    return this.#sessions.all;
  }

  /** Whether the endpoint's incarnation has answered and has ended since. */
  hasEnded(id: string): boolean {
    const session = this.#sessions.get(id);
    return session !== undefined && session.isOver && session.hasAnswered;
  }

  /** Leases of earlier coordinators and of closed sessions. */
  get earlierLeases(): earlierLeases.EarlierLeases {
    return this.#sessions.earlierLeases;
  }

  /** Whether a session with an endpoint was opened in this term. */
  wasOpened(id: string): boolean {
    return this.#sessions.wasOpened(id);
  }

  /** Ends of the leases at endpoints that do not answer. */
  listLeaseEnds(): readonly leaseHandOver.LeaseEnd[] {
    return this.#sessions.listLeaseEnds();
  }

  /** Whether another endpoint has answered at the endpoint's address in this term. */
  isReplacedAt(ref: Ports.EndpointRef): boolean {
    return this.#sessions.isReplacedAt(ref);
  }

  /**
   * The session with an endpoint that the records name; null where its incarnation has
   * ended. An endpoint that is no longer listed is contacted at its recorded address.
   */
  open(
    id: string,
    recorded: endpointSessions.RecordedEndpoint | null = null,
  ): sessions.EndpointSession | null {
    return this.#sessions.open(id, recorded);
  }

  /**
   * Adopts a start that an earlier coordinator revoked. Returns false if its endpoint is
   * not known.
   */
  adoptRevokedStart(start: Ports.RevokedStart): boolean {
    return this.#sessions.adoptRevokedStart(start);
  }

  /** Endpoint snapshots for the scheduler. */
  states(): Scheduler.EndpointSnapshot[] {
    return this.#snapshots.all();
  }

  /** Speeds of all listed endpoints; 1 where there are too few samples. */
  confidentSpeeds(): readonly number[] {
    return this.#snapshots.all().map(({ id }) =>
      this.unevenSpeeds.confidentOf(id)
    );
  }

  /** Learns speeds from a single (non-gang) task that completed. */
  learnFrom(
    { task, isCompared, wasCold }: assignments.Assignment,
    tookMs: number,
  ): void {
    const { endpoint } = task;
    if (endpoint === null || wasCold || tookMs <= 0) return;
    const run = { endpoint, rate: DONE_PERCENT / tookMs };
    this.speedLearner.noteEnd({ task, run, isFresh: !isCompared });
  }

  /**
   * Speed by which the progress rates of runs are normalised; 1 where speeds hardly
   * differ.
   */
  comparisonSpeed(id: string): number {
    return this.#snapshots.comparisonSpeed(id);
  }

  /** Rack and speed of an endpoint; null where it is not listed. */
  siteOf(id: string): { rack: string; speed: number } | null {
    return this.#snapshots.siteOf(id);
  }

  /** Accelerators of endpoints that are listed, not draining and not evacuated. */
  get schedulableAccelerators(): number {
    return this.#snapshots.schedulableAccelerators;
  }

  /** Number of runs that endpoints of a data centre hold or may hold. */
  runsIn(dataCentre: string): number {
    return [...this.#sessions.all]
      .filter((session) => session.dataCentre === dataCentre)
      .reduce((sum, { assignments }) => sum + assignments.length, 0);
  }

  /** Delay of this box's own processing, in ms. */
  get delayMs(): number {
    return this.#sessions.delayMs;
  }

  /** Closes sessions with endpoints that are unlisted and hold no runs. */
  closeUnlisted(): void {
    this.#sessions.closeUnlisted();
  }

  /** Interrupts all session fibers. */
  close(): Effect.Effect<void> {
    return this.#sessions.close();
  }
}
