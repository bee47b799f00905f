/** One task of a workflow and the place where it runs. */
import type * as openEnds from "./open_ends.ts";
import type * as workflows from "./workflow.ts";
import type * as workflowTasks from "./workflow_task.ts";

export { RunEnd, TaskState } from "./task_state.ts";

/** One task. */
export type Task = workflowTasks.WorkflowTask<workflows.Workflow>;

/** A run of a task whose end is not known. */
export type OpenEnd = openEnds.OpenEnd<Task>;
