/**
 * In-memory endpoints that run tasks of workflows under a lease and a fencing token.
 * The test sets the run time of each task; the runs of a gang's members end together.
 */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as registries from "./incarnation_registry.ts";
import * as connections from "./open_connections.ts";
import * as deliveries from "./order_delivery.ts";
import * as outcomes from "./order_outcome.ts";
import * as transits from "./order_transit.ts";
import * as runEnds from "./run_ends.ts";
import type * as runRecords from "./run_record.ts";
import * as incarnations from "./incarnation.ts";

/** How long a task runs and how it ends. */
export interface TaskBehaviour {
  readonly runMs: number;
  readonly fails: boolean;
  /**
   * Time from the start of the run to the crash of its endpoint, in ms; with 0, it
   * crashes before the start is answered. Without a value, it does not crash.
   */
  readonly crashesAfterMs?: number;
}

/** Interval at which a waiting poll checks an endpoint for ended runs, in ms. */
const POLL_STEP_MS = 50;

/** All endpoints of a test. */
export class MemoryTaskEndpoints extends Ports.TaskEndpoints {
  readonly #clock: Ports.Clock;
  readonly #registry = new registries.IncarnationRegistry();
  /** Connections to each endpoint, by id. */
  readonly #connections = new Map<string, connections.OpenConnections>();
  readonly #ends: runEnds.RunEnds;
  readonly #delivery: deliveries.OrderDelivery;
  /** All runs in the order of their starts. */
  readonly runs: runRecords.TaskRunRecord[] = [];
  /** Outcome of orders to the address of an ended incarnation. */
  atDeadAddress = outcomes.DeadAddressOutcome.Answers;
  /** Transit time of each order, in ms; with 0, it is answered at once. */
  transitMs = 0;
  /** Transit time of a late order, in ms. */
  lateMs = 2500;
  /** Transit of orders with variable times and connections that can be reset. */
  readonly transit: transits.OrderTransit;
  /** Whether an endpoint refuses starts beyond its accelerators. */
  enforcesCapacity = true;
  /** Time from the answer to a stop to the end of the run, in ms. */
  stopDelayMs: (task: string) => number = () => 0;
  /** Time from the first end in a gang to that of another member, in ms. */
  gangEndDelayMs: (task: string) => number = () => 0;
  /** Called after each crash; tests may start another incarnation. */
  onCrash: (spec: incarnations.TaskEndpointSpec) => void = () => {};
  /** Behaviour of a task on an endpoint; tests may replace it. */
  behave: (task: string, endpoint: string) => TaskBehaviour = () => ({
    runMs: 1000,
    fails: false,
  });
  /** Birth time that a new incarnation reports, in ms; null if it reports none. */
  createBirthMs: () => number | null = () => this.#clock.wallMs();
  /**
   * Difference between the steady clock of a new incarnation and that of the test, in
   * ms: the clock of an endpoint may go on after a restart or begin anew.
   */
  createClockOffsetMs: () => number = () => 0;
  /** Time to which an endpoint cuts a longer lease, in ms. */
  longestLeaseMs = Number.POSITIVE_INFINITY;
  /** Decides the outcome of an order; tests may replace it. */
  decideOutcome: (
    endpoint: string,
    order: outcomes.OrderKind,
  ) => outcomes.OrderOutcome = () => outcomes.OrderOutcome.Delivered;

  constructor(
    clock: Ports.Clock,
    specs: readonly incarnations.TaskEndpointSpec[],
  ) {
    super();
    this.#clock = clock;
    const parts = { clock, registry: this.#registry };
    this.#ends = new runEnds.RunEnds({ ...parts, times: this });
    this.#delivery = new deliveries.OrderDelivery({
      ...parts,
      rules: this,
      advance: (incarnation) => this.#ends.advance(incarnation),
    });
    this.transit = new transits.OrderTransit(
      clock,
      (id) => this.#registry.get(id),
    );
    for (const spec of specs) this.#registry.add(this.#createIncarnation(spec));
  }

  override start(endpoint: Ports.EndpointRef, order: Ports.StartOrder) {
    const work = (incarnation: incarnations.Incarnation) =>
      this.#handleStart(incarnation, order);
    const start = this.#delivery.deliver({ endpoint, kind: "start", work });
    return this.#viaConnection(endpoint, start);
  }

  override stop(
    endpoint: Ports.EndpointRef,
    order: Ports.RunRef & { readonly fencingToken: number },
  ) {
    const work = (incarnation: incarnations.Incarnation) => {
      incarnations.checkToken(incarnation, order.fencingToken);
      incarnations.markOver(incarnation, order);
      const held = incarnation.held.get(incarnations.keyOf(order));
      if (held !== undefined) this.#ends.stop(incarnation, held);
      return incarnations.readClock(incarnation, this.#clock.monotonicMs());
    };
    const stop = this.#delivery.deliver({ endpoint, kind: "stop", work });
    return this.#viaConnection(endpoint, stop);
  }

  override renew(endpoint: Ports.EndpointRef, order: Ports.RenewOrder) {
    const work = (incarnation: incarnations.Incarnation) =>
      this.#handleRenew(incarnation, order);
    const request = this.#delivery.deliver({ endpoint, kind: "renew", work });
    const longPoll = Effect.gen({ self: this }, function* () {
      const connection = this.#connectionsTo(endpoint.id).begin();
      if (connection.isSilent) return yield* Effect.never;
      const untilMs = this.#clock.monotonicMs() + order.waitMs;
      for (;;) {
        const view = yield* request;
        if (!connection.canBeAnswered()) return yield* Effect.never;
        const nowMs = this.#clock.monotonicMs();
        if (view.ended.length > 0 || nowMs >= untilMs) return view;
        yield* this.#clock.sleep(POLL_STEP_MS);
      }
    });
    return this.transit.carry(endpoint.id, longPoll);
  }

  /** Makes all open connections silent; new ones work. */
  silenceConnections(): void {
    for (const id of this.listRunning()) this.#connectionsTo(id).silence();
  }

  /** Updates all endpoints to the current time, including those that get no orders. */
  update(): void {
    for (const host of this.#registry.all) this.#ends.advance(host);
  }

  /** Ends the runs of a task now, as an endpoint does without an order. */
  endNow(task: string, how: Ports.EndKind): void {
    this.#ends.endNow(task, how);
  }

  /** Registers a gang, whose runs of the same number end together. */
  addGang(tasks: readonly string[]): void {
    this.#ends.addGang(tasks);
  }

  /** Returns all tasks of the task's gang, or only the task if it is in no gang. */
  gangOf(task: string): readonly string[] {
    return this.#ends.gangOf(task);
  }

  /** Specifications of all running endpoints. */
  get running(): readonly incarnations.TaskEndpointSpec[] {
    return this.#registry.all.map(({ spec }) => spec);
  }

  /** Returns the ids of all running endpoints. */
  listRunning(): string[] {
    return this.running.map(({ id }) => id);
  }

  /** Crashes an endpoint with all of its runs, without any notification of boxes. */
  crash(id: string): void {
    const incarnation = this.#registry.get(id);
    if (incarnation === undefined) return;
    this.#ends.advance(incarnation);
    this.#registry.remove(id);
    this.#ends.crash(incarnation);
    this.onCrash(incarnation.spec);
  }

  /** Starts an empty incarnation under a new id in place of an ended one. */
  replace(earlier: string, spec: incarnations.TaskEndpointSpec): void {
    this.#registry.replace(earlier, this.#createIncarnation(spec));
  }

  /** Starts an empty incarnation under the id of an ended one. */
  restart(spec: incarnations.TaskEndpointSpec): void {
    this.#registry.add(this.#createIncarnation(spec));
  }

  /** Reported birth time of an endpoint, in ms; null if it is down or reports none. */
  bornMs(id: string): number | null {
    return this.#registry.get(id)?.bornMs ?? null;
  }

  /** Sets the listener of an address, which then also gets orders to other ids. */
  setListener(address: string, id: string): void {
    this.#registry.setListener(address, id);
  }

  /** Removes the listener of an address. */
  removeListener(address: string): void {
    this.#registry.removeListener(address);
  }

  /** Returns the runs of a task in the order of their starts. */
  runsOf(task: string): runRecords.TaskRunRecord[] {
    return this.runs.filter((record) => record.task === task);
  }

  #createIncarnation(
    spec: incarnations.TaskEndpointSpec,
  ): incarnations.Incarnation {
    return incarnations.createIncarnation({
      spec,
      bornMs: this.createBirthMs(),
      clockOffsetMs: this.createClockOffsetMs(),
    });
  }

  /**
   * Sends an order without waiting at the endpoint, over a connection that may be
   * silent.
   */
  #viaConnection<A>(
    endpoint: Ports.EndpointRef,
    order: Effect.Effect<A, Ports.OrderError>,
  ): Effect.Effect<A, Ports.OrderError> {
    return Effect.suspend(() => {
      const connection = this.#connectionsTo(endpoint.id).begin();
      if (connection.isSilent) return Effect.never;
      return this.transit.carry(endpoint.id, order);
    });
  }

  #connectionsTo(id: string): connections.OpenConnections {
    const existing = this.#connections.get(id);
    if (existing !== undefined) return existing;
    const created = new connections.OpenConnections(this.#clock);
    this.#connections.set(id, created);
    return created;
  }

  #handleStart(
    incarnation: incarnations.Incarnation,
    order: Ports.StartOrder,
  ): number {
    const { StaleRun, LeaseExpired: Late, NoCapacity } = Errors.OrderRefusal;
    const { spec: { id, accelerators }, held } = incarnation;
    const nowMs = this.#clock.monotonicMs();
    const clockMs = incarnations.readClock(incarnation, nowMs);
    incarnations.checkToken(incarnation, order.fencingToken);
    if (held.has(incarnations.keyOf(order))) return clockMs;
    if (order.run <= (incarnation.lastOverRun.get(order.task) ?? 0)) {
      throw incarnations.refuse(id, StaleRun);
    }
    incarnations.extendLease(incarnation, order.leaseUntilMs, {
      nowMs,
      longestLeaseMs: this.longestLeaseMs,
    });
    if (incarnation.leaseUntilMs < nowMs) throw incarnations.refuse(id, Late);
    if (this.enforcesCapacity && held.size >= accelerators) {
      throw incarnations.refuse(id, NoCapacity);
    }
    this.#begin(incarnation, order);
    return clockMs;
  }

  #handleRenew(incarnation: incarnations.Incarnation, order: Ports.RenewOrder) {
    const nowMs = this.#clock.monotonicMs();
    incarnations.checkToken(incarnation, order.fencingToken);
    if (order.leaseUntilMs !== null) {
      incarnations.extendLease(incarnation, order.leaseUntilMs, {
        nowMs,
        longestLeaseMs: this.longestLeaseMs,
      });
    }
    const isSameIncarnation = order.recordedBy === incarnation.bornMs;
    const acknowledgedEnds = isSameIncarnation ? order.recordedEnds : 0;
    incarnations.acknowledge(incarnation, acknowledgedEnds, nowMs);
    return incarnations.createView(incarnation, acknowledgedEnds, nowMs);
  }

  #begin(
    incarnation: incarnations.Incarnation,
    { task, run }: Ports.StartOrder,
  ): void {
    const { id: worker } = incarnation.spec;
    const nowMs = this.#clock.monotonicMs();
    const { runMs, fails, crashesAfterMs } = this.behave(task, worker);
    const { isExecutingLate } = this.#delivery;
    const record: runRecords.TaskRunRecord = {
      task,
      run,
      worker,
      startedAtMs: nowMs,
      endedAtMs: null,
      how: null,
      acknowledgedAtMs: null,
      wasLeaseExpired: false,
      wasLate: isExecutingLate,
      wasLateFirstCall: isExecutingLate && !incarnation.hasAnswered,
    };
    this.runs.push(record);
    const endsAtMs = nowMs + runMs;
    incarnation.held.set(incarnations.keyOf(record), {
      record,
      endsAtMs,
      fails,
      ending: null,
    });
    if (crashesAfterMs !== undefined) {
      this.#crashAfter(incarnation, record, crashesAfterMs);
    }
  }

  #crashAfter(
    incarnation: incarnations.Incarnation,
    record: runRecords.TaskRunRecord,
    afterMs: number,
  ): void {
    const { id } = incarnation.spec;
    if (afterMs === 0) return this.crash(id);
    const crash = Effect.sync(() => {
      this.#ends.advance(incarnation);
      if (record.endedAtMs === null) this.crash(id);
    });
    Effect.runFork(Effect.andThen(this.#clock.sleep(afterMs), crash));
  }
}
