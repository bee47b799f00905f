/** Follows the platform's list of endpoints and keeps a session with each of them. */
import type * as Ports from "@cairngate/ports";
import type * as Scheduler from "@cairngate/workflow-scheduler";
import type * as Effect from "effect/Effect";
import type * as occupants from "../sessions/occupant.ts";
import type * as sessions from "../sessions/endpoint_session.ts";
import type * as directoryOptions from "./directory_options.ts";
import * as endpointSessions from "./endpoint_sessions.ts";
import * as acceptedListings from "./listing_book.ts";
import * as listingChanges from "./listing_changes.ts";
import * as listingTimes from "./listing_times.ts";
import * as planStates from "./plan_states.ts";
import * as silences from "./silence_log.ts";
import * as speedLearners from "./speed_lessons.ts";
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
  readonly silences: silences.SilenceLog;
  readonly #sessions: endpointSessions.EndpointSessions;
  readonly #changes: listingChanges.ListingChanges;
  readonly #states: planStates.EndpointStates;

  constructor(options: directoryOptions.DirectoryOptions) {
    const { listener, ports: { clock, evacuations } } = options;
    this.times = new listingTimes.ListingTimes(clock);
    this.silences = new silences.SilenceLog({
      clock,
      onExcused: (victims, fellows) => listener.crashExcused(victims, fellows),
    });
    const listings = new acceptedListings.AcceptedListings(clock);
    this.#sessions = new endpointSessions.EndpointSessions({
      options,
      listings,
      silences: this.silences,
    });
    const { times, speeds, unevenSpeeds } = this;
    const sessions = this.#sessions;
    const parts = { listings, sessions, times, speeds, unevenSpeeds };
    this.#changes = new listingChanges.ListingChanges({ ...parts, options });
    this.#states = new planStates.EndpointStates({
      ...parts,
      clock,
      evacuations,
      silences: this.silences,
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
  lifeBegan(id: string): void {
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
    return session !== undefined && session.isOver && session.wasHeard;
  }

  /**
   * The session with an endpoint that the records name; null where its incarnation has
   * ended. An endpoint that is no longer listed is contacted at its recorded address.
   */
  open(
    id: string,
    recorded: endpointSessions.RecordedPlace | null = null,
  ): sessions.EndpointSession | null {
    return this.#sessions.open(id, recorded);
  }

  /** Endpoint states for the scheduler. */
  states(): Scheduler.WorkerState[] {
    return this.#states.all();
  }

  /** Speeds of all listed endpoints; 1 where there are too few samples. */
  sureSpeeds(): readonly number[] {
    return this.#states.all().map(({ id }) =>
      this.unevenSpeeds.confidentOf(id)
    );
  }

  /** Learns speeds from a single (non-gang) task that completed. */
  learnFrom(
    { task, compared, wasCold }: occupants.Occupant,
    tookMs: number,
  ): void {
    const { worker } = task;
    if (worker === null || wasCold || tookMs <= 0) return;
    const run = { endpoint: worker, rate: DONE_PERCENT / tookMs };
    this.speedLearner.noteEnd({ task, run, isFresh: !compared });
  }

  /**
   * Speed by which the progress rates of runs are normalised; 1 where speeds hardly
   * differ.
   */
  comparisonSpeed(id: string): number {
    return this.#states.comparisonSpeed(id);
  }

  /** Rack and speed of an endpoint; null where it is not listed. */
  siteOf(id: string): { rack: string; speed: number } | null {
    return this.#states.siteOf(id);
  }

  /** Accelerators of endpoints that are listed, not draining and not evacuated. */
  get openAccelerators(): number {
    return this.#states.schedulableAccelerators;
  }

  /** Number of runs that endpoints of a data centre hold or may hold. */
  runsIn(dataCentre: string): number {
    return [...this.#sessions.all]
      .filter((session) => session.dataCentre === dataCentre)
      .reduce((sum, { occupants }) => sum + occupants.length, 0);
  }

  /** Delay of this box's own processing, in ms. */
  get lateMs(): number {
    return this.#sessions.lateMs;
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
