/** The platform's list of workers, followed, and a session with each of them. */
import type * as Ports from "@cairngate/ports";
import type * as Scheduler from "@cairngate/workflow-scheduler";
import type * as Effect from "effect/Effect";
import type * as occupants from "../sessions/occupant.ts";
import type * as sessions from "../sessions/endpoint_session.ts";
import type * as directoryOptions from "./directory_options.ts";
import * as endpointSessions from "./endpoint_sessions.ts";
import * as listingBooks from "./listing_book.ts";
import * as listingChanges from "./listing_changes.ts";
import * as listingTimes from "./listing_times.ts";
import * as planStates from "./plan_states.ts";
import * as silences from "./silence_log.ts";
import * as lessons from "./speed_lessons.ts";
import * as uneven from "./uneven_speeds.ts";
import * as speeds from "./endpoint_speeds.ts";

const DONE_PERCENT = 100;

/** Workers by id; one for each term. */
export class EndpointDirectory {
  /** How fast the workers are beside each other. */
  readonly speeds = new speeds.EndpointSpeeds();
  /** The same, learned for fleets on which they differ much. */
  readonly unevenSpeeds = new uneven.UnevenSpeeds();
  /** What runs teach of them. */
  readonly speedLearner = new lessons.SpeedLearner(this.unevenSpeeds);
  /** When listings came, until when endpoints are cold, when they leave. */
  readonly times: listingTimes.ListingTimes;
  /** Which endpoints have fallen silent or crashed. */
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
    const listings = new listingBooks.AcceptedListings(clock);
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
   * Lets the sessions talk to their workers. Before that, all recorded runs have
   * to be adopted: a session stops runs that it does not know.
   */
  begin(): void {
    this.#sessions.begin();
  }

  /** Takes in changes of the list. */
  update(entries: readonly Ports.FeedEntry<Ports.EndpointListing>[]): void {
    this.#changes.update(entries);
  }

  /** Another life answers under this id: its own entry takes effect, if it came. */
  lifeBegan(id: string): void {
    this.#changes.noteNewIncarnation(id);
  }

  /** The session with a worker; null where the worker is unknown. */
  session(id: string): sessions.EndpointSession | null {
    return this.#sessions.get(id) ?? null;
  }

  /** All sessions. */
  get sessions(): Iterable<sessions.EndpointSession> {
    return this.#sessions.all;
  }

  /** Whether the life of this id was heard and has ended since. */
  hasEnded(id: string): boolean {
    const session = this.#sessions.get(id);
    return session !== undefined && session.isOver && session.wasHeard;
  }

  /**
   * The session with a worker that the records name; null where it has ended. One that
   * is not listed any more is asked where the records say that it was.
   */
  open(
    id: string,
    recorded: endpointSessions.RecordedPlace | null = null,
  ): sessions.EndpointSession | null {
    return this.#sessions.open(id, recorded);
  }

  /** The workers as a plan sees them. */
  states(): Scheduler.WorkerState[] {
    return this.#states.all();
  }

  /** Speeds of all listed endpoints; 1 where they are not known for sure. */
  sureSpeeds(): readonly number[] {
    return this.#states.all().map(({ id }) =>
      this.unevenSpeeds.confidentOf(id)
    );
  }

  /** Learns from a task that ran by itself and has ended well. */
  learnFrom(
    { task, compared, wasCold }: occupants.Occupant,
    tookMs: number,
  ): void {
    const { worker } = task;
    if (worker === null || wasCold || tookMs <= 0) return;
    const run = { worker, rate: DONE_PERCENT / tookMs };
    this.speedLearner.noteEnd({ task, run, isFresh: !compared });
  }

  /** Speed by which the paces of runs are compared; 1 where speeds hardly differ. */
  comparisonSpeed(id: string): number {
    return this.#states.comparisonSpeed(id);
  }

  /** Where an endpoint stands and how fast it is; null where it is not listed. */
  siteOf(id: string): { rack: string; speed: number } | null {
    return this.#states.siteOf(id);
  }

  /** Accelerators that may be given work: listed, staying, not evacuated. */
  get openAccelerators(): number {
    return this.#states.schedulableAccelerators;
  }

  /** Runs that endpoints of a data centre hold or may hold. */
  runsIn(dataCentre: string): number {
    return [...this.#sessions.all]
      .filter((session) => session.dataCentre === dataCentre)
      .reduce((sum, { occupants }) => sum + occupants.length, 0);
  }

  /** How late this box is with its own work, in ms. */
  get lateMs(): number {
    return this.#sessions.lateMs;
  }

  /** Closes sessions with workers that are not listed and hold nothing. */
  closeUnlisted(): void {
    this.#sessions.closeUnlisted();
  }

  /** Ends all fibers of the sessions. */
  close(): Effect.Effect<void> {
    return this.#sessions.close();
  }
}
