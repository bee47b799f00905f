/** Status and dump of an owned cell. */
import * as Scheduler from "@cairngate/scheduler";
import type * as Types from "@cairngate/types";
import type * as states from "./cell_state.ts";

/** State of an owned cell for `cairngate dump`. */
export interface CellDump {
  readonly cell: string;
  readonly epoch: number;
  readonly holdover: boolean;
  readonly configVersion: number;
  readonly workers: readonly { name: string; sealed: boolean }[];
  readonly jobs: readonly {
    id: string;
    kind: string;
    state: string;
    attempt: string | null;
    workers: readonly string[];
  }[];
}

/** Describes the state of the cell for operators. */
export function describeStatus(state: states.CellState): Types.CellStatus {
  const { lease, links, scheduler } = state;
  return {
    cell: lease.cell,
    owner: state.ports.box,
    epoch: lease.epoch,
    holdover: lease.isHoldover,
    sealedWorkers: [...links.values()].filter((l) => l.isFenced).length,
    workers: links.size,
    ...Scheduler.describeCell(scheduler),
  };
}

/** Describes the workers and jobs of the cell for `cairngate dump`. */
export function describeDump(state: states.CellState): CellDump {
  const { lease, links, jobs, scheduler } = state;
  return {
    cell: lease.cell,
    epoch: lease.epoch,
    holdover: lease.isHoldover,
    configVersion: state.configVersion,
    workers: [...links.values()].map((link) => ({
      name: link.worker.name,
      sealed: link.isFenced,
    })),
    jobs: [...jobs.values()].map((job) => ({
      id: job.shape.id,
      kind: job.kind,
      state: scheduler.get(job.shape.id)?.state ?? "recovering",
      attempt: job.attempt?.id ?? null,
      workers: job.attempt?.workers ?? [],
    })),
  };
}
