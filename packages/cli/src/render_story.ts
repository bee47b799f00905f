/** What a node tells of one workflow, as lines for people. */

/** A workflow as a node tells of it. */
export interface WorkflowReport {
  readonly id: string;
  readonly state: string;
  /** Null where it was not given up. */
  readonly giveUp: GiveUpReport | null;
}

/** Why it was given up. */
export interface GiveUpReport {
  readonly reason: string;
  readonly task: string;
  /** The newest run of the task. */
  readonly run: number;
  readonly failures: number;
  readonly crashes: {
    readonly laid: number;
    readonly excused: number;
    readonly unseen: number;
  };
  /** Null where an earlier version kept none. */
  readonly runs: readonly { readonly sentence: string }[] | null;
  /** More runs may have counted. */
  readonly isPartial: boolean;
}

/** Places of a task within its workflow, behind the id of the workflow. */
const TASK_SUFFIX = /(\.\d+){3}$/;

/** The workflow that an id of a workflow or of a task names. */
export function workflowIdOf(id: string): string {
  return id.replace(TASK_SUFFIX, "");
}

/** Lines for people. */
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
    `${failures} runs failed, ${crashes.laid} crashes are laid to it, ` +
    `${crashes.excused} are excused, with ${crashes.unseen} nothing has shown ` +
    "its run.",
    ...renderRuns(giveUp),
  ];
}

function renderRuns({ runs, isPartial }: GiveUpReport): string[] {
  if (runs === null) {
    return [
      "  An earlier version gave it up and kept no list of runs; the logs of " +
      "that time may tell them.",
    ];
  }
  const lines = runs.map(({ sentence }) => `  ${sentence}`);
  return isPartial
    ? [
      ...lines,
      "  More runs may have counted: they were too many, or an earlier " +
      "coordinator saw them.",
    ]
    : lines;
}
