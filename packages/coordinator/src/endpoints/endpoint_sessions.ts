/** Sessions with all endpoints that are listed or named by the records. */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as restart from "../restart.ts";
import * as loads from "../sessions/box_load.ts";
import * as earlierLeases from "../sessions/earlier_leases.ts";
import * as leaseHandOver from "../sessions/lease_hand_over.ts";
import * as lateStartStops from "../sessions/late_start_stops.ts";
import * as unansweredStarts from "../sessions/unanswered_starts.ts";
import * as sessions from "../sessions/endpoint_session.ts";
import type * as directoryOptions from "./directory_options.ts";
import type * as acceptedListings from "./accepted_listings.ts";
import type * as failureLogs from "./endpoint_failure_log.ts";

/** Collaborators of the sessions. */
export interface EndpointSessionsOptions {
  readonly options: directoryOptions.DirectoryOptions;
  readonly listings: acceptedListings.AcceptedListings;
  readonly failureLog: failureLogs.EndpointFailureLog;
}

/** Address and birth time under which the records name an endpoint. */
export interface RecordedEndpoint {
  readonly bornMs: number | null;
  readonly address?: string | null;
}

/** The fields of a listing that a session needs. */
type SessionTarget = Pick<
  Ports.EndpointListing,
  "id" | "address" | "bornMs" | "dataCentre" | "draining"
>;

/**
 * Time without listing and answers, in ms, after which an endpoint may have ended: a
 * running one is listed again about two seconds after an outage.
 */
const GONE_AFTER_MS = 4000;
/**
 * Minimum time between two progress polls of an endpoint, in ms; applies to small
 * fleets.
 */
const MIN_POLL_INTERVAL_MS = 600;
/**
 * Maximum time between two progress polls in a large fleet, in ms: stragglers have to
 * be noticed within seconds.
 */
const MAX_POLL_INTERVAL_MS = 1000;
/** Polls per second above which the interval grows: 250 endpoints once a second. */
const POLLS_PER_SECOND = 250;

/** Sessions by endpoint, for one term. */
export class EndpointSessions {
  readonly #parts: EndpointSessionsOptions;
  readonly #sessions = new Map<string, sessions.EndpointSession>();
  readonly #fibers = new Map<string, Fiber.Fiber<void>>();
  /** Unanswered starts by endpoint; they may be delivered after its session ends. */
  readonly #unansweredStarts = new Map<
    string,
    unansweredStarts.UnansweredStarts
  >();
  readonly #load: loads.BoxLoad;
  readonly #stopRetrySlots = new lateStartStops.StopRetrySlots();
  /** Leases of earlier coordinators and of closed sessions. */
  readonly earlierLeases: earlierLeases.EarlierLeases;
  #hasBegun = false;

  constructor(parts: EndpointSessionsOptions) {
    this.#parts = parts;
    const { ports, term } = parts.options;
    this.#load = new loads.BoxLoad(ports);
    this.earlierLeases = new earlierLeases.EarlierLeases(
      ports,
      term.inheritedLeases,
    );
  }

  /** All sessions, in the order in which they were opened. */
  get all(): Iterable<sessions.EndpointSession> {
    return this.#sessions.values();
  }

  /** The session with an endpoint; undefined where there is none. */
  get(id: string): sessions.EndpointSession | undefined {
    return this.#sessions.get(id);
  }

  /** Whether another endpoint has answered at the endpoint's address in this term. */
  isReplacedAt(ref: Ports.EndpointRef): boolean {
    return this.#parts.listings.othersAt(ref).some((other) => {
      const session = this.#sessions.get(other);
      return session !== undefined && session.hasAnswered &&
        session.ref.address === ref.address;
    });
  }

  /** Delay of this box's own processing, in ms. */
  get delayMs(): number {
    return this.#load.delayMs;
  }

  /** Whether a session with an endpoint was opened in this term. */
  wasOpened(id: string): boolean {
    return this.#sessions.has(id) || this.earlierLeases.hadSession(id);
  }

  /** Ends of the leases at endpoints that do not answer. */
  listLeaseEnds(): readonly leaseHandOver.LeaseEnd[] {
    const { all: sessions, earlierLeases: earlier } = this;
    return leaseHandOver.collectLeaseEnds({ sessions, earlier });
  }

  /** Starts the sessions. */
  begin(): void {
    const { options: { recovery }, listings } = this.#parts;
    this.earlierLeases.begin();
    for (const session of this.#sessions.values()) {
      session.coverLeases(this.earlierLeases.endMs(session.ref.id));
    }
    // Runs that are not read from the records yet have to keep their leases as well.
    if (!recovery.isComplete) {
      for (const { id } of listings.all) this.open(id);
    }
    this.#hasBegun = true;
    for (const session of this.#sessions.values()) this.#run(session);
  }

  /**
   * The session with an endpoint that the records name; null where its incarnation has
   * ended. An endpoint that is no longer listed is contacted at its recorded address.
   */
  open(
    id: string,
    recorded: RecordedEndpoint | null = null,
  ): sessions.EndpointSession | null {
    const existing = this.#sessions.get(id);
    if (existing !== undefined) return existing.isOver ? null : existing;
    const { listings } = this.#parts;
    const listing = listings.get(id);
    if (listing !== undefined) return this.#open(listing);
    const address = recorded?.address ?? null;
    if (recorded === null || address === null) return null;
    listings.noteRecorded({ id, address });
    const { bornMs } = recorded;
    const unlistedDefaults = { dataCentre: "", draining: false };
    return this.#open({ id, address, bornMs, ...unlistedDefaults });
  }

  /**
   * Opens a session at the endpoint's present address and moves the former one's runs
   * to it.
   */
  reopen(former: sessions.EndpointSession): void {
    const session = this.open(former.ref.id);
    if (session !== null && !former.isOver) session.takeOver(former);
    former.close();
  }

  /**
   * Adopts a start that an earlier coordinator revoked. Its endpoint is polled until the
   * start can't be delivered any more. Returns false if the endpoint is not known, so
   * that it can't be polled.
   */
  adoptRevokedStart(
    { endpoint, task, run, expiresInMs }: Ports.RevokedStart,
  ): boolean {
    const { clock } = this.#parts.options.ports;
    const ageMs = unansweredStarts.LONGEST_ORDER_DELAY_MS - expiresInMs;
    const sentAtMs = clock.monotonicMs() - ageMs;
    this.#unansweredStartsOf(endpoint.id).add({ task, run }, sentAtMs);
    const session = this.open(endpoint.id);
    session?.noteUnansweredStart();
    return session !== null;
  }

  /** Closes a session and interrupts its fiber. */
  drop({ ref, leaseEndMs }: sessions.EndpointSession): void {
    const { id } = ref;
    this.#sessions.delete(id);
    this.earlierLeases.noteSessionClosed(id, leaseEndMs);
    this.#parts.listings.noteSessionClosed(ref);
    const fiber = this.#fibers.get(id);
    this.#fibers.delete(id);
    if (fiber !== undefined) Effect.runFork(Fiber.interrupt(fiber));
  }

  /**
   * Closes sessions with endpoints that are unlisted and hold no runs. The session of
   * an ended incarnation stays while its listing does; otherwise the listing would be
   * taken for a new endpoint.
   */
  closeUnlisted(): void {
    const { listings } = this.#parts;
    for (const [id, session] of this.#sessions) {
      if (listings.get(id) !== undefined || !session.isIdle) continue;
      if (session.hasUnreported) {
        if (listings.unlistedForMs(id) >= GONE_AFTER_MS) session.suspectGone();
        if (session.hasAwaitedEnds) continue;
      }
      if (session.isOver || !session.hasUnansweredStarts) this.drop(session);
    }
    for (const [id, { all }] of this.#unansweredStarts) {
      if (all.length === 0 && !this.#sessions.has(id)) {
        this.#unansweredStarts.delete(id);
      }
    }
  }

  /** Interrupts all session fibers and the orders that they retry. */
  close(): Effect.Effect<void> {
    return Effect.suspend(() => {
      for (const session of this.#sessions.values()) session.close();
      return Fiber.interruptAll(this.#fibers.values());
    });
  }

  #open(listing: SessionTarget): sessions.EndpointSession {
    const { options, listings, failureLog } = this.#parts;
    const { id, address, bornMs, dataCentre } = listing;
    const ref = { id, address };
    const session = new sessions.EndpointSession({
      ...options,
      ref,
      listedBornMs: bornMs,
      unansweredStarts: this.#unansweredStartsOf(id),
      lapsesAtMs: this.earlierLeases.endMs(id),
      previousOrdersUntilMs: this.earlierLeases.ordersUntilMs(id),
      load: this.#load,
      stopRetrySlots: this.#stopRetrySlots,
      progressWaitMs: () => this.#pollIntervalMs(),
      failureLog,
      mayHold: (tasks) => this.#mayHold(id, tasks),
      dataCentre,
      isContested: listings.othersAt(ref).length > 0,
      onAnswered: (heard) => this.#endOthersAt(heard),
    });
    session.noteListed(listing);
    this.#sessions.set(id, session);
    if (this.#hasBegun) this.#run(session);
    return session;
  }

  #unansweredStartsOf(id: string): unansweredStarts.UnansweredStarts {
    const existing = this.#unansweredStarts.get(id);
    if (existing !== undefined) return existing;
    const created = new unansweredStarts.UnansweredStarts(
      this.#parts.options.ports.clock,
    );
    this.#unansweredStarts.set(id, created);
    return created;
  }

  #run(session: sessions.EndpointSession): void {
    const { clock, log, metrics } = this.#parts.options.ports;
    const { id } = session.ref;
    const what = `The session with worker ${id}`;
    const run = restart.restartOnDefect(session.run(), {
      what,
      clock,
      log,
      metrics,
    });
    this.#fibers.set(id, Effect.runFork(run));
  }

  /**
   * Ends the sessions with other endpoints at an address that has answered: one address
   * has one incarnation. A listing may name this address for an endpoint whose session
   * is at another address; that session stays.
   */
  #endOthersAt(ref: Ports.EndpointRef): void {
    for (const other of this.#parts.listings.othersAt(ref)) {
      const session = this.#sessions.get(other);
      if (session === undefined || session.isOver) continue;
      if (session.ref.address !== ref.address) continue;
      Effect.runFork(session.noteReplaced());
    }
  }

  /**
   * Whether an endpoint may hold these tasks, by its listing. Without a listing it may:
   * the listing may have lapsed with the store.
   */
  #mayHold(id: string, tasks: readonly Workflow.Task[]): boolean {
    const listing = this.#parts.listings.get(id);
    if (listing === undefined) return true;
    return !listing.draining && Scheduler.fitTogether(tasks, listing);
  }

  /**
   * Interval of progress polls. An overloaded box polls less often; ends of runs are
   * still reported at once, because a poll waits at the endpoint for the next end.
   */
  #pollIntervalMs(): number {
    const count = this.#sessions.size;
    const fleetIntervalMs = count / POLLS_PER_SECOND * 1000;
    const cappedIntervalMs = Math.min(MAX_POLL_INTERVAL_MS, fleetIntervalMs);
    const loadIntervalMs = count * this.#load.pollSpacingMs;
    return Math.max(MIN_POLL_INTERVAL_MS, cappedIntervalMs, loadIntervalMs);
  }
}
