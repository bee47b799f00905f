/** A session with each endpoint that is listed or named by the records. */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as restart from "../restart.ts";
import * as loads from "../sessions/box_load.ts";
import * as leaseClocks from "../sessions/lease_clock.ts";
import * as looses from "../sessions/loose_starts.ts";
import * as sessions from "../sessions/endpoint_session.ts";
import type * as directoryOptions from "./directory_options.ts";
import type * as listingBooks from "./listing_book.ts";
import type * as silences from "./silence_log.ts";

/** What the sessions work with. */
export interface EndpointSessionsOptions {
  readonly options: directoryOptions.DirectoryOptions;
  readonly listings: listingBooks.AcceptedListings;
  readonly silences: silences.SilenceLog;
}

/** Where the records say that an endpoint was, in which life. */
export interface RecordedPlace {
  readonly bornMs: number | null;
  readonly address?: string | null;
}

/** What a session has to know of an endpoint. */
type SessionTarget = Pick<
  Ports.EndpointListing,
  "id" | "address" | "bornMs" | "dataCentre" | "draining"
>;

/**
 * An endpoint that is neither listed nor heard for this time, in ms, may have ended:
 * one that lives is listed again about two seconds after an outage.
 */
const GONE_AFTER_MS = 4000;
/** Time between two looks at runs that come on, in a small fleet, in ms. */
const MIN_POLL_INTERVAL_MS = 600;
/** The same in a large fleet: slow runs have to be noticed within seconds. */
const MAX_POLL_INTERVAL_MS = 1000;
/** Looks in a second before they become rarer: 250 workers once a second. */
const POLLS_PER_SECOND = 250;

/** Sessions by endpoint; one for each term. */
export class EndpointSessions {
  readonly #parts: EndpointSessionsOptions;
  readonly #sessions = new Map<string, sessions.EndpointSession>();
  readonly #fibers = new Map<string, Fiber.Fiber<void>>();
  /** Unanswered starts by endpoint; they may be delivered after its session ends. */
  readonly #looseStarts = new Map<string, looses.LooseStarts>();
  readonly #load: loads.BoxLoad;
  /** Our time by which leases of earlier coordinators have run out. */
  #earlierLeaseExpiryMs: number;
  #hasBegun = false;

  constructor(parts: EndpointSessionsOptions) {
    this.#parts = parts;
    const { ports, ports: { clock, bounds } } = parts.options;
    this.#load = new loads.BoxLoad(ports);
    this.#earlierLeaseExpiryMs = leaseClocks.foreignLapseMs(
      clock.monotonicMs(),
      bounds.longestLeaseMs,
    );
  }

  /** All sessions. */
  get all(): Iterable<sessions.EndpointSession> {
    return this.#sessions.values();
  }

  /** The session with an endpoint; undefined where there is none. */
  get(id: string): sessions.EndpointSession | undefined {
    return this.#sessions.get(id);
  }

  /** How late this box is with its own work, in ms. */
  get lateMs(): number {
    return this.#load.lateMs;
  }

  /**
   * Lets the sessions talk to their endpoints. Until now, the former coordinator may
   * have renewed leases: no endpoint knew of this term.
   */
  begin(): void {
    const { options: { recovery, ports: { clock, bounds } }, listings } =
      this.#parts;
    this.#earlierLeaseExpiryMs = leaseClocks.foreignLapseMs(
      clock.monotonicMs(),
      bounds.longestLeaseMs,
    );
    for (const session of this.#sessions.values()) {
      session.coverLeases(this.#earlierLeaseExpiryMs);
    }
    // Runs that no record names so far have to keep their leases as well.
    if (!recovery.isComplete) {
      for (const { id } of listings.all) this.open(id);
    }
    this.#hasBegun = true;
    for (const session of this.#sessions.values()) this.#run(session);
  }

  /**
   * The session with an endpoint that the records name; null where it has ended. One
   * that is not listed any more is asked where the records say that it was.
   */
  open(
    id: string,
    recorded: RecordedPlace | null = null,
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

  /** What may be at an endpoint is asked for where it stands. */
  reopen(former: sessions.EndpointSession): void {
    const session = this.open(former.ref.id);
    if (session !== null && !former.isOver) session.takeOver(former);
    former.retire();
  }

  /** Closes a session. */
  drop({ ref }: sessions.EndpointSession): void {
    const { id } = ref;
    this.#sessions.delete(id);
    this.#parts.listings.noteSessionClosed(ref);
    const fiber = this.#fibers.get(id);
    this.#fibers.delete(id);
    if (fiber !== undefined) Effect.runFork(Fiber.interrupt(fiber));
  }

  /**
   * Closes sessions with endpoints that are not listed and hold nothing. One whose
   * life has ended stays while its entry does, or it would be taken for a new one.
   */
  closeUnlisted(): void {
    const { listings } = this.#parts;
    for (const [id, session] of this.#sessions) {
      if (listings.get(id) !== undefined || !session.isIdle) continue;
      if (session.hasUnheard) {
        if (listings.unlistedForMs(id) >= GONE_AFTER_MS) session.suspectGone();
        if (session.isAwaited) continue;
      }
      if (session.isOver || !session.hasLooseStarts) this.drop(session);
    }
    for (const [id, { all }] of this.#looseStarts) {
      if (all.length === 0 && !this.#sessions.has(id)) {
        this.#looseStarts.delete(id);
      }
    }
  }

  /** Ends all fibers of the sessions, and the orders that they repeat. */
  close(): Effect.Effect<void> {
    return Effect.suspend(() => {
      for (const session of this.#sessions.values()) session.retire();
      return Fiber.interruptAll(this.#fibers.values());
    });
  }

  #open(listing: SessionTarget): sessions.EndpointSession {
    const { options, listings, silences } = this.#parts;
    const { id, address, bornMs, dataCentre } = listing;
    const ref = { id, address };
    const session = new sessions.EndpointSession({
      ...options,
      ref,
      listedBornMs: bornMs,
      loose: this.#looseStartsOf(id),
      lapsesAtMs: this.#earlierLeaseExpiryMs,
      load: this.#load,
      progressWaitMs: () => this.#pollIntervalMs(),
      silences,
      mayHold: (tasks) => this.#mayHold(id, tasks),
      dataCentre,
      isContested: listings.othersAt(ref).length > 0,
      onHeard: (heard) => this.#endOthersAt(heard),
    });
    session.noteListed(listing);
    this.#sessions.set(id, session);
    if (this.#hasBegun) this.#run(session);
    return session;
  }

  #looseStartsOf(id: string): looses.LooseStarts {
    const existing = this.#looseStarts.get(id);
    if (existing !== undefined) return existing;
    const created = new looses.LooseStarts(this.#parts.options.ports.clock);
    this.#looseStarts.set(id, created);
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
   * One life has answered at its address, so no other one is there. That ends those
   * that are called there: an entry may name the address for one that stands elsewhere.
   */
  #endOthersAt(ref: Ports.EndpointRef): void {
    for (const other of this.#parts.listings.othersAt(ref)) {
      const session = this.#sessions.get(other);
      if (session === undefined || session.isOver) continue;
      if (session.ref.address !== ref.address) continue;
      Effect.runFork(session.noteReplaced());
    }
  }

  /** An endpoint whose listing lapsed with the store keeps its last word. */
  #mayHold(id: string, tasks: readonly Workflow.Task[]): boolean {
    const listing = this.#parts.listings.get(id);
    if (listing === undefined) return true;
    return !listing.draining && Scheduler.fitTogether(tasks, listing);
  }

  /**
   * A box that is late leaves longer times between its looks: an end is told at
   * once all the same, because a look waits for it at the endpoint.
   */
  #pollIntervalMs(): number {
    const count = this.#sessions.size;
    const fleetIntervalMs = count / POLLS_PER_SECOND * 1000;
    const cappedIntervalMs = Math.min(MAX_POLL_INTERVAL_MS, fleetIntervalMs);
    const loadIntervalMs = count * this.#load.spacingMs;
    return Math.max(MIN_POLL_INTERVAL_MS, cappedIntervalMs, loadIntervalMs);
  }
}
