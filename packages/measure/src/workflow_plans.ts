/** Measures the planning time for workflows by the size of the fleet. */
import * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as performance from "node:perf_hooks";

/** Planning times at one fleet size; `running` and `waiting` count tasks. */
export interface PlanTimes {
  readonly workers: number;
  readonly running: number;
  readonly waiting: number;
  readonly medianMs: number;
  readonly worstMs: number;
}

const ACCELERATORS = 8;
const WORKERS_PER_RACK = 8;
const RUNNING_PER_WORKER = 7;
const TASKS_PER_WAITING_WORKFLOW = 8;
const REPEATS = 15;
const POLICY: Workflow.QueuePolicy = {
  queue: "maps",
  service: "analysis",
  priority: 1,
  attempts: 4,
  stretch: 3,
  latencyMs: 1000,
  advice: null,
};

/** Measures planning over a nearly full fleet where no waiting task fits. */
export function measurePlans(workers: number): PlanTimes {
  const tasksByWorker: Workflow.Task[][] = [];
  const workflows: Workflow.Workflow[] = [];
  for (let i = 0; i < workers; i++) {
    const workflow = buildWorkflow(`running-${i}`, RUNNING_PER_WORKER);
    for (const task of workflow.tasks) task.place(`worker-${i}`, 1, 0);
    tasksByWorker.push([...workflow.tasks]);
    workflows.push(workflow);
  }
  // Each task needs more than any worker has free, so each search is exhaustive.
  const waiting = Math.ceil(workers / 10);
  for (let i = 0; i < waiting; i++) {
    workflows.push(
      buildWorkflow(`waiting-${i}`, TASKS_PER_WAITING_WORKFLOW, 2),
    );
  }
  const input: Scheduler.PlanInput = {
    endpoints: tasksByWorker.map(buildWorker),
    workflows,
    guarantees: new Map(),
    nowMs: 1000,
    wallMs: 1000,
    remotePenalty: 3,
    isAdvised: () => true,
  };
  return {
    workers,
    running: workers * RUNNING_PER_WORKER,
    waiting: waiting * TASKS_PER_WAITING_WORKFLOW,
    ...timePlans(input),
  };
}

/** Accelerators in use on each worker of the half-free fleet. */
const USED_PER_WORKER = 4;
/** Tasks per batch with one accelerator each; about the size of users' batches. */
const BATCH_TASKS = 40;

/** Measures planning for batches of independent tasks on a half-free fleet. */
export function measureBatchPlans(workers: number, waiting: number): PlanTimes {
  const running = Array.from(
    { length: workers },
    (_, i) => buildWorkflow(`running-${i}`, USED_PER_WORKER),
  );
  running.forEach((workflow, i) => {
    for (const task of workflow.tasks) task.place(`worker-${i}`, 1, 0);
  });
  const batches = Array.from(
    { length: Math.ceil(waiting / BATCH_TASKS) },
    (_, i) => buildWorkflow(`batch-${i}`, BATCH_TASKS),
  );
  const input: Scheduler.PlanInput = {
    endpoints: running.map((workflow, i) =>
      buildWorker([...workflow.tasks], i)
    ),
    workflows: [...running, ...batches],
    guarantees: new Map(),
    nowMs: 1000,
    wallMs: 1000,
    remotePenalty: 3,
    isAdvised: () => true,
  };
  return {
    workers,
    running: workers * USED_PER_WORKER,
    waiting: batches.length * BATCH_TASKS,
    ...timePlans(input),
  };
}

/** Tasks of the urgent gang; the largest gangs of users have 32. */
const GANG_TASKS = 32;

/** Measures planning for urgent work on a fleet that is full of lower-priority work. */
export function measureEvictionPlans(
  workers: number,
  gang: boolean,
): PlanTimes {
  const running = Array.from(
    { length: workers },
    (_, i) => buildWorkflow(`running-${i}`, ACCELERATORS),
  );
  running.forEach((workflow, i) => {
    for (const task of workflow.tasks) {
      task.place(`worker-${i}`, 1, 0);
      task.state = Workflow.TaskState.Running;
    }
  });
  const urgent = buildWorkflow("urgent", GANG_TASKS, 4, {
    policy: { priority: 0 },
    gang,
  });
  const input: Scheduler.PlanInput = {
    endpoints: running.map((workflow, i) =>
      buildWorker([...workflow.tasks], i)
    ),
    workflows: [...running, urgent],
    guarantees: new Map([["coop", ACCELERATORS * workers]]),
    nowMs: 1000,
    wallMs: 1000,
    remotePenalty: 3,
    isAdvised: () => true,
  };
  return {
    workers,
    running: workers * ACCELERATORS,
    waiting: GANG_TASKS,
    ...timePlans(input),
  };
}

/** Returns the median and the longest time of REPEATS plans. */
function timePlans(
  input: Scheduler.PlanInput,
): Pick<PlanTimes, "medianMs" | "worstMs"> {
  const times = Array.from({ length: REPEATS }, () => timePlan(input));
  times.sort((a, b) => a - b);
  return {
    medianMs: times[Math.floor(REPEATS / 2)],
    worstMs: times[REPEATS - 1],
  };
}

function timePlan(input: Scheduler.PlanInput): number {
  const startedAtMs = performance.performance.now();
  Scheduler.makePlan(input);
  return performance.performance.now() - startedAtMs;
}

function buildWorker(
  tasks: readonly Workflow.Task[],
  index: number,
): Scheduler.EndpointSnapshot {
  return {
    id: `worker-${index}`,
    service: POLICY.service,
    rack: `rack-${Math.floor(index / WORKERS_PER_RACK)}`,
    labels: new Set(["a"]),
    total: {
      cpuMillis: 64_000,
      memoryMb: 262_144,
      accelerators: ACCELERATORS,
    },
    usable: true,
    dataCentre: "dc-1",
    speed: 1,
    tasks,
  };
}

function buildWorkflow(
  id: string,
  count: number,
  accelerators = 1,
  options: { policy?: Partial<Workflow.QueuePolicy>; gang?: boolean } = {},
): Workflow.Workflow {
  return new Workflow.Workflow({
    id,
    tenant: "coop",
    policy: { ...POLICY, ...options.policy },
    payload: "",
    steps: [Workflow.createStep({
      count,
      cpuMillis: 1000,
      memoryMb: 1000,
      accelerators,
      estimateMs: 1000,
      gang: options.gang ?? false,
    })],
    schedule: null,
    acceptedAtMs: 0,
  });
}
