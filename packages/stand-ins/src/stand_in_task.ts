/** A task on a stand-in endpoint. */
import * as Types from "@cairngate/types";
import type * as Deferred from "effect/Deferred";

/** Run time of a task whose input sets none, in milliseconds. */
const DEFAULT_RUN_MS = 5;

/** State of a task on an endpoint. */
export interface Task {
  readonly order: Types.HoldOrder;
  readonly epoch: number;
  readonly gang: number;
  readonly ended: Deferred.Deferred<Types.TaskAnswer>;
  state: Types.TaskState;
  startedAtMs: number;
  leaseUntilMs: number;
  progress: number;
  result: unknown;
  version: number;
}

/** Whether the task occupies accelerators. */
export function isActive(task: Task): boolean {
  return task.state === Types.TaskState.Held ||
    task.state === Types.TaskState.Running;
}

/** Key of one attempt of a gang member. */
export function keyOf(key: Types.TaskKey): string {
  return `${key.jobId}/${key.attempt}/${key.rank}`;
}

/** Run time that the input sets, in milliseconds. */
export function runMsOf(order: Types.HoldOrder): number {
  const input = order.input as { runMs?: unknown } | null;
  const runMs = input?.runMs;
  return typeof runMs === "number" && runMs >= 0 ? runMs : DEFAULT_RUN_MS;
}

/** Builds the answer of a task that has ended. */
export function answerOf(task: Task): Types.TaskAnswer {
  const { jobId, attempt, rank, caller } = task.order;
  return {
    jobId,
    attempt,
    rank,
    caller,
    state: task.state,
    result: task.result,
  };
}

/** Builds the report of a task. */
export function reportOf(task: Task): Types.TaskReport {
  const { order } = task;
  return {
    jobId: order.jobId,
    attempt: order.attempt,
    rank: order.rank,
    state: task.state,
    epoch: task.epoch,
    mask: order.mask,
    gang: order.gang,
    team: order.team,
    progress: task.progress,
    result: task.result,
    caller: order.caller,
    spec: order.spec,
  };
}
