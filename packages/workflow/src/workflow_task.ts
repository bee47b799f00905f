/** One task and the place where it runs, whatever else its workflow is. */
import * as budgets from "./restart_budget.ts";
import * as histories from "./run_history.ts";
import type * as spec from "./spec.ts";
import * as states from "./task_state.ts";

/** What a task knows of its workflow. */
export interface TaskOwner {
  readonly spec: spec.WorkflowSpec;
}

/** One task of a workflow `W`. Mutable; owned by its workflow. */
export class WorkflowTask<W extends TaskOwner = TaskOwner> {
  readonly workflow: W;
  readonly round: number;
  readonly stepIndex: number;
  readonly index: number;
  readonly step: spec.StepSpec;
  state = states.TaskState.Waiting;
  /** Number of the newest run; 0 before the first. */
  run = 0;
  /** Worker of the newest run; null while the task runs nowhere. */
  worker: string | null = null;
  /** Birth of that worker's life; null: not told, or not known. */
  bornMs: number | null = null;
  /** Address of that worker; null: not told, or not known. */
  address: string | null = null;
  failures = 0;
  /** Monotonic time of its newest failure; where an earlier term saw it: never. */
  failedAtMs = Number.NEGATIVE_INFINITY;
  /** Time from the newest start to that failure, in ms. */
  failedAfterMs = 0;
  /** Workers that have crashed under it. */
  crashes = budgets.NO_CRASHES;
  /**
   * Starts after a third possible crash that ended by a stop or with their gang: users
   * count them as they count those that end in a crash.
   */
  spentStarts = 0;
  /** Runs whose endpoints are neither heard nor listed any more. */
  goneRuns = 0;
  /** Runs that counted towards giving it up, or might have. */
  history = histories.NO_HISTORY;
  /** Runs that were stopped because they were slow. */
  slowRuns = 0;
  /** Stops of its runs for other work, as far as this coordinator knows. */
  stopsForOthers = 0;
  /** Newest run that a worker has confirmed; kept for suspects only. */
  confirmedRun = 0;
  /**
   * Time of day by which that run is done, as it was known when a worker confirmed
   * it; null: an earlier version did not keep it.
   */
  confirmedEndsAtWallMs: number | null = null;
  /** Newest checkpoint; empty for none. */
  checkpoint = "";
  /** Monotonic time of the newest start. */
  startedAtMs = 0;
  /** Monotonic time at which the newest run ends by its pace; null: not known. */
  endsAtMs: number | null = null;
  /** Monotonic time since which the task waits. */
  waitingSinceMs = 0;

  constructor(
    workflow: W,
    place: { round: number; stepIndex: number; index: number },
  ) {
    this.workflow = workflow;
    this.round = place.round;
    this.stepIndex = place.stepIndex;
    this.index = place.index;
    this.step = workflow.spec.steps[place.stepIndex];
  }

  /** Name of its step and round within the workflow. */
  get stepKey(): string {
    return `${this.round}.${this.stepIndex}`;
  }

  /** Name of the task within its workflow. */
  get key(): string {
    return `${this.stepKey}.${this.index}`;
  }

  /** Name of the task for workers. */
  get name(): string {
    return `${this.workflow.spec.id}.${this.key}`;
  }

  /** Whether a worker may hold a run of this task. */
  get isPlaced(): boolean {
    return this.worker !== null;
  }

  /** Whether an endpoint may have crashed under it, so that it may crash others. */
  get isSuspect(): boolean {
    return this.crashes.laid + this.crashes.unseen + this.goneRuns > 0;
  }

  /** Ends of its runs that were crashes of endpoints, or may have been. */
  get possibleCrashes(): number {
    return budgets.countPossibleCrashes(this.crashes, this.goneRuns);
  }

  /** Whether none of the starts that it has left may be spent without need. */
  get hasFewStarts(): boolean {
    return budgets.hasFewStarts(this.possibleCrashes);
  }

  /** The end of a run whose endpoint was neither heard nor listed is a doubt no more. */
  withdrawGone(): void {
    this.goneRuns--;
    if (!this.hasFewStarts) this.spentStarts = 0;
  }

  /** Takes a run into its history. */
  note(entry: histories.RunEntry): void {
    this.history = histories.addEntry(this.history, entry);
  }

  /** Gives the task a place under a new run number. */
  place(
    worker: string,
    run: number,
    nowMs: number,
    bornMs: number | null = null,
    address: string | null = null,
  ): void {
    this.state = states.TaskState.Starting;
    this.worker = worker;
    this.bornMs = bornMs;
    this.address = address;
    this.run = run;
    this.startedAtMs = nowMs;
    this.endsAtMs = null;
  }

  /** The task runs nowhere any more. */
  release(nowMs: number): void {
    this.worker = null;
    this.bornMs = null;
    this.address = null;
    this.waitingSinceMs = nowMs;
    if (this.state !== states.TaskState.Done) {
      this.state = states.TaskState.Waiting;
    }
  }
}
