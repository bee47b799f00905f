/** Renders the state of a box that runs workflows as text. */

/** Response to `/state`. */
export interface NodeState {
  readonly node: string;
  readonly ready: boolean;
  readonly configVersion: number | null;
  readonly coordinator: string | null;
  readonly storeSilentMs: number;
  /** Rows of the store that can't be used; not sent by boxes of earlier versions. */
  readonly unusableRows?: number;
  /** Evacuated data centres, in which nothing starts. */
  readonly evacuations: readonly {
    readonly dataCentre: string;
    readonly sinceMs: number;
  }[];
  /** Whether the operator's rows are so outdated that the box starts nothing. */
  readonly mayMissEvacuations: boolean;
  readonly work: {
    readonly token: number;
    readonly workflows: readonly {
      readonly id: string;
      readonly queue: string;
      readonly priority: number;
      readonly state: string;
      readonly tasks: Readonly<Record<string, number>>;
      readonly waitsFor: string | null;
      /** Not sent by boxes of earlier versions. */
      readonly waitsForMs?: number | null;
    }[];
    readonly workers: readonly {
      readonly id: string;
      readonly rack: string;
      readonly usable: boolean;
      readonly runs: readonly string[];
    }[];
    readonly evacuations: readonly {
      readonly dataCentre: string;
      readonly runs: number;
    }[];
    readonly guarantees: {
      readonly paidFor: number;
      readonly open: number;
      readonly short: number;
    };
  } | null;
}

/** Renders the state of a box as readable lines. */
export function describeNode(state: NodeState): string[] {
  const lines = [
    `${state.node}: ${state.ready ? "ready" : "not ready"}, ` +
    `configuration ${state.configVersion ?? "none"}, ` +
    `coordinator ${state.coordinator ?? "none"}, ` +
    `store silent for ${state.storeSilentMs} ms`,
    ...describeRows(state),
    ...describeEvacuations(state),
  ];
  for (const workflow of state.work?.workflows ?? []) {
    const tasks = Object.entries(workflow.tasks)
      .map(([name, count]) => `${count} ${name}`).join(", ");
    const waits = describeWait(workflow.waitsFor, workflow.waitsForMs ?? null);
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

function describeWait(reason: string | null, forMs: number | null): string {
  if (reason === null) return "";
  return forMs === null
    ? `; waits for ${reason}`
    : `; waits for ${reason} since ${(forMs / 1000).toFixed(1)} s`;
}

function describeRows({ unusableRows = 0 }: NodeState): string[] {
  if (unusableRows === 0) return [];
  return [
    `  rows of the store that can't be used: ${unusableRows}; see its log`,
  ];
}

function describeEvacuations(state: NodeState): string[] {
  const { work } = state;
  const lines = state.evacuations.map(({ dataCentre, sinceMs }) => {
    const since = new Date(sinceMs).toISOString();
    const match = work?.evacuations.find((e) => e.dataCentre === dataCentre);
    const runs = match === undefined
      ? ""
      : `; ${match.runs} runs continue there`;
    return `  data centre ${dataCentre} evacuated since ${since}${runs}`;
  });
  if (state.mayMissEvacuations) {
    lines.push(
      "  starts nothing: the operator's rows have not been read for too long",
    );
  }
  if (lines.length > 0 && work !== null && work.guarantees.short > 0) {
    const { paidFor, open, short } = work.guarantees;
    lines.push(
      `  guarantees: ${paidFor} accelerators paid for, ${open} left, ` +
        `${short} can not be had`,
    );
  }
  return lines;
}
