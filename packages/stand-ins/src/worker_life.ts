/** One life of an endpoint of the stand-in: what it holds, and what it tells of it. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as heldTasks from "./held_task.ts";
import type * as runNotes from "./run_note.ts";

/** A worker of the stand-in. */
export interface TaskWorkerSpec {
  readonly id: string;
  readonly accelerators: number;
}

/** A life. Mutable; owned by the workers of one test. */
export interface WorkerLife {
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

/** A life that begins, empty. */
export function createLife(
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

/** Name of a run. */
export function keyOf({ task, run }: Ports.RunRef): string {
  return `${task}@${run}`;
}

/** Refuses orders of earlier coordinators. */
export function checkToken(life: WorkerLife, token: number): void {
  if (token < life.token) {
    throw refuse(life.spec.id, Errors.OrderRefusal.Fenced);
  }
  life.token = token;
}

/** An order that an endpoint does not carry out. */
export function refuse(
  worker: string,
  reason: Errors.OrderRefusal,
): Errors.OrderRefusedError {
  return new Errors.OrderRefusedError({ worker, reason });
}

/** No run of a task up to this one starts there any more. */
export function noteOver(life: WorkerLife, { task, run }: Ports.RunRef): void {
  const over = life.over.get(task) ?? 0;
  life.over.set(task, Math.max(over, run));
}

/** Ends up to a number are recorded; they are told no more. */
export function acknowledge(
  life: WorkerLife,
  upTo: number,
  nowMs: number,
): void {
  while (life.ended.length > 0 && life.ended[0].number <= upTo) {
    const [first] = life.ended.splice(0, 1);
    const { note } = first;
    note.acknowledgedAtMs = nowMs;
    note.hasLapsedMeanwhile = life.lapsedAtMs > (note.endedAtMs ?? 0);
  }
}

/** What it answers to a look. */
export function viewOf(
  life: WorkerLife,
  toldEnds: number,
  nowMs: number,
): Ports.EndpointReport {
  return {
    clockMs: nowMs,
    bornMs: life.bornMs,
    toldEnds,
    held: [...life.held.values()].map((held) => ({
      task: held.note.task,
      run: held.note.run,
      checkpoint: "",
      percent: heldTasks.percentOf(held, nowMs),
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

/** A life tells no crash: it is over by then. */
function toldEnd({ how }: runNotes.TaskRunNote): Ports.EndKind {
  return how === null || how === "crashed" ? "lapsed" : how;
}
