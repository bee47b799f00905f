/** One task and its placement, independent of the type of its workflow. */
import * as budgets from "./restart_budget.ts";
import * as histories from "./run_history.ts";
import type * as spec from "./spec.ts";
import * as states from "./task_state.ts";

/** The part of a workflow that its tasks use. */
export interface TaskOwner {
  readonly spec: spec.WorkflowSpec;
}

/** One task of a workflow `W`. Mutable and owned by its workflow. */
export class WorkflowTask<W extends TaskOwner = TaskOwner> {
  readonly workflow: W;
  readonly round: number;
  readonly stepIndex: number;
  readonly index: number;
  readonly step: spec.StepSpec;
  state = states.TaskState.Waiting;
  /** Number of the newest run; 0 before the first. */
  run = 0;
  /** Endpoint of the newest run; null while the task is not placed. */
  endpoint: string | null = null;
  /** Start time of that endpoint process; null if unknown. */
  bornMs: number | null = null;
  /** Address of that endpoint; null if unknown. */
  address: string | null = null;
  failures = 0;
  /**
   * Monotonic time of its newest failure; negative infinity if there was none or an
   * earlier coordinator counted it.
   */
  failedAtMs = Number.NEGATIVE_INFINITY;
  /** Time from the newest start to that failure, in ms. */
  failedAfterMs = 0;
  /** Starts since the last confirmed run whose tickets were rejected. */
  ticketRejections = 0;
  /** Monotonic time of the newest of them; negative infinity if there was none. */
  ticketRejectedAtMs = Number.NEGATIVE_INFINITY;
  /** Endpoint crashes under the task. */
  crashes = budgets.NO_CRASHES;
  /**
   * Starts after a third possible crash that ended in a stop or with their gang.
   * Users count them like starts that end in a crash.
   */
  spentStarts = 0;
  /** Runs whose endpoints are neither reachable nor listed any more. */
  goneRuns = 0;
  /** Runs that counted towards giving it up, or might have. */
  history = histories.NO_HISTORY;
  /** Runs that were stopped because they were slow. */
  slowRuns = 0;
  /** Preemptions of its runs, as far as this coordinator knows. */
  preemptions = 0;
  /** Newest run that an endpoint has confirmed; kept only for crash suspects. */
  confirmedRun = 0;
  /**
   * Wall-clock time by which that run is done, as estimated when it was confirmed;
   * null if an earlier version stored none.
   */
  confirmedEndsAtWallMs: number | null = null;
  /** Newest checkpoint; empty if there is none. */
  checkpoint = "";
  /** Monotonic time of the newest start. */
  startedAtMs = 0;
  /**
   * Monotonic time at which the newest run ends at its current pace; null if
   * unknown.
   */
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

  /** Key of its step and round within the workflow. */
  get stepKey(): string {
    return `${this.round}.${this.stepIndex}`;
  }

  /** Key of the task within its workflow. */
  get key(): string {
    return `${this.stepKey}.${this.index}`;
  }

  /** Name of the task, as used in messages to endpoints. */
  get name(): string {
    return `${this.workflow.spec.id}.${this.key}`;
  }

  /** Whether a run of this task may be on an endpoint. */
  get isPlaced(): boolean {
    return this.endpoint !== null;
  }

  /** Whether an endpoint may have crashed under it, so that it may crash others. */
  get isSuspect(): boolean {
    return this.crashes.laid + this.crashes.unseen + this.goneRuns > 0;
  }

  /** Ends of its runs that were crashes of endpoints, or may have been. */
  get possibleCrashes(): number {
    return budgets.countPossibleCrashes(this.crashes, this.goneRuns);
  }

  /** Whether none of the starts that it has left should be wasted. */
  get isNearStartLimit(): boolean {
    return budgets.isNearStartLimit(this.possibleCrashes);
  }

  /** Removes one possible crash: the end of a gone run is resolved. */
  withdrawGoneRun(): void {
    this.goneRuns--;
    if (!this.isNearStartLimit) this.spentStarts = 0;
  }

  /** Adds a run to its history. */
  addHistoryEntry(entry: histories.RunEntry): void {
    this.history = histories.addEntry(this.history, entry);
  }

  /** Places the task on an endpoint under a new run number. */
  place(
    endpoint: string,
    run: number,
    nowMs: number,
    bornMs: number | null = null,
    address: string | null = null,
  ): void {
    this.state = states.TaskState.Starting;
    this.endpoint = endpoint;
    this.bornMs = bornMs;
    this.address = address;
    this.run = run;
    this.startedAtMs = nowMs;
    this.endsAtMs = null;
  }

  /** Notes that an endpoint has rejected the ticket of the newest start. */
  noteTicketRejection(nowMs: number): void {
    this.ticketRejections++;
    this.ticketRejectedAtMs = nowMs;
  }

  /** Marks the task as no longer placed. */
  release(nowMs: number): void {
    this.endpoint = null;
    this.bornMs = null;
    this.address = null;
    this.waitingSinceMs = nowMs;
    if (this.state !== states.TaskState.Done) {
      this.state = states.TaskState.Waiting;
    }
  }
}
