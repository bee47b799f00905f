/** Renders the state of one workflow as text. */

/** Response to `/state/{id}`. */
export interface WorkflowReport {
  readonly id: string;
  readonly state: string;
  /** Null unless the workflow was given up. */
  readonly giveUp: GiveUpReport | null;
}

/** Why a workflow was given up. */
export interface GiveUpReport {
  readonly reason: string;
  readonly task: string;
  /** Number of the task's newest run. */
  readonly run: number;
  readonly failures: number;
  readonly crashes: {
    readonly laid: number;
    readonly excused: number;
    readonly unseen: number;
  };
  /** Null if an earlier version gave the workflow up without storing the runs. */
  readonly runs: readonly { readonly sentence: string }[] | null;
  /** Whether further runs may have contributed. */
  readonly isPartial: boolean;
}

/** Indices of a task within its workflow, appended to the workflow's id. */
const TASK_SUFFIX = /(\.\d+){3}$/;

/** Returns the workflow's id for the id of a workflow or of a task. */
export function workflowIdOf(id: string): string {
  return id.replace(TASK_SUFFIX, "");
}

/** Renders a workflow as readable lines. */
export function renderWorkflow(
  { id, state, giveUp }: WorkflowReport,
): string[] {
  if (giveUp === null) {
    return [`Workflow ${id} is ${state}; it was not given up.`];
  }
  const { reason, task, run, failures, crashes } = giveUp;
  return [
    `Workflow ${id} is ${state}.`,
    `It was given up for ${reason} of ${task}, last with run ${run}: ` +
    `${failures} runs failed, ${crashes.laid} crashes are attributed to it, ` +
    `${crashes.excused} are excused, and in ${crashes.unseen} nothing proved ` +
    "that the run had started.",
    ...renderRuns(giveUp),
  ];
}

function renderRuns({ runs, isPartial }: GiveUpReport): string[] {
  if (runs === null) {
    return [
      "  An earlier version gave it up and stored no list of runs; the logs " +
      "of that time may contain them.",
    ];
  }
  const lines = runs.map(({ sentence }) => `  ${sentence}`);
  return isPartial
    ? [
      ...lines,
      "  More runs may have counted: they were too many to store, or were " +
      "handled by an earlier coordinator.",
    ]
    : lines;
}
