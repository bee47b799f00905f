/** The platform's list of workers, followed, and a session with each of them. */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as loads from "../sessions/box_load.ts";
import * as addresses from "./address_book.ts";
import * as leaseClocks from "../sessions/lease_clock.ts";
import * as restart from "../restart.ts";
import * as listingTimes from "./listing_times.ts";
import * as silences from "./silence_log.ts";
import * as sessions from "../sessions/worker_session.ts";
import * as speeds from "./worker_speeds.ts";

/** What the directory needs; `ref` differs for each session. */
export type DirectoryOptions = Omit<
  sessions.SessionOptions,
  | "ref"
  | "listedBornMs"
  | "lapsesAtMs"
  | "progressWaitMs"
  | "load"
  | "silences"
  | "mayHold"
  | "dataCentre"
  | "isContested"
  | "onHeard"
>;

/**
 * An endpoint that is neither listed nor heard for this time, in ms, may have ended:
 * one that lives is listed again about two seconds after an outage.
 */
const GONE_AFTER_MS = 4000;

/** A look at an address that an entry names may take this long, in ms, as any order. */
const LOOK_LIMIT_MS = 450;

/** Time between two looks at runs that come on, in a small fleet, in ms. */
const LEAST_PROGRESS_WAIT_MS = 600;
/** The same in a large fleet: slow runs have to be noticed within seconds. */
const LONGEST_PROGRESS_WAIT_MS = 1000;
/** Looks in a second before they become rarer: 250 workers once a second. */
const LOOKS_PER_SECOND = 250;

/** Workers by id; one for each term. */
export class WorkerDirectory {
  readonly #options: DirectoryOptions;
  readonly #listings = new Map<string, Ports.WorkerListing>();
  readonly #sessions = new Map<string, sessions.WorkerSession>();
  readonly #fibers = new Map<string, Fiber.Fiber<void>>();
  /** Worker of each row; a removed row shows no more than its key. */
  readonly #idOfRow = new Map<string, string>();
  readonly #addresses = new addresses.AddressBook();
  readonly #load: loads.BoxLoad;
  /** How fast the workers are beside each other. */
  readonly speeds = new speeds.WorkerSpeeds();
  /** When listings came, until when endpoints are cold, when they leave. */
  readonly times: listingTimes.ListingTimes;
  /**
   * Entries of other lives than the ones that answer under their ids: the newer life
   * or a former one, which only the endpoint itself can tell.
   */
  readonly #doubted = new Map<string, Ports.WorkerListing>();
  /** Our time at which the listing of an endpoint went, while it is away. */
  readonly #unlistedAtMs = new Map<string, number>();
  /** Which endpoints have fallen silent or crashed. */
  readonly silences: silences.SilenceLog;
  readonly #foreignLapseMs: number;
  #begun = false;

  constructor(options: DirectoryOptions) {
    this.#options = options;
    const { clock, bounds } = options.ports;
    this.times = new listingTimes.ListingTimes(clock);
    this.#load = new loads.BoxLoad(options.ports);
    this.silences = new silences.SilenceLog({
      clock,
      onExcused: (victims, fellows) =>
        options.listener.crashExcused(victims, fellows),
    });
    this.#foreignLapseMs = leaseClocks.foreignLapseMs(
      clock.monotonicMs(),
      bounds.longestLeaseMs,
    );
  }

  /**
   * Lets the sessions talk to their workers. Before that, all recorded runs have
   * to be adopted: a session stops runs that it does not know.
   */
  begin(): void {
    // Runs that no record names so far have to keep their leases as well.
    if (!this.#options.recovery.isComplete) {
      for (const id of this.#listings.keys()) this.open(id);
    }
    this.#begun = true;
    for (const session of this.#sessions.values()) this.#run(session);
  }

  /** Takes in changes of the list. */
  update(entries: readonly Ports.FeedEntry<Ports.WorkerListing>[]): void {
    for (const { key, value } of entries) {
      if (value === null) {
        this.#unlist(key);
        continue;
      }
      this.#idOfRow.set(key, value.id);
      this.#list(value);
    }
  }

  /** The session with a worker; null where the worker is unknown. */
  session(id: string): sessions.WorkerSession | null {
    return this.#sessions.get(id) ?? null;
  }

  /** All sessions. */
  get sessions(): Iterable<sessions.WorkerSession> {
    return this.#sessions.values();
  }

  /** The listing of a worker; null where it is not listed. */
  listing(id: string): Ports.WorkerListing | null {
    return this.#listings.get(id) ?? null;
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
    recorded: { bornMs: number | null; address?: string | null } | null = null,
  ): sessions.WorkerSession | null {
    const known = this.#sessions.get(id);
    if (known !== undefined) return known.isOver ? null : known;
    const listing = this.#listings.get(id);
    if (listing !== undefined) return this.#open(listing);
    const address = recorded?.address ?? null;
    if (recorded === null || address === null) return null;
    this.#addresses.add(id, address);
    this.#unlistedAtMs.set(id, this.#options.ports.clock.monotonicMs());
    const place = { dataCentre: "", draining: false };
    return this.#open({ id, address, bornMs: recorded.bornMs, ...place });
  }

  /** The workers as a plan sees them. */
  states(): Scheduler.WorkerState[] {
    const { clock, evacuations } = this.#options.ports;
    const nowMs = clock.monotonicMs();
    const mayBeLate = evacuations.mayBeLate;
    const states: Scheduler.WorkerState[] = [];
    for (const listing of this.#listings.values()) {
      const session = this.open(listing.id);
      states.push({
        id: listing.id,
        service: listing.service,
        dataCentre: listing.dataCentre,
        rack: listing.rack,
        labels: new Set(listing.labels),
        total: listing,
        usable: !listing.draining && session !== null && session.isUsable &&
          !session.isOnProbation(nowMs) && !mayBeLate &&
          !evacuations.isEvacuated(listing.dataCentre),
        isDoubted: session?.health.isDoubted(nowMs) ?? false,
        isProven: session?.health.isProven(nowMs) ?? false,
        isCold: this.times.isCold(listing.id),
        hasCrashedLately: this.silences.hasCrashedLately(listing.address),
        speed: this.speeds.of(listing.id),
        occupants: session?.occupants.map(({ task }) => task) ?? [],
      });
    }
    return states;
  }

  /** Accelerators that may be given work: listed, staying, not evacuated. */
  get openAccelerators(): number {
    const { evacuations } = this.#options.ports;
    return [...this.#listings.values()]
      .filter((one) =>
        !one.draining && !evacuations.isEvacuated(one.dataCentre)
      )
      .reduce((sum, { accelerators }) => sum + accelerators, 0);
  }

  /** Runs that endpoints of a data centre hold or may hold. */
  runsIn(dataCentre: string): number {
    return [...this.#sessions.values()]
      .filter((session) => session.dataCentre === dataCentre)
      .reduce((sum, { occupants }) => sum + occupants.length, 0);
  }

  /** How late this box is with its own work, in ms. */
  get lateMs(): number {
    return this.#load.lateMs;
  }

  /**
   * Closes sessions with workers that are not listed and hold nothing. One whose
   * life has ended stays while its entry does, or it would be taken for a new one.
   */
  dropGone(): void {
    const nowMs = this.#options.ports.clock.monotonicMs();
    for (const [id, session] of this.#sessions) {
      if (this.#listings.has(id) || !session.isIdle) continue;
      if (session.hasUnheard) {
        const awayMs = nowMs - (this.#unlistedAtMs.get(id) ?? nowMs);
        if (awayMs >= GONE_AFTER_MS) session.suspectGone();
        if (session.isAwaited) continue;
      }
      this.#drop(session);
    }
  }

  /** Ends all fibers of the sessions. */
  close(): Effect.Effect<void> {
    return Effect.suspend(() => Fiber.interruptAll(this.#fibers.values()));
  }

  /** Another life answers under this id: its own entry takes effect, if it came. */
  lifeBegan(id: string): void {
    this.speeds.forget(id);
    const listing = this.#doubted.get(id);
    if (listing?.bornMs === this.#sessions.get(id)?.bornMs) this.#relist(id);
  }

  #relist(id: string): void {
    const listing = this.#doubted.get(id);
    this.#doubted.delete(id);
    if (listing !== undefined) this.#takeEntry(listing);
  }

  #list(listing: Ports.WorkerListing): void {
    const { id, bornMs } = listing;
    const session = this.#sessions.get(id);
    if (session?.isOver === true && session.isOfOtherLife(bornMs)) {
      this.#drop(session);
    }
    if (!this.#isDoubtful(listing)) return this.#takeEntry(listing);
    this.#doubted.set(id, listing);
    this.#askWhoLives(listing);
  }

  /** Whether an entry is of another life than the one that answers and is listed. */
  #isDoubtful({ id, bornMs }: Ports.WorkerListing): boolean {
    const session = this.#sessions.get(id);
    const listed = this.#listings.get(id);
    if (session === undefined || session.isOver || !session.wasHeard) {
      return false;
    }
    return bornMs !== session.bornMs && listed?.bornMs === session.bornMs;
  }

  /** An entry is a reason to ask, where it says that the endpoint is and was. */
  #askWhoLives(listing: Ports.WorkerListing): void {
    const session = this.#sessions.get(listing.id);
    if (session === undefined) return;
    Effect.runFork(session.ask());
    const hasMoved = session.ref.address !== listing.address;
    if (hasMoved) Effect.runFork(this.#lookAt(listing));
  }

  /** Moves to where a later life says that it is, if that life answers there. */
  #lookAt(listing: Ports.WorkerListing): Effect.Effect<void> {
    const { ports: { workers, clock }, term } = this.#options;
    const { id, bornMs } = listing;
    const look = workers.renew(listing, {
      fencingToken: term.token,
      leaseUntilMs: null,
      recordedEnds: 0,
      recordedBy: null,
      waitMs: 0,
    });
    return clock.within(LOOK_LIMIT_MS, look).pipe(
      Effect.map((timed) => {
        if (timed === null || timed.value.bornMs !== bornMs) return;
        const session = this.#sessions.get(id);
        if (session === undefined) return this.#relist(id);
        this.#drop(session);
        this.#relist(id);
        this.#reopen(session);
        session.retire();
      }),
      // Nobody with this birth answers there: the entry stays in doubt.
      Effect.ignore,
    );
  }

  #takeEntry(listing: Ports.WorkerListing): void {
    const { id, address, draining } = listing;
    const moved = this.#forgetOtherAddress(listing);
    this.#listings.set(id, listing);
    this.#doubted.delete(id);
    this.#addresses.add(id, address);
    this.times.note(listing);
    this.#unlistedAtMs.delete(id);
    const session = this.#sessions.get(id);
    if (session !== undefined) session.dataCentre = listing.dataCentre;
    session?.noteListed(draining);
    if (moved !== null) this.#reopen(moved);
    this.#askOthers(listing);
  }

  /**
   * One address has one life. Which one it is, only the address can tell: an entry
   * outlasts its endpoint by seconds, and another writer may name any address.
   */
  #askOthers({ id, address }: Ports.WorkerListing): void {
    for (const other of this.#addresses.othersAt(address, id)) {
      const session = this.#sessions.get(other);
      if (session !== undefined) Effect.runFork(session.ask());
    }
  }

  /**
   * A life keeps its address: an entry that names another one was wrong, or is.
   * Returns the session at an address where it never answered.
   */
  #forgetOtherAddress(
    { id, address }: Ports.WorkerListing,
  ): sessions.WorkerSession | null {
    const former = this.#listings.get(id)?.address ?? address;
    if (former !== address) this.#addresses.remove(id, former);
    const session = this.#sessions.get(id);
    if (session === undefined || session.ref.address === address) return null;
    if (session.wasHeard && !session.isOver) return null;
    this.#drop(session);
    return session;
  }

  /** What an earlier coordinator left at an endpoint is asked for where it stands. */
  #reopen(former: sessions.WorkerSession): void {
    const session = this.open(former.ref.id);
    if (session === null || former.isOver) return;
    for (const { task } of former.occupants) session.adopt(task);
    for (const run of former.unheard) session.adoptUnheard(run);
  }

  /** One life has answered at its address, so no other one is there. */
  #noteHeard({ id, address }: Ports.WorkerRef): void {
    for (const other of this.#addresses.othersAt(address, id)) {
      const session = this.#sessions.get(other);
      if (session === undefined || session.isOver) continue;
      Effect.runFork(session.noteReplaced());
    }
  }

  #unlist(rowKey: string): void {
    const id = this.#idOfRow.get(rowKey);
    if (id === undefined) return;
    this.#idOfRow.delete(rowKey);
    const listing = this.#listings.get(id);
    this.#listings.delete(id);
    this.#doubted.delete(id);
    const session = this.#sessions.get(id);
    // A session keeps its own address in the book until it is dropped.
    if (listing !== undefined && session?.ref.address !== listing.address) {
      this.#addresses.remove(id, listing.address);
    }
    if (session !== undefined) {
      session.noteUnlisted();
      this.#unlistedAtMs.set(id, this.#options.ports.clock.monotonicMs());
    }
    this.times.forget(id);
    this.speeds.forget(id);
  }

  /** An endpoint whose listing lapsed with the store keeps its last word. */
  #mayHold(id: string, tasks: readonly Workflow.Task[]): boolean {
    const listing = this.#listings.get(id);
    if (listing === undefined) return true;
    return !listing.draining && Scheduler.fitTogether(tasks, listing);
  }

  #open(
    listing: Pick<
      Ports.WorkerListing,
      "id" | "address" | "bornMs" | "dataCentre" | "draining"
    >,
  ): sessions.WorkerSession {
    const { id, address, bornMs, dataCentre } = listing;
    const session = new sessions.WorkerSession({
      ...this.#options,
      ref: { id, address },
      listedBornMs: bornMs,
      lapsesAtMs: this.#foreignLapseMs,
      load: this.#load,
      progressWaitMs: () => this.#progressWaitMs(),
      silences: this.silences,
      mayHold: (tasks) => this.#mayHold(id, tasks),
      dataCentre,
      isContested: this.#addresses.othersAt(address, id).length > 0,
      onHeard: (ref) => this.#noteHeard(ref),
    });
    session.noteListed(listing.draining);
    this.#sessions.set(id, session);
    if (this.#begun) this.#run(session);
    return session;
  }

  /**
   * A box that is late leaves longer times between its looks: an end is told at
   * once all the same, because a look waits for it at the endpoint.
   */
  #progressWaitMs(): number {
    const count = this.#sessions.size;
    const fairMs = count / LOOKS_PER_SECOND * 1000;
    const usualMs = Math.min(LONGEST_PROGRESS_WAIT_MS, fairMs);
    const bearableMs = count * this.#load.spacingMs;
    return Math.max(LEAST_PROGRESS_WAIT_MS, usualMs, bearableMs);
  }

  #run(session: sessions.WorkerSession): void {
    const { clock, log, metrics } = this.#options.ports;
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

  #drop({ ref: { id, address } }: sessions.WorkerSession): void {
    this.#sessions.delete(id);
    this.#unlistedAtMs.delete(id);
    if (!this.#listings.has(id)) this.#addresses.remove(id, address);
    const fiber = this.#fibers.get(id);
    this.#fibers.delete(id);
    if (fiber !== undefined) Effect.runFork(Fiber.interrupt(fiber));
  }
}
