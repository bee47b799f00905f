/** Free capacity of the endpoints, as one plan reads and changes it. */
import * as Workflow from "@cairngate/workflow";

/** State of an endpoint when a plan starts. */
export interface EndpointSnapshot {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly labels: ReadonlySet<string>;
  readonly total: Workflow.Resources;
  /** False while it drains, is unreachable, on probation or evacuated. */
  readonly usable: boolean;
  /** Whether an endpoint at this address crashed in the last seconds. */
  readonly hasCrashedLately?: boolean;
  /** Whether recent failures suggest that it fails every run. */
  readonly isUnreliable?: boolean;
  /** Whether a run has recently succeeded or survived its start on it. */
  readonly isProven?: boolean;
  /** Whether it has just started up and runs slowly for a while. */
  readonly isCold?: boolean;
  /** Speed relative to the other endpoints; 1 is normal. */
  readonly speed: number;
  /** Tasks that run on it or may run on it. */
  readonly tasks: readonly Workflow.Task[];
}

/** Resources that change while a plan is made. */
interface MutableResources {
  cpuMillis: number;
  memoryMb: number;
  accelerators: number;
}

/** An endpoint and its free resources during one plan. */
export class Endpoint {
  readonly state: EndpointSnapshot;
  /** Resources that were free when the plan started. */
  readonly freeAtStart: Workflow.Resources;
  /** Resources that are free now. */
  readonly free: MutableResources;
  /** Resources that are free once all tasks that are being stopped have ended. */
  readonly freeAfterStops: MutableResources;
  /** Number of tasks of each step on it, for the `perWorker` limit. */
  readonly #tasksPerStep = new Map<Workflow.TaskGroup, number>();
  #hasAllocation = false;

  constructor(state: EndpointSnapshot) {
    this.state = state;
    this.free = { ...state.total };
    this.freeAfterStops = { ...state.total };
    for (const task of state.tasks) {
      subtractTasks(this.free, task.step, 1);
      if (task.state !== Workflow.TaskState.Stopping) {
        subtractTasks(this.freeAfterStops, task.step, 1);
      }
      this.#countForStep(task, 1);
    }
    this.freeAtStart = { ...this.free };
  }

  /** Number of the unit's tasks that fit into the given resources. */
  fits(unit: Workflow.Unit, amounts: Workflow.Resources): number {
    const { step } = unit;
    const maxTasks = Math.min(
      countFitting(amounts.cpuMillis, step.fills ? 0 : step.cpuMillis),
      countFitting(amounts.memoryMb, step.memoryMb),
      countFitting(amounts.accelerators, step.accelerators),
      unit.tasks.length,
      this.#maxConcurrentStarts,
    );
    if (step.perWorker === 0) return Math.max(0, maxTasks);
    const placed =
      this.#tasksPerStep.get(unit.workflow.groupOf(unit.tasks[0])) ?? 0;
    return Math.max(0, Math.min(maxTasks, step.perWorker - placed));
  }

  /** An unreliable endpoint gets one run at a time, to test whether it still fails. */
  get #maxConcurrentStarts(): number {
    if (this.state.isUnreliable !== true) return Number.POSITIVE_INFINITY;
    return this.isEmpty ? 1 : 0;
  }

  /** Whether it has no tasks and the plan starts none on it. */
  get isEmpty(): boolean {
    return this.state.tasks.length === 0 && !this.#hasAllocation;
  }

  /** Allocates resources to tasks of a unit, now and after all stops. */
  allocate(unit: Workflow.Unit, count: number): void {
    this.#hasAllocation = true;
    subtractTasks(this.free, unit.step, count);
    subtractTasks(this.freeAfterStops, unit.step, count);
    this.#countForStep(unit.tasks[0], count);
  }

  /** Withholds all free resources from other units. */
  withholdAll(): void {
    this.free.accelerators = -1;
    this.free.memoryMb = -1;
    this.free.cpuMillis = -1;
  }

  /** Counts the resources of a task that this plan stops as free after stops. */
  countStop(task: Workflow.Task): void {
    addTask(this.freeAfterStops, task.step);
  }

  #countForStep(task: Workflow.Task, count: number): void {
    if (task.step.perWorker === 0) return;
    const taskGroup = task.workflow.groupOf(task);
    this.#tasksPerStep.set(
      taskGroup,
      (this.#tasksPerStep.get(taskGroup) ?? 0) + count,
    );
  }
}

/** Subtracts the resources of `count` tasks of a step. */
export function subtractTasks(
  amounts: MutableResources,
  step: Workflow.StepSpec,
  count: number,
): void {
  if (!step.fills) amounts.cpuMillis -= step.cpuMillis * count;
  amounts.memoryMb -= step.memoryMb * count;
  amounts.accelerators -= step.accelerators * count;
}

/** Whether tasks fit into the given resources together. */
export function fitTogether(
  tasks: Iterable<Workflow.Task>,
  total: Workflow.Resources,
): boolean {
  const remaining = { ...total };
  for (const { step } of tasks) subtractTasks(remaining, step, 1);
  return remaining.cpuMillis >= 0 && remaining.memoryMb >= 0 &&
    remaining.accelerators >= 0;
}

/** Adds the resources of one task of a step. */
export function addTask(
  amounts: MutableResources,
  step: Workflow.StepSpec,
): void {
  subtractTasks(amounts, step, -1);
}

function countFitting(available: number, needed: number): number {
  if (available < 0) return 0;
  return needed === 0
    ? Number.POSITIVE_INFINITY
    : Math.floor(available / needed);
}

/** Utilization of the fleet by its scarcest resource, 0 to 1. */
export function peakUtilization(endpoints: readonly Endpoint[]): number {
  const total = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  const free = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  for (const endpoint of endpoints) {
    add(total, endpoint.state.total);
    add(free, endpoint.free);
  }
  const usedShareOf = (all: number, remaining: number) =>
    all === 0 ? 0 : 1 - remaining / all;
  return Math.max(
    usedShareOf(total.cpuMillis, free.cpuMillis),
    usedShareOf(total.memoryMb, free.memoryMb),
    usedShareOf(total.accelerators, free.accelerators),
  );
}

function add(sum: MutableResources, amounts: Workflow.Resources): void {
  sum.cpuMillis += amounts.cpuMillis;
  sum.memoryMb += amounts.memoryMb;
  sum.accelerators += amounts.accelerators;
}

/** Whether an endpoint may run a unit now. */
export function isEligible(
  state: EndpointSnapshot,
  unit: Workflow.Unit,
): boolean {
  return state.usable && matchesUnit(state, unit);
}

/** Whether an endpoint has the service and the label that a unit needs. */
export function matchesUnit(
  state: EndpointSnapshot,
  unit: Workflow.Unit,
): boolean {
  const { step, workflow } = unit;
  return state.service === workflow.spec.policy.service &&
    (step.label === null || state.labels.has(step.label));
}
