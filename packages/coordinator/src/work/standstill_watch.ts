/**
 * Detects steps that are ready but do not start, and logs since when, for which reason
 * and how much capacity the endpoints of their service have.
 */
import * as Scheduler from "@cairngate/workflow-scheduler";
import type * as ports from "../ports.ts";

/** Operators accept that ready work waits this long while there is capacity. */
const MAX_STANDSTILL_MS = 3000;
/** Time between two log lines for one step, so that long waits don't flood the log. */
const LOG_INTERVAL_MS = 10_000;
/** Most log lines for one plan; other steps are logged after later plans. */
const MAX_LOG_LINES = 4;

/** Why a step waits, and since when. */
export interface StepWait {
  readonly reason: Scheduler.WaitReason;
  readonly sinceMs: number;
}

interface WaitingStep {
  /** When the step began to wait; a start of one of its units resets it. */
  readonly sinceMs: number;
  reason: Scheduler.WaitReason;
  reasonSinceMs: number;
  /** When it was last logged; negative infinity for never. */
  loggedAtMs: number;
}

/** The waits and starts of one plan, and the endpoints that it was made for. */
export interface PlanResult {
  readonly waits: readonly Scheduler.WaitDecision[];
  readonly starts: readonly Scheduler.StartDecision[];
  readonly endpoints: readonly Scheduler.EndpointSnapshot[];
  readonly nowMs: number;
}

/** Tracks waiting steps across plans. */
export class StandstillWatch {
  readonly #ports: Pick<ports.CoordinatorPorts, "log" | "metrics">;
  #waiting = new Map<string, WaitingStep>();

  constructor(
    coordinatorPorts: Pick<ports.CoordinatorPorts, "log" | "metrics">,
  ) {
    this.#ports = coordinatorPorts;
  }

  /** The wait of the workflow's step that waits longest; null where none waits. */
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

  /** Clears all steps; for when there is nothing to plan. */
  clear(): void {
    this.update({ waits: [], starts: [], endpoints: [], nowMs: 0 });
  }

  /** Applies a plan; logs steps that wait too long although there is capacity. */
  update({ waits, starts, endpoints, nowMs }: PlanResult): void {
    const previous = this.#waiting;
    this.#waiting = new Map();
    for (const { unit } of starts) previous.delete(nameOf(unit));
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
    const name = nameOf(unit);
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

  /** Logs a step that waits too long; returns whether it did. */
  #logStandstill(
    unit: Scheduler.WaitDecision["unit"],
    endpoints: readonly Scheduler.EndpointSnapshot[],
    nowMs: number,
  ): boolean {
    const step = this.#waiting.get(nameOf(unit));
    if (step === undefined) return false;
    const waitedMs = nowMs - step.sinceMs;
    const isTooSoon = waitedMs <= MAX_STANDSTILL_MS ||
      nowMs - step.loggedAtMs < LOG_INTERVAL_MS;
    if (isTooSoon) return false;
    const room = Scheduler.countEndpoints(unit, endpoints);
    if (room.withCapacity === 0) return false;
    step.loggedAtMs = nowMs;
    const { reason, reasonSinceMs } = step;
    this.#ports.metrics.count("cairngate_standstills_total", { reason });
    this.#ports.log.warn(
      `Step ${nameOf(unit)} stands still for ${Math.round(waitedMs)} ms: it ` +
        `waits for ${reason} (for ${Math.round(nowMs - reasonSinceMs)} ms), ` +
        `with ${unit.tasks.length} tasks to place together; of ${room.total} ` +
        `endpoints of its service ${room.usable} may be given work, and ` +
        `${room.withCapacity} have capacity for a task.`,
    );
    return true;
  }
}

/** Name of a unit's step. */
function nameOf(
  { workflow, round, stepIndex }: Scheduler.WaitDecision["unit"],
) {
  return `${workflow.spec.id}.${round}.${stepIndex}`;
}
