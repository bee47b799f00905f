/**
 * All tasks of a workflow. Only tasks in progress have objects, so that a workflow
 * takes the memory of its tasks in progress, not of all tasks of all its rounds.
 */
import * as bitSets from "./bit_set.ts";
import * as histories from "./run_history.ts";
import * as spec from "./spec.ts";
import * as groups from "./task_group.ts";
import * as taskStates from "./task_state.ts";
import type * as workflowTasks from "./workflow_task.ts";

/** A range of tasks in order of rounds, steps and indexes, without `end`. */
export interface TaskRange {
  readonly start: number;
  readonly end: number;
}

/** Place of a task in its workflow. */
interface TaskPlace {
  readonly round: number;
  readonly stepIndex: number;
  readonly index: number;
}

/** Key of a task: round, step and index in decimal digits without leading zeros. */
const TASK_KEY = /^(0|[1-9]\d*)\.(0|[1-9]\d*)\.(0|[1-9]\d*)$/;

/** The tasks of one workflow. */
export class TaskTable<W extends workflowTasks.TaskOwner> {
  /** Number of tasks of all rounds. */
  readonly size: number;
  readonly #spec: spec.WorkflowSpec;
  readonly #rounds: number;
  readonly #tasksPerRound: number;
  /** Position of the first task of each step within its round. */
  readonly #stepStarts: readonly number[];
  /** Done tasks without an object, by position. */
  readonly #retired: bitSets.BitSet;
  /** Groups with tasks that have an object, by position of their first task. */
  readonly #groups = new Map<number, groups.TaskGroup<W>>();
  readonly #context: groups.GroupContext<W>;
  /** Highest recorded run of waiting tasks, by `round.step`. */
  #recordedRuns: Map<string, number> | null = null;
  /** Highest recorded run of waiting tasks of all groups. */
  #highestRecordedRun = 0;
  /** History of the tasks that have no object yet. */
  #initialHistory = histories.NO_HISTORY;
  /** All tasks of earlier rounds are retired. */
  #firstOpenRound = 0;

  constructor(workflow: W) {
    const { steps } = workflow.spec;
    this.#spec = workflow.spec;
    this.#rounds = spec.countRounds(workflow.spec);
    let tasksPerRound = 0;
    this.#stepStarts = steps.map(({ count }) => {
      const start = tasksPerRound;
      tasksPerRound += count;
      return start;
    });
    this.#tasksPerRound = tasksPerRound;
    this.size = this.#rounds * tasksPerRound;
    this.#retired = new bitSets.BitSet(this.size);
    this.#context = {
      workflow,
      retired: this.#retired,
      initialValues: (round, stepIndex) => ({
        run: this.#recordedRunOf(`${round}.${stepIndex}`),
        history: this.#initialHistory,
      }),
    };
  }

  /** Number of groups: steps over all rounds. */
  get groupCount(): number {
    return this.#rounds * this.#stepStarts.length;
  }

  /** Tasks that have an object. */
  *materialized(): Iterable<workflowTasks.WorkflowTask<W>> {
    for (const group of this.#groups.values()) yield* group.materialized;
  }

  /** All tasks in order; creates the objects that are missing. */
  *all(): Iterable<workflowTasks.WorkflowTask<W>> {
    for (let round = 0; round < this.#rounds; round++) {
      for (const stepIndex of this.#stepStarts.keys()) {
        yield* this.group(round, stepIndex).all;
      }
    }
  }

  /** Whether all tasks are done. */
  get isDone(): boolean {
    let count = this.#retired.size;
    for (const task of this.materialized()) {
      if (task.state !== taskStates.TaskState.Done) return false;
      if (!this.#retired.has(this.positionOf(task))) count++;
    }
    return count === this.size;
  }

  /** Positions of the done tasks, ascending. */
  donePositions(): number[] {
    const positions = new Set(this.#retired);
    for (const task of this.materialized()) {
      if (task.state !== taskStates.TaskState.Done) continue;
      positions.add(this.positionOf(task));
    }
    return [...positions].sort((a, b) => a - b);
  }

  /** The tasks of a step in one round. */
  group(round: number, stepIndex: number): groups.TaskGroup<W> {
    const first = this.#startOf(round, stepIndex);
    const existing = this.#groups.get(first);
    if (existing !== undefined) return existing;
    const place = { round, stepIndex, first };
    const group = new groups.TaskGroup(this.#context, place);
    this.#groups.set(first, group);
    return group;
  }

  /** Positions of the tasks of a step in one round. */
  groupRange(round: number, stepIndex: number): TaskRange {
    const start = this.#startOf(round, stepIndex);
    return { start, end: start + this.#spec.steps[stepIndex].count };
  }

  /** Rounds in order, without the first ones whose tasks are all retired. */
  *openRounds(): Iterable<number> {
    while (
      this.#firstOpenRound < this.#rounds &&
      this.#isRoundRetired(this.#firstOpenRound)
    ) this.#firstOpenRound++;
    for (let round = this.#firstOpenRound; round < this.#rounds; round++) {
      if (!this.#isRoundRetired(round)) yield round;
    }
  }

  /** Whether all tasks of a step in one round are done and have no object. */
  isStepRetired(round: number, stepIndex: number): boolean {
    const { start, end } = this.groupRange(round, stepIndex);
    return this.#retired.hasRange(start, end);
  }

  /** Whether all tasks of a step in one round are done. */
  isStepDone(round: number, stepIndex: number): boolean {
    if (this.isStepRetired(round, stepIndex)) return true;
    return this.#groups.get(this.#startOf(round, stepIndex))?.isDone ?? false;
  }

  /** Whether some task of a step, in any round, is neither done nor placed. */
  hasWaitingTask(stepIndex: number): boolean {
    const { count } = this.#spec.steps[stepIndex];
    for (const round of this.openRounds()) {
      const group = this.#groups.get(this.#startOf(round, stepIndex));
      if (group === undefined && !this.isStepRetired(round, stepIndex)) {
        return true;
      }
      for (let i = 0; group !== undefined && i < count; i++) {
        if (group.isWaitingAt(i)) return true;
      }
    }
    return false;
  }

  /** The task with this key; undefined if there is none. */
  find(key: string): workflowTasks.WorkflowTask<W> | undefined {
    const place = this.#parseKey(key);
    if (place === null) return undefined;
    return this.group(place.round, place.stepIndex).task(place.index);
  }

  /** Position of a task among all tasks. */
  positionOf({ round, stepIndex, index }: TaskPlace): number {
    return this.#startOf(round, stepIndex) + index;
  }

  /** The task at a position; creates its object if it has none. */
  at(position: number): workflowTasks.WorkflowTask<W> {
    const { round, stepIndex, index } = this.#placeOf(position);
    return this.group(round, stepIndex).task(index);
  }

  /** Drops the object of a task that is done and no longer placed. */
  retire(task: workflowTasks.WorkflowTask<W>): void {
    const { round, stepIndex } = task;
    const start = this.#startOf(round, stepIndex);
    const group = this.#groups.get(start);
    if (group === undefined) return;
    group.retire(task);
    if (group.isEmpty && this.isStepRetired(round, stepIndex)) {
      this.#groups.delete(start);
    }
  }

  /** Marks the task at a position as done by its record. */
  markDoneAt(position: number): void {
    const { round, stepIndex, index } = this.#placeOf(position);
    const group = this.#groups.get(this.#startOf(round, stepIndex));
    if (group === undefined) this.#retired.add(position);
    else group.markDone(index);
  }

  /**
   * Restores the highest run of waiting tasks, of one group or, where `stepKey` is
   * null, of all.
   */
  restoreRun(stepKey: string | null, run: number): void {
    if (stepKey === null) {
      this.#highestRecordedRun = Math.max(this.#highestRecordedRun, run);
    } else if (this.#parseKey(`${stepKey}.0`) !== null) {
      this.#recordedRuns ??= new Map();
      this.#recordedRuns.set(stepKey, run);
    }
    for (const task of this.materialized()) {
      if (stepKey !== null && task.stepKey !== stepKey) continue;
      task.run = Math.max(task.run, run);
    }
  }

  /** Restored runs that still apply to tasks without an object, by `round.step`. */
  *restoredRuns(): Iterable<readonly [stepKey: string, run: number]> {
    for (const [stepKey, run] of this.#recordedRuns ?? []) {
      const [round, stepIndex] = stepKey.split(".").map(Number);
      if (this.#hasUnusedTask(round, stepIndex)) yield [stepKey, run];
    }
  }

  /** Restored run of all groups; 0 if it applies to no task without an object. */
  get restoredRunOfAll(): number {
    const count =
      [...this.materialized()].filter((task) =>
        !this.#retired.has(this.positionOf(task))
      ).length;
    const hasUnused = count + this.#retired.size < this.size;
    return hasUnused ? this.#highestRecordedRun : 0;
  }

  /** Sets the history of all tasks, those without an object included. */
  restoreHistory(history: histories.RunHistory): void {
    this.#initialHistory = history;
    for (const task of this.materialized()) task.history = history;
  }

  /** History of the tasks that have no object. */
  get initialHistory(): histories.RunHistory {
    return this.#initialHistory;
  }

  /** Whether a task of a group is not done and has no object. */
  #hasUnusedTask(round: number, stepIndex: number): boolean {
    const group = this.#groups.get(this.#startOf(round, stepIndex));
    if (group === undefined) return !this.isStepRetired(round, stepIndex);
    return group.hasUnusedTask;
  }

  #startOf(round: number, stepIndex: number): number {
    return round * this.#tasksPerRound + this.#stepStarts[stepIndex];
  }

  #recordedRunOf(stepKey: string): number {
    return Math.max(
      this.#highestRecordedRun,
      this.#recordedRuns?.get(stepKey) ?? 0,
    );
  }

  #isRoundRetired(round: number): boolean {
    const start = round * this.#tasksPerRound;
    return this.#retired.hasRange(start, start + this.#tasksPerRound);
  }

  #parseKey(key: string): TaskPlace | null {
    const match = TASK_KEY.exec(key);
    if (match === null) return null;
    const [round, stepIndex, index] = match.slice(1).map(Number);
    const step = this.#spec.steps[stepIndex];
    if (round >= this.#rounds || step === undefined) return null;
    return index < step.count ? { round, stepIndex, index } : null;
  }

  #placeOf(position: number): TaskPlace {
    const round = Math.floor(position / this.#tasksPerRound);
    const inRound = position % this.#tasksPerRound;
    const stepIndex = this.#stepStarts.findLastIndex((start) =>
      start <= inRound
    );
    return { round, stepIndex, index: inRound - this.#stepStarts[stepIndex] };
  }
}
