/** The workers of one cell, numbered so that racks are adjacent. */
import * as Placement from "@cairngate/placement";
import type * as Types from "@cairngate/types";

/** A worker with its place in the cell. */
export interface CellWorker extends Types.WorkerSpec {
  readonly index: number;
  readonly rack: number;
}

/** What the scheduler needs to know of a cell. */
export interface CellLayout {
  readonly cell: string;
  readonly racks: readonly string[];
  /** Sparse: index is rack * 8 + place in the rack. */
  readonly workers: readonly (CellWorker | undefined)[];
  readonly teams: readonly Types.TeamSpec[];
  readonly weighting: Types.Weighting;
}

/** Numbers the workers of a cell. */
export function createCellLayout(
  cfg: Types.DeploymentConfig,
  cellName: string,
): CellLayout {
  const cell = cfg.cells.find((c) => c.name === cellName);
  const names = cell?.racks ?? [];
  const workers: (CellWorker | undefined)[] = new Array(
    names.length * Placement.WORKERS_PER_RACK,
  ).fill(undefined);
  names.forEach((name, rack) => {
    const spec = cfg.racks.find((r) => r.name === name);
    spec?.workers.forEach((worker, position) => {
      const index = rack * Placement.WORKERS_PER_RACK + position;
      workers[index] = { ...worker, index, rack };
    });
  });
  return {
    cell: cellName,
    racks: names,
    workers,
    teams: cfg.teams.filter((team) => team.cell === cellName),
    weighting: cfg.weighting,
  };
}

/** Index of a worker by name; -1 where the cell has none of that name. */
export function findWorkerIndex(layout: CellLayout, name: string): number {
  return layout.workers.findIndex((worker) => worker?.name === name);
}
