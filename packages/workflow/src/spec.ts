/** What callers ask for: a workflow of steps, each with a number of tasks. */

/** Resources of one task or one worker. */
export interface Resources {
  /** Thousandths of a processor core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** One step: tasks that are alike. */
export interface StepSpec extends Resources {
  readonly count: number;
  /** Rough run time of one task. */
  readonly estimateMs: number;
  /** Numbers of the steps that must have ended before. */
  readonly after: readonly number[];
  /** Whether tasks save checkpoints. */
  readonly checkpoints: boolean;
  /** All tasks run together or not at all. */
  readonly gang: boolean;
  /** The tasks of a gang run slower when they lie in several racks. */
  readonly sameRack: boolean;
  /** Label that the worker must have; null for any worker. */
  readonly label: string | null;
  /** Rack where the data lies; null where it does not matter. */
  readonly rack: string | null;
  /** Most tasks of the step on one worker; 0 for no limit. */
  readonly perWorker: number;
  /** Copies of a task may run side by side. */
  readonly duplicates: boolean;
  /** The tasks run until the workflow is cancelled. */
  readonly lasting: boolean;
  /** Program that the tasks run; tasks of one image behave alike. */
  readonly image: string;
  /** Aim for the slowest answers of a serving task; 0 for none. */
  readonly latencyTargetMs: number;
  /** The task takes only processor time that others leave. */
  readonly fills: boolean;
  /** Tasks of a lasting step that may be away at once through our doing. */
  readonly mayMiss: number;
}

const NOTHING_ASKED: StepSpec = {
  count: 1,
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
  estimateMs: 0,
  after: [],
  checkpoints: false,
  gang: false,
  sameRack: false,
  label: null,
  rack: null,
  perWorker: 0,
  duplicates: false,
  lasting: false,
  image: "",
  latencyTargetMs: 0,
  fills: false,
  mayMiss: 0,
};

/** A step of one task that asks for nothing but what is given here. */
export function createStep(asked: Partial<StepSpec>): StepSpec {
  return { ...NOTHING_ASKED, ...asked };
}

/** When the steps of a scheduled workflow run again. */
export interface Schedule {
  /** Wall-clock time of the first round. */
  readonly firstAtMs: number;
  readonly everyMs: number;
  readonly rounds: number;
}

/** What the operator's configuration says of a queue. */
export interface QueuePolicy {
  readonly queue: string;
  /** Service whose workers run the tasks. */
  readonly service: string;
  /** 0 comes first and may make others yield. */
  readonly priority: number;
  /** Failed runs after which a task is given up. */
  readonly attempts: number;
  /** Objective: `stretch` times the work, plus `latencyMs`. */
  readonly stretch: number;
  readonly latencyMs: number;
  /** Workers must be named by the advice service first. */
  readonly advice: AdvicePolicy | null;
}

/** How the advice service of a queue behaves. */
export interface AdvicePolicy {
  readonly decisionMs: number;
  readonly perWorkerMs: number;
  readonly validityMs: number;
}

/**
 * A workflow as it is stored when it is accepted. It changes once: after the end
 * its work is dropped, see `withoutWork`.
 */
export interface WorkflowSpec {
  readonly id: string;
  readonly tenant: string;
  readonly policy: QueuePolicy;
  /** Text that is handed to each task. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** Null for a workflow that runs once, at once. */
  readonly schedule: Schedule | null;
  /** Wall-clock time of acceptance. */
  readonly acceptedAtMs: number;
}

/**
 * What is kept of a workflow that has ended, so that it can still be asked for
 * and is not accepted once more. A new coordinator reads all that is kept.
 */
export function withoutWork(spec: WorkflowSpec): WorkflowSpec {
  return { ...spec, payload: "", steps: [], schedule: null };
}

/** Rounds of a workflow: 1, or those of its schedule. */
export function countRounds(spec: WorkflowSpec): number {
  return spec.schedule?.rounds ?? 1;
}

/** Wall-clock time at which a round falls due. */
export function dueAtMs(spec: WorkflowSpec, round: number): number {
  if (spec.schedule === null) return spec.acceptedAtMs;
  return spec.schedule.firstAtMs + round * spec.schedule.everyMs;
}

/**
 * Whether a round may start. Without a schedule it always may: the clock of the
 * node that accepted the workflow may be ahead of this one's.
 */
export function isDue(
  spec: WorkflowSpec,
  round: number,
  wallMs: number,
): boolean {
  return spec.schedule === null || dueAtMs(spec, round) <= wallMs;
}

/** Estimated length of the longest chain of steps. */
export function longestChainMs(steps: readonly StepSpec[]): number {
  const ends: number[] = [];
  for (const step of steps) {
    const before = step.after.map((n) => ends[n] ?? 0);
    ends.push(Math.max(0, ...before) + step.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** Wall-clock time by which a round should have ended. */
export function objectiveAtMs(spec: WorkflowSpec, round: number): number {
  const { stretch, latencyMs } = spec.policy;
  const workMs = longestChainMs(spec.steps);
  return dueAtMs(spec, round) + stretch * workMs + latencyMs;
}

/** An end within this many times the objective is late, and still of use. */
export const LATE_FACTOR = 3;
