/** The end of a run, as a workflow is told of it. */
import type * as budgets from "./restart_budget.ts";
import type * as histories from "./run_history.ts";
import type * as taskStates from "./task_state.ts";
import type * as workflowTasks from "./workflow_task.ts";

/** The end of a run, as it is known. */
export interface EndOfRun {
  readonly run: number;
  readonly how: taskStates.RunEnd;
  readonly checkpoint: string;
  /** Where it ran; left out: where the task is placed. */
  readonly endpoint?: string;
  /** Of a crash: what is known of who is to blame. */
  readonly crash?: budgets.CrashEvidence;
  /** Of a lost run: how it ended may still be told. */
  readonly isOpen?: boolean;
  /** Our time since which it was being stopped; null or left out: it was not. */
  readonly stoppingSinceMs?: number | null;
  /** Of a lost run: how sure it is that its endpoint had it. */
  readonly presence?: budgets.Presence;
}

/** An end for the history of a task. */
export function atEnd(
  { worker }: Pick<workflowTasks.WorkflowTask, "worker">,
  { run, how, endpoint }: EndOfRun,
): histories.RunAtEnd {
  return { run, how, endpoint: endpoint ?? worker ?? "" };
}
