/** The task type of a workflow. */
import type * as taskGroups from "./task_group.ts";
import type * as unresolvedRuns from "./unresolved_runs.ts";
import type * as workflows from "./workflow.ts";
import type * as workflowTasks from "./workflow_task.ts";

export { RunEnd, TaskState } from "./task_state.ts";

/** One task of a workflow. */
export type Task = workflowTasks.WorkflowTask<workflows.Workflow>;

/** The tasks of one step of a workflow in one round. */
export type TaskGroup = taskGroups.TaskGroup<workflows.Workflow>;

/** A run of a task whose outcome is not known. */
export type UnresolvedRun = unresolvedRuns.UnresolvedRun<Task>;
