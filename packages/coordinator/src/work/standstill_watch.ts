/**
 * Notices steps that could run and stand still: which, since when, for which reason,
 * and what the endpoints of their service could hold meanwhile.
 */
import * as Scheduler from "@cairngate/workflow-scheduler";
import type * as ports from "../ports.ts";

/** Operators allow work to stand for this time, in ms, while there is room. */
const MAX_STANDSTILL_MS = 3000;
/** Time between two lines about one step, in ms: long waits fill no log. */
const LOG_INTERVAL_MS = 10_000;
/** Lines after one plan; the others are in the counter. */
const MAX_LOG_LINES = 4;

/** Since when a step waits, and why. */
export interface StepWait {
  readonly reason: Scheduler.WaitReason;
  readonly sinceMs: number;
}

interface WaitingStep {
  /** When the step was found waiting, and nothing of it has started since. */
  readonly sinceMs: number;
  reason: Scheduler.WaitReason;
  reasonSinceMs: number;
  /** When it was told of; infinite for never. */
  loggedAtMs: number;
}

/** What one plan has left and what it was made from. */
export interface PlanResult {
  readonly waits: readonly Scheduler.WaitDecision[];
  readonly starts: readonly Scheduler.StartDecision[];
  readonly endpoints: readonly Scheduler.WorkerState[];
  readonly nowMs: number;
}

/** Steps that wait, from plan to plan. */
export class StandstillWatch {
  readonly #ports: Pick<ports.CoordinatorPorts, "log" | "metrics">;
  #waiting = new Map<string, WaitingStep>();

  constructor(
    coordinatorPorts: Pick<ports.CoordinatorPorts, "log" | "metrics">,
  ) {
    this.#ports = coordinatorPorts;
  }

  /** What a workflow waits for, the step that has waited longest; null for nothing. */
  waitOf(id: string): StepWait | null {
    let oldest: WaitingStep | null = null;
    for (const [name, step] of this.#waiting) {
      if (!name.startsWith(`${id}.`)) continue;
      if (oldest === null || step.sinceMs < oldest.sinceMs) oldest = step;
    }
    return oldest === null
      ? null
      : { reason: oldest.reason, sinceMs: oldest.sinceMs };
  }

  /** Nothing is left that could wait. */
  clear(): void {
    this.update({ waits: [], starts: [], endpoints: [], nowMs: 0 });
  }

  /** Takes in a plan; tells of steps that stand for too long beside free room. */
  update({ waits, starts, endpoints, nowMs }: PlanResult): void {
    const previous = this.#waiting;
    this.#waiting = new Map();
    for (const { unit } of starts) previous.delete(stepName(unit));
    for (const wait of waits) this.#track(wait, previous, nowMs);
    const sinceMs = [...this.#waiting.values()].map((step) => step.sinceMs);
    const oldestMs = nowMs - Math.min(nowMs, ...sinceMs);
    this.#ports.metrics.set("cairngate_oldest_wait_ms", oldestMs);
    let lines = 0;
    for (const { unit } of waits) {
      if (lines >= MAX_LOG_LINES) break;
      if (this.#logStandstill(unit, endpoints, nowMs)) lines++;
    }
  }

  #track(
    { unit, reason }: Scheduler.WaitDecision,
    previous: ReadonlyMap<string, WaitingStep>,
    nowMs: number,
  ): void {
    const name = stepName(unit);
    if (this.#waiting.has(name)) return;
    const step = previous.get(name) ?? {
      sinceMs: nowMs,
      reason,
      reasonSinceMs: nowMs,
      loggedAtMs: Number.NEGATIVE_INFINITY,
    };
    if (step.reason !== reason) {
      step.reason = reason;
      step.reasonSinceMs = nowMs;
    }
    this.#waiting.set(name, step);
  }

  /** False where there is nothing to tell. */
  #logStandstill(
    unit: Scheduler.WaitDecision["unit"],
    endpoints: readonly Scheduler.WorkerState[],
    nowMs: number,
  ): boolean {
    const step = this.#waiting.get(stepName(unit));
    if (step === undefined) return false;
    const waitedMs = nowMs - step.sinceMs;
    const isTooSoon = waitedMs <= MAX_STANDSTILL_MS ||
      nowMs - step.loggedAtMs < LOG_INTERVAL_MS;
    if (isTooSoon) return false;
    const room = Scheduler.countRoom(unit, endpoints);
    if (room.couldHold === 0) return false;
    step.loggedAtMs = nowMs;
    const { reason, reasonSinceMs } = step;
    this.#ports.metrics.count("cairngate_standstills_total", { reason });
    this.#ports.log.warn(
      `Step ${stepName(unit)} stands still for ${
        Math.round(waitedMs)
      } ms: it ` +
        `waits for ${reason} since ${Math.round(nowMs - reasonSinceMs)} ms, ` +
        `with ${unit.tasks.length} tasks to place at once; of ${room.known} ` +
        `endpoints of its service ${room.usable} may be given work, and ` +
        `${room.couldHold} have room for a task.`,
    );
    return true;
  }
}

/** Name of a unit's step. */
function stepName(
  { workflow, round, stepIndex }: Scheduler.WaitDecision["unit"],
) {
  return `${workflow.spec.id}.${round}.${stepIndex}`;
}
