/** The state of a workflow node as lines for people. */

/** What a node tells of itself. */
export interface NodeState {
  readonly node: string;
  readonly ready: boolean;
  readonly configVersion: number | null;
  readonly coordinator: string | null;
  readonly storeSilentMs: number;
  readonly work: {
    readonly token: number;
    readonly workflows: readonly {
      readonly id: string;
      readonly queue: string;
      readonly priority: number;
      readonly state: string;
      readonly tasks: Readonly<Record<string, number>>;
      readonly waitsFor: string | null;
    }[];
    readonly workers: readonly {
      readonly id: string;
      readonly rack: string;
      readonly usable: boolean;
      readonly runs: readonly string[];
    }[];
  } | null;
}

/** Lines for people. */
export function describeNode(state: NodeState): string[] {
  const lines = [
    `${state.node}: ${state.ready ? "ready" : "not ready"}, ` +
    `configuration ${state.configVersion ?? "none"}, ` +
    `coordinator ${state.coordinator ?? "none"}, ` +
    `store silent for ${state.storeSilentMs} ms`,
  ];
  for (const workflow of state.work?.workflows ?? []) {
    const tasks = Object.entries(workflow.tasks)
      .map(([name, count]) => `${count} ${name}`).join(", ");
    const waits = workflow.waitsFor === null
      ? ""
      : `; waits for ${workflow.waitsFor}`;
    lines.push(
      `  ${workflow.id} ${workflow.queue} priority ${workflow.priority} ` +
        `${workflow.state}: ${tasks}${waits}`,
    );
  }
  for (const worker of state.work?.workers ?? []) {
    const usable = worker.usable ? "" : " not usable";
    lines.push(
      `  worker ${worker.id} in ${worker.rack}${usable}: ` +
        `${worker.runs.length} runs`,
    );
  }
  return lines;
}
