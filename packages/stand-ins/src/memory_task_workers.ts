/**
 * Workers in memory that run tasks of workflows under a lease and a fencing
 * token. A task takes the time that its test gives; members of a gang work from
 * the moment all are there and end together.
 */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as books from "./life_book.ts";
import * as connections from "./open_connections.ts";
import * as carriers from "./order_carrier.ts";
import * as fates from "./order_fate.ts";
import * as orderWays from "./order_ways.ts";
import * as runEnds from "./run_ends.ts";
import type * as runNotes from "./run_note.ts";
import * as lives from "./worker_life.ts";

/** How long a task runs and how it ends. */
export interface TaskBehaviour {
  readonly runMs: number;
  readonly fails: boolean;
  /**
   * The run ends its endpoint this long after its start, in ms; 0: before the
   * start is answered. Left out: it does not.
   */
  readonly crashesAfterMs?: number;
}

/** Time between two looks of an endpoint for an end that a look waits for, in ms. */
const STEP_MS = 50;

/** All workers of a test. */
export class MemoryTaskWorkers extends Ports.TaskEndpoints {
  readonly #clock: Ports.Clock;
  readonly #lives = new books.LifeBook();
  /** Connections to each of them. */
  readonly #connections = new Map<string, connections.OpenConnections>();
  readonly #ends: runEnds.RunEnds;
  readonly #carrier: carriers.OrderCarrier;
  /** Every run that was started. */
  readonly runs: runNotes.TaskRunNote[] = [];
  /** What orders meet at the address of a life that has ended. */
  atDeadAddress = fates.DeadAddress.Answers;
  /** Time that each order takes on its way, in ms; 0: it is answered at once. */
  wayMs = 0;
  /** Ways that take drawn times and whose connections may be reset. */
  readonly ways: orderWays.OrderWays;
  /** Whether a start for which there is no room is refused. */
  guardsRoom = true;
  /** How long a run takes to end after a stop was answered, in ms. */
  stopTakesMs: (task: string) => number = () => 0;
  /** How long after the first end of its gang a member ends, in ms. */
  gangFollowsMs: (task: string) => number = () => 0;
  /** Told of each life that crashes; tests let another one begin. */
  onCrash: (spec: lives.TaskWorkerSpec) => void = () => {};
  /** Behaviour of a task; tests may replace it. */
  behave: (task: string, worker: string) => TaskBehaviour = () => ({
    runMs: 1000,
    fails: false,
  });
  /** When a life that begins now says that it began; null: it never tells. */
  birthOf: () => number | null = () => this.#clock.wallMs();
  /** What becomes of an order; tests may replace it. */
  carry: (worker: string, order: fates.OrderKind) => fates.OrderFate = () =>
    fates.OrderFate.Carried;

  constructor(clock: Ports.Clock, specs: readonly lives.TaskWorkerSpec[]) {
    super();
    this.#clock = clock;
    const parts = { clock, lives: this.#lives };
    this.#ends = new runEnds.RunEnds({ ...parts, times: this });
    this.#carrier = new carriers.OrderCarrier({
      ...parts,
      rules: this,
      advance: (life) => this.#ends.advance(life),
    });
    this.ways = new orderWays.OrderWays(clock, (id) => this.#lives.get(id));
    for (const spec of specs) this.#lives.begin(this.#createLife(spec));
  }

  override start(worker: Ports.EndpointRef, order: Ports.StartOrder) {
    const work = (life: lives.WorkerLife) => this.#takeStart(life, order);
    const start = this.#carrier.carry({ worker, kind: "start", work });
    return this.#overConnection(worker, start);
  }

  override stop(
    worker: Ports.EndpointRef,
    order: Ports.RunRef & { readonly fencingToken: number },
  ) {
    const work = (life: lives.WorkerLife) => {
      lives.checkToken(life, order.fencingToken);
      lives.noteOver(life, order);
      const held = life.held.get(lives.keyOf(order));
      if (held !== undefined) this.#ends.stop(life, held);
      return this.#clock.monotonicMs();
    };
    const stop = this.#carrier.carry({ worker, kind: "stop", work });
    return this.#overConnection(worker, stop);
  }

  override renew(worker: Ports.EndpointRef, order: Ports.RenewOrder) {
    const work = (life: lives.WorkerLife) => this.#takeLook(life, order);
    const look = this.#carrier.carry({ worker, kind: "renew", work });
    const whole = Effect.gen({ self: this }, function* () {
      const way = this.#connectionsTo(worker.id).begin();
      if (way.isSilent) return yield* Effect.never;
      const untilMs = this.#clock.monotonicMs() + order.waitMs;
      for (;;) {
        const view = yield* look;
        if (!way.answers()) return yield* Effect.never;
        const nowMs = this.#clock.monotonicMs();
        if (view.ended.length > 0 || nowMs >= untilMs) return view;
        yield* this.#clock.sleep(STEP_MS);
      }
    });
    return this.ways.carry(worker.id, whole);
  }

  /** All open connections turn silent; new ones work. */
  silenceOpen(): void {
    for (const id of this.listLives()) this.#connectionsTo(id).silence();
  }

  /** Lets everything happen that time has brought, also where nobody asked. */
  settle(): void {
    for (const life of this.#lives.all) this.#ends.advance(life);
  }

  /** Ends whatever runs of a task, as endpoints do for reasons of their own. */
  endNow(task: string, how: Ports.EndKind): void {
    this.#ends.endNow(task, how);
  }

  /** These tasks are a gang: the runs of one number end together. */
  addGang(tasks: readonly string[]): void {
    this.#ends.addGang(tasks);
  }

  /** Returns all tasks of the task's gang, or only the task if it is in no gang. */
  gangOf(task: string): readonly string[] {
    return this.#ends.gangOf(task);
  }

  /** Accelerators of all that live. */
  get acceleratorsAlive(): number {
    return this.#lives.all
      .reduce((sum, { spec }) => sum + spec.accelerators, 0);
  }

  /** Ids of all that live. */
  listLives(): string[] {
    return this.#lives.all.map(({ spec }) => spec.id);
  }

  /** A life ends with all that runs there; nobody is told. */
  crash(id: string): void {
    const life = this.#lives.get(id);
    if (life === undefined) return;
    this.#ends.advance(life);
    this.#lives.end(id);
    this.#ends.crash(life);
    this.onCrash(life.spec);
  }

  /** A new life begins, empty, where another one has ended. */
  replace(former: string, spec: lives.TaskWorkerSpec): void {
    this.#lives.replace(former, this.#createLife(spec));
  }

  /** A new life begins, empty, under the id of one that has ended. */
  beginAgain(spec: lives.TaskWorkerSpec): void {
    this.#lives.begin(this.#createLife(spec));
  }

  /** When a life began, as it tells; null: it does not live, or tells nothing. */
  bornMs(id: string): number | null {
    return this.#lives.get(id)?.bornMs ?? null;
  }

  /** Says which life listens at an address; orders to others find it there. */
  livesAt(address: string, id: string): void {
    this.#lives.livesAt(address, id);
  }

  /** Nobody listens at an address any more. */
  vacate(address: string): void {
    this.#lives.vacate(address);
  }

  /** Runs of a task, in order. */
  runsOf(task: string): runNotes.TaskRunNote[] {
    return this.runs.filter((note) => note.task === task);
  }

  #createLife(spec: lives.TaskWorkerSpec): lives.WorkerLife {
    return lives.createLife(spec, this.birthOf());
  }

  /** An order that is answered at once, over a connection that may be silent. */
  #overConnection<A>(
    worker: Ports.EndpointRef,
    order: Effect.Effect<A, Ports.OrderError>,
  ): Effect.Effect<A, Ports.OrderError> {
    return Effect.suspend(() => {
      const way = this.#connectionsTo(worker.id).begin();
      if (way.isSilent) return Effect.never;
      return this.ways.carry(worker.id, order);
    });
  }

  #connectionsTo(id: string): connections.OpenConnections {
    const known = this.#connections.get(id);
    if (known !== undefined) return known;
    const made = new connections.OpenConnections(this.#clock);
    this.#connections.set(id, made);
    return made;
  }

  #takeStart(life: lives.WorkerLife, order: Ports.StartOrder): number {
    const { StaleRun, LeaseExpired, NoCapacity } = Errors.OrderRefusal;
    const { spec: { id, accelerators }, held } = life;
    const nowMs = this.#clock.monotonicMs();
    lives.checkToken(life, order.fencingToken);
    if (held.has(lives.keyOf(order))) return nowMs;
    if (order.run <= (life.over.get(order.task) ?? 0)) {
      throw lives.refuse(id, StaleRun);
    }
    life.leaseUntilMs = Math.max(life.leaseUntilMs, order.leaseUntilMs);
    if (life.leaseUntilMs < nowMs) throw lives.refuse(id, LeaseExpired);
    if (this.guardsRoom && held.size >= accelerators) {
      throw lives.refuse(id, NoCapacity);
    }
    this.#begin(life, order);
    return nowMs;
  }

  #takeLook(life: lives.WorkerLife, order: Ports.RenewOrder) {
    const nowMs = this.#clock.monotonicMs();
    lives.checkToken(life, order.fencingToken);
    life.leaseUntilMs = Math.max(life.leaseUntilMs, order.leaseUntilMs ?? 0);
    const isOfThisLife = order.recordedBy === life.bornMs;
    const toldEnds = isOfThisLife ? order.recordedEnds : 0;
    lives.acknowledge(life, toldEnds, nowMs);
    return lives.viewOf(life, toldEnds, nowMs);
  }

  #begin(life: lives.WorkerLife, { task, run }: Ports.StartOrder): void {
    const { id: worker } = life.spec;
    const nowMs = this.#clock.monotonicMs();
    const { runMs, fails, crashesAfterMs } = this.behave(task, worker);
    const { isCarriedLate } = this.#carrier;
    const note: runNotes.TaskRunNote = {
      task,
      run,
      worker,
      startedAtMs: nowMs,
      endedAtMs: null,
      how: null,
      acknowledgedAtMs: null,
      hasLapsedMeanwhile: false,
      wasLate: isCarriedLate,
      wasUncalled: isCarriedLate && !life.wasCalled,
    };
    this.runs.push(note);
    const endsAtMs = nowMs + runMs;
    life.held.set(lives.keyOf(note), { note, endsAtMs, fails, coming: null });
    if (crashesAfterMs !== undefined) {
      this.#crashAfter(life, note, crashesAfterMs);
    }
  }

  #crashAfter(
    life: lives.WorkerLife,
    note: runNotes.TaskRunNote,
    afterMs: number,
  ): void {
    const { id } = life.spec;
    if (afterMs === 0) return this.crash(id);
    const crash = Effect.sync(() => {
      this.#ends.advance(life);
      if (note.endedAtMs === null) this.crash(id);
    });
    Effect.runFork(Effect.andThen(this.#clock.sleep(afterMs), crash));
  }
}
