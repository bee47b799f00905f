/** The tasks of one step in one round. */
import type * as bitSets from "./bit_set.ts";
import type * as histories from "./run_history.ts";
import type * as spec from "./spec.ts";
import * as taskStates from "./task_state.ts";
import * as workflowTasks from "./workflow_task.ts";

/** What all groups of a workflow share. */
export interface GroupContext<W extends workflowTasks.TaskOwner> {
  readonly workflow: W;
  /** Done tasks whose objects were dropped, by position in the workflow. */
  readonly retired: bitSets.BitSet;
  /** Returns the values with which a task begins that was not recorded one by one. */
  readonly initialValues: (round: number, stepIndex: number) => InitialValues;
}

/** Values of a task that an earlier coordinator recorded for many tasks together. */
export interface InitialValues {
  readonly run: number;
  readonly history: histories.RunHistory;
}

/** Where a group is in its workflow. */
export interface GroupPlace {
  readonly round: number;
  readonly stepIndex: number;
  /** Position of its first task among all tasks of the workflow. */
  readonly first: number;
}

/**
 * The tasks of one step in one round. A task has an object from its first use until it
 * is done and no longer placed; the others only count.
 */
export class TaskGroup<W extends workflowTasks.TaskOwner> {
  readonly place: GroupPlace;
  readonly step: spec.StepSpec;
  readonly #context: GroupContext<W>;
  readonly #tasks = new Map<number, workflowTasks.WorkflowTask<W>>();
  /** All tasks, while each of them has an object; null until they are requested. */
  #all: readonly workflowTasks.WorkflowTask<W>[] | null = null;

  constructor(context: GroupContext<W>, place: GroupPlace) {
    this.#context = context;
    this.place = place;
    this.step = context.workflow.spec.steps[place.stepIndex];
  }

  /** Tasks that have an object, in order of their first use. */
  get materialized(): Iterable<workflowTasks.WorkflowTask<W>> {
    return this.#tasks.values();
  }

  /** Whether no task has an object. */
  get isEmpty(): boolean {
    return this.#tasks.size === 0;
  }

  /** Whether a task is not done and has no object. */
  get hasUnusedTask(): boolean {
    for (let index = 0; index < this.step.count; index++) {
      if (!this.#tasks.has(index) && !this.#isRetired(index)) return true;
    }
    return false;
  }

  /** All tasks, in order; creates the objects that are missing. */
  get all(): readonly workflowTasks.WorkflowTask<W>[] {
    this.#all ??= Array.from(
      { length: this.step.count },
      (_, index) => this.task(index),
    );
    return this.#all;
  }

  /** Whether all tasks are done. */
  get isDone(): boolean {
    return this.#hasOnly((index) => this.#isDoneAt(index));
  }

  /** Whether all tasks wait for a start. */
  get isWaiting(): boolean {
    return this.#hasOnly((index) => this.isWaitingAt(index));
  }

  /** The task with this index; creates its object if it has none. */
  task(index: number): workflowTasks.WorkflowTask<W> {
    const existing = this.#tasks.get(index);
    if (existing !== undefined) return existing;
    const { workflow, initialValues } = this.#context;
    const { round, stepIndex } = this.place;
    const place = { round, stepIndex, index };
    const task = new workflowTasks.WorkflowTask(workflow, place);
    const { run, history } = initialValues(round, stepIndex);
    task.run = run;
    task.history = history;
    if (this.#isRetired(index)) task.state = taskStates.TaskState.Done;
    this.#tasks.set(index, task);
    return task;
  }

  /** Whether a task waits for a start. */
  isWaitingAt(index: number): boolean {
    const task = this.#tasks.get(index);
    if (task === undefined) return !this.#isRetired(index);
    return task.state === taskStates.TaskState.Waiting && !task.isPlaced;
  }

  /**
   * Drops the objects of tasks that are done and no longer placed. Members of a gang
   * are dropped together, because the end of one depends on those of the others.
   */
  retire(task: workflowTasks.WorkflowTask<W>): void {
    if (this.#tasks.get(task.index) !== task) return;
    const unit = this.step.gang ? this.all : [task];
    if (!unit.every(isSettled)) return;
    this.#all = null;
    for (const { index } of unit) {
      this.#context.retired.add(this.place.first + index);
      this.#tasks.delete(index);
    }
  }

  /** Marks a task as done by its record. */
  markDone(index: number): void {
    const task = this.#tasks.get(index);
    if (task !== undefined) task.state = taskStates.TaskState.Done;
    else this.#context.retired.add(this.place.first + index);
  }

  #isRetired(index: number): boolean {
    return this.#context.retired.has(this.place.first + index);
  }

  #isDoneAt(index: number): boolean {
    const task = this.#tasks.get(index);
    if (task === undefined) return this.#isRetired(index);
    return task.state === taskStates.TaskState.Done;
  }

  #hasOnly(holds: (index: number) => boolean): boolean {
    for (let index = 0; index < this.step.count; index++) {
      if (!holds(index)) return false;
    }
    return true;
  }
}

function isSettled(task: workflowTasks.WorkflowTask): boolean {
  return task.state === taskStates.TaskState.Done && !task.isPlaced;
}
