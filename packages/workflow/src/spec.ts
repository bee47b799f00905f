/** The specification of a workflow: steps, each with a number of tasks. */

/** Resources of one task or one endpoint. */
export interface Resources {
  /** Thousandths of a processor core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** One step: a number of identical tasks. */
export interface StepSpec extends Resources {
  readonly count: number;
  /** Rough run time of one task. */
  readonly estimateMs: number;
  /** Indexes of the steps that must have ended before. */
  readonly after: readonly number[];
  /** Whether tasks save checkpoints. */
  readonly checkpoints: boolean;
  /** Whether all tasks run together or not at all. */
  readonly gang: boolean;
  /** Whether the tasks of a gang run slower when spread over several racks. */
  readonly sameRack: boolean;
  /** Label that the endpoint must have; null for any endpoint. */
  readonly label: string | null;
  /** Rack that holds the input data; null for any rack. */
  readonly rack: string | null;
  /** Maximum number of tasks of the step on one endpoint; 0 for no limit. */
  readonly perWorker: number;
  /** Whether copies of a task may run at the same time. */
  readonly duplicates: boolean;
  /** Whether the tasks run until the workflow is cancelled. */
  readonly lasting: boolean;
  /** Program that the tasks run; tasks of the same image behave alike. */
  readonly image: string;
  /** Target for the slowest answers of a serving task; 0 for none. */
  readonly latencyTargetMs: number;
  /** Whether the task uses only processor time that other tasks leave. */
  readonly fills: boolean;
  /**
   * Number of tasks of a lasting step that the scheduler may take down at the same
   * time.
   */
  readonly mayMiss: number;
}

const DEFAULT_STEP: StepSpec = {
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

/** Creates a step of one task with defaults for all fields that are not given. */
export function createStep(fields: Partial<StepSpec>): StepSpec {
  return { ...DEFAULT_STEP, ...fields };
}

/** When the steps of a scheduled workflow run again. */
export interface Schedule {
  /** Wall-clock time of the first round. */
  readonly firstAtMs: number;
  readonly everyMs: number;
  readonly rounds: number;
}

/** A queue in the operator's configuration. */
export interface QueuePolicy {
  readonly queue: string;
  /** Service whose endpoints run the tasks. */
  readonly service: string;
  /** Priority 0 is served first and may preempt others. */
  readonly priority: number;
  /** Number of failed runs after which a task is given up. */
  readonly attempts: number;
  /** The objective is `stretch` times the work plus `latencyMs`. */
  readonly stretch: number;
  readonly latencyMs: number;
  /** Set if the advice service must name the endpoints before tasks are placed. */
  readonly advice: AdvicePolicy | null;
}

/** The settings of a queue that apply to accepted work as soon as they change. */
export type QueueRouting = Pick<QueuePolicy, "service" | "advice">;

/** How the advice service of a queue behaves. */
export interface AdvicePolicy {
  readonly decisionMs: number;
  readonly perWorkerMs: number;
  readonly validityMs: number;
}

/**
 * A workflow as stored on acceptance. It changes once: when it has ended,
 * `withoutWork` removes its work.
 */
export interface WorkflowSpec {
  readonly id: string;
  readonly tenant: string;
  /** Settings of its queue on acceptance, with the newest routing. */
  readonly policy: QueuePolicy;
  /** Configuration version of these settings; left out by earlier versions. */
  readonly configVersion?: number;
  /** Text that is passed to each task. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** Null for a workflow that runs once, at once. */
  readonly schedule: Schedule | null;
  /** Wall-clock time of acceptance. */
  readonly acceptedAtMs: number;
}

/**
 * What is kept of a workflow that has ended, so that its status can still be read
 * and it is not accepted twice. The work is removed because a new coordinator reads
 * all that is kept.
 */
export function withoutWork(spec: WorkflowSpec): WorkflowSpec {
  return { ...spec, payload: "", steps: [], schedule: null };
}

/** Number of rounds: those of the schedule, or 1. */
export function countRounds(spec: WorkflowSpec): number {
  return spec.schedule?.rounds ?? 1;
}

/** Wall-clock time at which a round falls due. */
export function dueAtMs(spec: WorkflowSpec, round: number): number {
  if (spec.schedule === null) return spec.acceptedAtMs;
  return spec.schedule.firstAtMs + round * spec.schedule.everyMs;
}

/**
 * Whether a round may start. Without a schedule it always may, as the clock of the
 * box that accepted the workflow may be ahead of this one's.
 */
export function isDue(
  spec: WorkflowSpec,
  round: number,
  wallMs: number,
): boolean {
  return spec.schedule === null || dueAtMs(spec, round) <= wallMs;
}

/** Estimated length of the longest chain of dependent steps, in ms. */
export function criticalPathMs(steps: readonly StepSpec[]): number {
  const ends: number[] = [];
  for (const step of steps) {
    const predecessorEnds = step.after.map((n) => ends[n] ?? 0);
    ends.push(Math.max(0, ...predecessorEnds) + step.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** Wall-clock time by which a round should have ended. */
export function objectiveAtMs(spec: WorkflowSpec, round: number): number {
  const { stretch, latencyMs } = spec.policy;
  const workMs = criticalPathMs(spec.steps);
  return dueAtMs(spec, round) + stretch * workMs + latencyMs;
}

/**
 * An end after the objective is late but still useful within this multiple of it.
 */
export const LATE_FACTOR = 3;
