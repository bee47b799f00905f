/**
 * Workers in memory that run tasks of workflows under a lease and a fencing
 * token. A task takes the time that its test gives; members of a gang work from
 * the moment all are there and end together.
 */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as heldTasks from "./held_task.ts";
import * as connections from "./open_connections.ts";
import * as orderWays from "./order_ways.ts";
import type * as runNotes from "./run_note.ts";

/** A worker of the stand-in. */
export interface TaskWorkerSpec {
  readonly id: string;
  readonly accelerators: number;
}

/** What becomes of an order on its way. */
export enum OrderFate {
  Carried = "carried",
  /** It never arrives. */
  Lost = "lost",
  /** It is carried out, and its answer is lost. */
  AnswerLost = "answer-lost",
  /** It gets no answer and is carried out seconds later. */
  Late = "late",
  /** It arrives, and nothing ever comes back. */
  Silent = "silent",
  /** It is refused for want of room. */
  NoRoom = "no-room",
}

/** What orders meet at an address whose life has ended. */
export enum DeadAddress {
  /** Nobody listens until another life is there, which then says so. */
  Answers = "answers",
  /** Connections are cut off, also after another life is there. */
  Resets = "resets",
  /** Nothing comes back until another life is there, which then says so. */
  Silent = "silent",
}

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

interface WorkerLife {
  readonly spec: TaskWorkerSpec;
  /** What its answers and entries tell; null: they tell none. */
  readonly bornMs: number | null;
  token: number;
  /** Whether it has answered a coordinator. */
  wasCalled: boolean;
  leaseUntilMs: number;
  /** When a lease ran out last. */
  lapsedAtMs: number;
  nextEnd: number;
  /** By task and run: the next run may come while a former one still ends. */
  readonly held: Map<string, heldTasks.HeldTask>;
  readonly ended: { number: number; note: runNotes.TaskRunNote }[];
  /** Highest run stopped or ended, by task. */
  readonly over: Map<string, number>;
}

const LATE_MS = 2500;
/** Stands for the id of a life where nobody listens. */
const NOBODY = "";

/** All workers of a test. */
export class MemoryTaskWorkers extends Ports.TaskWorkers {
  readonly #clock: Ports.Clock;
  readonly #lives = new Map<string, WorkerLife>();
  /** Connections to each of them. */
  readonly #connections = new Map<string, connections.OpenConnections>();
  /** Ids of lives that have ended, and whether another one has followed. */
  readonly #endedLives = new Map<string, { isReplaced: boolean }>();
  /** Id of the life that was last said to live at each address. */
  readonly #atAddress = new Map<string, string>();
  /** Every run that was started. */
  readonly runs: runNotes.TaskRunNote[] = [];
  /** Tasks of each gang, by member. */
  readonly #gangs = new Map<string, readonly string[]>();
  /** While an order is carried out seconds after it was sent. */
  #isCarriedLate = false;
  /** What orders meet at the address of a life that has ended. */
  atDeadAddress = DeadAddress.Answers;
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
  onCrash: (spec: TaskWorkerSpec) => void = () => {};
  /** Behaviour of a task; tests may replace it. */
  behave: (task: string, worker: string) => TaskBehaviour = () => ({
    runMs: 1000,
    fails: false,
  });
  /** When a life that begins now says that it began; null: it never tells. */
  birthOf: () => number | null = () => this.#clock.wallMs();
  /** What becomes of an order; tests may replace it. */
  carry: (worker: string, order: "start" | "stop" | "renew") => OrderFate =
    () => OrderFate.Carried;

  constructor(clock: Ports.Clock, specs: readonly TaskWorkerSpec[]) {
    super();
    this.#clock = clock;
    this.ways = new orderWays.OrderWays(clock, (id) => this.#lives.get(id));
    for (const spec of specs) this.#lives.set(spec.id, this.#createLife(spec));
  }

  override start(worker: Ports.WorkerRef, order: Ports.StartRun) {
    return this.#overConnection(worker, this.#start(worker, order));
  }

  /** An order that is answered at once, over a connection that may be silent. */
  #overConnection<A>(
    worker: Ports.WorkerRef,
    order: Effect.Effect<A, Ports.OrderError>,
  ): Effect.Effect<A, Ports.OrderError> {
    return Effect.suspend(() => {
      const way = this.#connectionsTo(worker.id).begin();
      if (way.isSilent) return Effect.never;
      return this.ways.carry(worker.id, order);
    });
  }

  #start(worker: Ports.WorkerRef, order: Ports.StartRun) {
    return this.#order(worker, "start", (life) => {
      this.#checkToken(life, order.fencingToken);
      if (life.held.has(keyOf(order))) return this.#clock.monotonicMs();
      if (order.run <= (life.over.get(order.task) ?? 0)) {
        throw this.#refuse(worker, Errors.OrderRefusal.OldRun);
      }
      life.leaseUntilMs = Math.max(life.leaseUntilMs, order.leaseUntilMs);
      if (life.leaseUntilMs < this.#clock.monotonicMs()) {
        throw this.#refuse(worker, Errors.OrderRefusal.Late);
      }
      if (this.guardsRoom && life.held.size >= life.spec.accelerators) {
        throw this.#refuse(worker, Errors.OrderRefusal.NoRoom);
      }
      this.#begin(life, order);
      return this.#clock.monotonicMs();
    });
  }

  override stop(
    worker: Ports.WorkerRef,
    order: Ports.RunRef & { readonly fencingToken: number },
  ) {
    return this.#overConnection(worker, this.#stop(worker, order));
  }

  #stop(
    worker: Ports.WorkerRef,
    order: Ports.RunRef & { readonly fencingToken: number },
  ) {
    return this.#order(worker, "stop", (life) => {
      this.#checkToken(life, order.fencingToken);
      const over = life.over.get(order.task) ?? 0;
      life.over.set(order.task, Math.max(over, order.run));
      const held = life.held.get(keyOf(order));
      if (held !== undefined) {
        this.#endLater(life, held, "stopped", this.stopTakesMs(order.task));
      }
      return this.#clock.monotonicMs();
    });
  }

  override renew(worker: Ports.WorkerRef, order: Ports.RenewLease) {
    const look = this.#order(worker, "renew", (life) => {
      this.#checkToken(life, order.fencingToken);
      life.leaseUntilMs = Math.max(
        life.leaseUntilMs,
        order.leaseUntilMs ?? 0,
      );
      const toldEnds = order.recordedBy === life.bornMs
        ? order.recordedEnds
        : 0;
      this.#acknowledge(life, toldEnds);
      return this.#view(life, toldEnds);
    });
    const stepMs = 50;
    const whole = Effect.gen({ self: this }, function* () {
      const way = this.#connectionsTo(worker.id).begin();
      if (way.isSilent) return yield* Effect.never;
      const untilMs = this.#clock.monotonicMs() + order.waitMs;
      for (;;) {
        const view = yield* look;
        if (!way.answers()) return yield* Effect.never;
        const nowMs = this.#clock.monotonicMs();
        if (view.ended.length > 0 || nowMs >= untilMs) return view;
        yield* this.#clock.sleep(stepMs);
      }
    });
    return this.ways.carry(worker.id, whole);
  }

  /** All open connections turn silent; new ones work. */
  silenceOpen(): void {
    for (const id of this.#lives.keys()) this.#connectionsTo(id).silence();
  }

  #connectionsTo(id: string): connections.OpenConnections {
    const known = this.#connections.get(id);
    if (known !== undefined) return known;
    const made = new connections.OpenConnections(this.#clock);
    this.#connections.set(id, made);
    return made;
  }

  /** Lets everything happen that time has brought, also where nobody asked. */
  settle(): void {
    for (const life of this.#lives.values()) this.#advance(life);
  }

  /** Ends whatever runs of a task, as endpoints do for reasons of their own. */
  endNow(task: string, how: Ports.EndKind): void {
    for (const life of this.#lives.values()) {
      const held = [...life.held.values()].find(({ note }) =>
        note.task === task
      );
      if (held !== undefined) this.#end(life, held, how);
    }
  }

  /** These tasks are a gang: the runs of one number end together. */
  addGang(tasks: readonly string[]): void {
    for (const task of tasks) this.#gangs.set(task, tasks);
  }

  /** Accelerators of all that live. */
  get acceleratorsAlive(): number {
    return [...this.#lives.values()]
      .reduce((sum, { spec }) => sum + spec.accelerators, 0);
  }

  /** Ids of all that live. */
  listLives(): string[] {
    return [...this.#lives.keys()];
  }

  /** A life ends with all that runs there; nobody is told. */
  crash(id: string): void {
    const life = this.#lives.get(id);
    if (life === undefined) return;
    this.#advance(life);
    this.#lives.delete(id);
    this.#endedLives.set(id, { isReplaced: false });
    for (const { note } of life.held.values()) {
      note.endedAtMs = this.#clock.monotonicMs();
      note.how = "crashed";
    }
    for (const { note } of life.held.values()) this.#endGang(note);
    // A timer of the life may look at it once more: nothing of it ends again.
    life.held.clear();
    this.onCrash(life.spec);
  }

  /** A new life begins, empty, where another one has ended. */
  replace(former: string, spec: TaskWorkerSpec): void {
    this.#lives.set(spec.id, this.#createLife(spec));
    const ended = this.#endedLives.get(former);
    if (ended !== undefined) ended.isReplaced = true;
  }

  /** A new life begins, empty, under the id of one that has ended. */
  beginAgain(spec: TaskWorkerSpec): void {
    this.#endedLives.delete(spec.id);
    this.#lives.set(spec.id, this.#createLife(spec));
  }

  /** When a life began, as it tells; null: it does not live, or tells nothing. */
  bornMs(id: string): number | null {
    return this.#lives.get(id)?.bornMs ?? null;
  }

  #createLife(spec: TaskWorkerSpec): WorkerLife {
    return createLife(spec, this.birthOf());
  }

  /** Says which life listens at an address; orders to others find it there. */
  livesAt(address: string, id: string): void {
    if (this.#lives.has(id)) this.#atAddress.set(address, id);
  }

  /** Nobody listens at an address any more. */
  vacate(address: string): void {
    this.#atAddress.set(address, NOBODY);
  }

  /** Runs of a task, in order. */
  runsOf(task: string): runNotes.TaskRunNote[] {
    return this.runs.filter((note) => note.task === task);
  }

  #order<A>(
    worker: Ports.WorkerRef,
    kind: "start" | "stop" | "renew",
    work: (life: WorkerLife) => A,
  ): Effect.Effect<A, Ports.OrderError> {
    const lost = new Errors.WorkerLostError({
      worker: worker.id,
      cause: "lost by the test",
      neverSent: false,
    });
    const carried = Effect.suspend((): Effect.Effect<A, Ports.OrderError> => {
      const fate = this.carry(worker.id, kind);
      const life = this.#lives.get(worker.id);
      if (fate === OrderFate.Silent) return Effect.never;
      const ended = this.#endedLives.get(worker.id);
      if (ended !== undefined) return this.#meetDead(worker, ended.isReplaced);
      const there = this.#atAddress.get(worker.address) ?? worker.id;
      if (there !== worker.id) {
        return this.#meetDead(worker, this.#lives.has(there));
      }
      if (fate === OrderFate.Lost || life === undefined) {
        return Effect.fail(lost);
      }
      if (fate === OrderFate.NoRoom) {
        return Effect.fail(this.#refuse(worker, Errors.OrderRefusal.NoRoom));
      }
      if (fate === OrderFate.Late) {
        const later = Effect.sync(() => {
          // Perhaps another life has begun under the id: it can't tell.
          const there = this.#lives.get(worker.id);
          if (there === undefined) return;
          this.#advance(there);
          this.#isCarriedLate = true;
          try {
            work(there);
          } finally {
            this.#isCarriedLate = false;
          }
        });
        const order = Effect.andThen(this.#clock.sleep(LATE_MS), later);
        Effect.runFork(Effect.ignoreCause(order));
        return Effect.fail(lost);
      }
      this.#advance(life);
      try {
        const result = work(life);
        const isDead = !this.#lives.has(worker.id);
        life.wasCalled ||= fate === OrderFate.Carried;
        return isDead || fate === OrderFate.AnswerLost
          ? Effect.fail(lost)
          : Effect.succeed(result);
      } catch (err) {
        return Effect.fail(err as Errors.OrderRefusedError);
      }
    });
    return this.#afterWay(carried);
  }

  #afterWay<A>(
    order: Effect.Effect<A, Ports.OrderError>,
  ): Effect.Effect<A, Ports.OrderError> {
    return Effect.suspend(() =>
      this.wayMs === 0
        ? order
        : Effect.andThen(this.#clock.sleep(this.wayMs), order)
    );
  }

  #begin(life: WorkerLife, order: Ports.StartRun): void {
    const nowMs = this.#clock.monotonicMs();
    const { runMs, fails, crashesAfterMs } = this.behave(
      order.task,
      life.spec.id,
    );
    const note: runNotes.TaskRunNote = {
      task: order.task,
      run: order.run,
      worker: life.spec.id,
      startedAtMs: nowMs,
      endedAtMs: null,
      how: null,
      acknowledgedAtMs: null,
      hasLapsedMeanwhile: false,
      wasLate: this.#isCarriedLate,
      wasUncalled: this.#isCarriedLate && !life.wasCalled,
    };
    this.runs.push(note);
    const endsAtMs = nowMs + runMs;
    life.held.set(keyOf(order), { note, endsAtMs, fails, coming: null });
    if (crashesAfterMs !== undefined) {
      this.#crashAfter(life, note, crashesAfterMs);
    }
  }

  #crashAfter(
    life: WorkerLife,
    note: runNotes.TaskRunNote,
    afterMs: number,
  ): void {
    const { id } = life.spec;
    if (afterMs === 0) return this.crash(id);
    const crash = Effect.sync(() => {
      this.#advance(life);
      if (note.endedAtMs === null) this.crash(id);
    });
    Effect.runFork(Effect.andThen(this.#clock.sleep(afterMs), crash));
  }

  /** Lets what has happened since the last order happen. */
  #advance(life: WorkerLife): void {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs > life.leaseUntilMs) life.lapsedAtMs = life.leaseUntilMs;
    for (const held of [...life.held.values()]) {
      const end = heldTasks.findEnd(held, nowMs, life.leaseUntilMs);
      if (end !== null) this.#end(life, held, end.how, end.atMs);
    }
  }

  #end(
    life: WorkerLife,
    held: heldTasks.HeldTask,
    how: Ports.EndKind,
    atMs = this.#clock.monotonicMs(),
  ): void {
    const { note } = held;
    life.held.delete(keyOf(note));
    const over = life.over.get(note.task) ?? 0;
    life.over.set(note.task, Math.max(over, note.run));
    note.endedAtMs = atMs;
    note.how = how;
    life.ended.push({ number: life.nextEnd++, note });
    this.#endGang(note);
  }

  /** An end that takes its time; until then the run is there and holds its room. */
  #endLater(
    life: WorkerLife,
    held: heldTasks.HeldTask,
    how: "stopped" | "broken",
    afterMs: number,
    fromMs = this.#clock.monotonicMs(),
  ): void {
    if (afterMs === 0) return this.#end(life, held, how, fromMs);
    heldTasks.order(held, { how, atMs: fromMs + afterMs });
  }

  /** The other members of a gang's run end with the first, or soon after it. */
  #endGang({ task, run, how, endedAtMs }: runNotes.TaskRunNote): void {
    const others = this.#gangs.get(task) ?? [];
    const fromMs = endedAtMs ?? this.#clock.monotonicMs();
    for (const other of others) {
      for (const life of this.#lives.values()) {
        const held = life.held.get(keyOf({ task: other, run }));
        if (held === undefined) continue;
        if (how === "done") this.#end(life, held, "done", fromMs);
        else {
          const afterMs = this.gangFollowsMs(other);
          this.#endLater(life, held, "broken", afterMs, fromMs);
        }
      }
    }
  }

  #acknowledge(life: WorkerLife, upTo: number): void {
    while (life.ended.length > 0 && life.ended[0].number <= upTo) {
      const [first] = life.ended.splice(0, 1);
      const { note } = first;
      note.acknowledgedAtMs = this.#clock.monotonicMs();
      note.hasLapsedMeanwhile = life.lapsedAtMs > (note.endedAtMs ?? 0);
    }
  }

  #view(life: WorkerLife, toldEnds: number): Ports.WorkerView {
    return {
      clockMs: this.#clock.monotonicMs(),
      bornMs: life.bornMs,
      toldEnds,
      held: [...life.held.values()].map((held) => ({
        task: held.note.task,
        run: held.note.run,
        checkpoint: "",
        percent: heldTasks.percentOf(held, this.#clock.monotonicMs()),
        reading: null,
      })),
      ended: life.ended.map(({ number, note }) => ({
        number,
        task: note.task,
        run: note.run,
        how: toldEnd(note),
        checkpoint: "",
      })),
    };
  }

  #checkToken(life: WorkerLife, token: number): void {
    if (token < life.token) {
      const reason = Errors.OrderRefusal.Fenced;
      throw new Errors.OrderRefusedError({ worker: life.spec.id, reason });
    }
    life.token = token;
  }

  /** An order arrives where its life has ended, or has never been. */
  #meetDead(
    { id: worker }: Ports.WorkerRef,
    isReplaced: boolean,
  ): Effect.Effect<never, Ports.OrderError> {
    const lose = (cause: string, neverSent: boolean) =>
      Effect.fail(new Errors.WorkerLostError({ worker, cause, neverSent }));
    if (this.atDeadAddress === DeadAddress.Resets) return lose("reset", false);
    if (isReplaced) {
      return Effect.fail(new Errors.WorkerReplacedError({ worker }));
    }
    return this.atDeadAddress === DeadAddress.Silent
      ? Effect.never
      : lose("connection refused", true);
  }

  #refuse(worker: Ports.WorkerRef, reason: Errors.OrderRefusal) {
    return new Errors.OrderRefusedError({ worker: worker.id, reason });
  }
}

/** Name of a run. */
function keyOf({ task, run }: Ports.RunRef): string {
  return `${task}@${run}`;
}

/** A life tells no crash: it is over by then. */
function toldEnd({ how }: runNotes.TaskRunNote): Ports.EndKind {
  return how === null || how === "crashed" ? "lapsed" : how;
}

function createLife(
  spec: TaskWorkerSpec,
  bornMs: number | null,
): WorkerLife {
  return {
    spec,
    bornMs,
    token: 0,
    wasCalled: false,
    leaseUntilMs: 0,
    lapsedAtMs: Number.NEGATIVE_INFINITY,
    nextEnd: 1,
    held: new Map(),
    ended: [],
    over: new Map(),
  };
}
