/** A report of the end of a run, as passed to a workflow. */
import type * as budgets from "./restart_budget.ts";
import type * as histories from "./run_history.ts";
import type * as taskStates from "./task_state.ts";
import type * as workflowTasks from "./workflow_task.ts";

/** The end of a run and the evidence about it. */
export interface RunEndDetails {
  readonly run: number;
  readonly how: taskStates.RunEnd;
  readonly checkpoint: string;
  /** Endpoint of the run; if omitted, the endpoint where the task is placed. */
  readonly endpoint?: string;
  /** For a crash: evidence on whether the task caused it. */
  readonly crash?: budgets.CrashEvidence;
  /**
   * Crashes of earlier incarnations of the endpoint to which copies of the start may
   * have been delivered; omitted if there were none.
   */
  readonly earlierCrashes?: readonly budgets.CrashEvidence[];
  /** For a lost run: its outcome may still be reported. */
  readonly isUnresolved?: boolean;
  /**
   * Monotonic time since which it was being stopped; null or omitted if it was not.
   */
  readonly stoppingSinceMs?: number | null;
  /** For a lost run: how certain it is that the run was on its endpoint. */
  readonly presence?: budgets.Presence;
}

/** The outcome as an entry of the task's history. */
export function toOutcome(
  { endpoint: taskEndpoint }: Pick<workflowTasks.WorkflowTask, "endpoint">,
  { run, how, endpoint }: RunEndDetails,
): histories.RunOutcome {
  return { run, how, endpoint: endpoint ?? taskEndpoint ?? "" };
}
