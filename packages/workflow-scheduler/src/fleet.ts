/** Room on the workers, as one plan sees and changes it. */
import * as Workflow from "@cairngate/workflow";

/** A worker as the coordinator knows it. */
export interface WorkerState {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly labels: ReadonlySet<string>;
  readonly total: Workflow.Resources;
  /** False while it drains, cannot be reached, is put aside or evacuated. */
  readonly usable: boolean;
  /** An endpoint at its address has crashed in the last seconds. */
  readonly hasCrashedLately?: boolean;
  /** It has failed lately: it may fail whatever it starts. */
  readonly isDoubted?: boolean;
  /** Something has lately run well there. */
  readonly isProven?: boolean;
  /** It has just come up and runs slowly for a while. */
  readonly isCold?: boolean;
  /** Speed beside the other workers; 1 is the usual one. */
  readonly speed: number;
  /** Tasks that it holds or may hold. */
  readonly occupants: readonly Workflow.Task[];
}

/** Amounts that change while a plan is made. */
interface MutableResources {
  cpuMillis: number;
  memoryMb: number;
  accelerators: number;
}

/** Room of one worker during a plan. */
export class Endpoint {
  readonly state: WorkerState;
  /** Free when the plan began. */
  readonly freeAtStart: Workflow.Resources;
  /** Free now. */
  readonly free: MutableResources;
  /** Free once all that is being stopped has ended. */
  readonly freeAfterStops: MutableResources;
  /** Tasks of each step that it holds, for limits per worker. */
  readonly #tasksPerStep = new Map<readonly Workflow.Task[], number>();
  #hasAllocation = false;

  constructor(state: WorkerState) {
    this.state = state;
    this.free = { ...state.total };
    this.freeAfterStops = { ...state.total };
    for (const task of state.occupants) {
      subtractTasks(this.free, task.step, 1);
      if (task.state !== Workflow.TaskState.Stopping) {
        subtractTasks(this.freeAfterStops, task.step, 1);
      }
      this.#countForStep(task, 1);
    }
    this.freeAtStart = { ...this.free };
  }

  /** Tasks of a unit's step that fit into an amount of room. */
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
      this.#tasksPerStep.get(unit.workflow.siblings(unit.tasks[0])) ?? 0;
    return Math.max(0, Math.min(maxTasks, step.perWorker - placed));
  }

  /** One run at a time tells whether an endpoint in doubt still fails. */
  get #maxConcurrentStarts(): number {
    if (this.state.isDoubted !== true) return Number.POSITIVE_INFINITY;
    return this.isEmpty ? 1 : 0;
  }

  /** Whether nothing runs there, and nothing is planned to. */
  get isEmpty(): boolean {
    return this.state.occupants.length === 0 && !this.#hasAllocation;
  }

  /** Takes room for tasks of a step, now and later. */
  allocate(unit: Workflow.Unit, count: number): void {
    this.#hasAllocation = true;
    subtractTasks(this.free, unit.step, count);
    subtractTasks(this.freeAfterStops, unit.step, count);
    this.#countForStep(unit.tasks[0], count);
  }

  /** Keeps all of the room from others. */
  withholdAll(): void {
    this.free.accelerators = -1;
    this.free.memoryMb = -1;
    this.free.cpuMillis = -1;
  }

  /** Counts a task that is going to be stopped. */
  countStop(task: Workflow.Task): void {
    addTask(this.freeAfterStops, task.step);
  }

  #countForStep(task: Workflow.Task, count: number): void {
    if (task.step.perWorker === 0) return;
    const siblings = task.workflow.siblings(task);
    this.#tasksPerStep.set(
      siblings,
      (this.#tasksPerStep.get(siblings) ?? 0) + count,
    );
  }
}

/** Takes resources of a step from an amount. */
export function subtractTasks(
  amounts: MutableResources,
  step: Workflow.StepSpec,
  count: number,
): void {
  if (!step.fills) amounts.cpuMillis -= step.cpuMillis * count;
  amounts.memoryMb -= step.memoryMb * count;
  amounts.accelerators -= step.accelerators * count;
}

/** Whether these tasks fit into a worker's room together. */
export function fitTogether(
  tasks: Iterable<Workflow.Task>,
  total: Workflow.Resources,
): boolean {
  const remaining = { ...total };
  for (const { step } of tasks) subtractTasks(remaining, step, 1);
  return remaining.cpuMillis >= 0 && remaining.memoryMb >= 0 &&
    remaining.accelerators >= 0;
}

/** Gives the resources of one task of a step back. */
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

/** Share of the fleet's capacity that is taken, by the scarcest resource. */
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

/** Whether a worker may run a step now. */
export function isEligible(
  state: WorkerState,
  unit: Workflow.Unit,
): boolean {
  return state.usable && isOfKind(state, unit);
}

/** Whether a worker is of the service and the kind that a step needs. */
export function isOfKind(state: WorkerState, unit: Workflow.Unit): boolean {
  const { step, workflow } = unit;
  return state.service === workflow.spec.policy.service &&
    (step.label === null || state.labels.has(step.label));
}
