/** The workers of one cell, indexed rack by rack. */
import * as Placement from "@cairngate/placement";
import type * as Types from "@cairngate/types";

/** A worker with its index and its rack in the cell. */
export interface CellWorker extends Types.WorkerSpec {
  readonly index: number;
  readonly rack: number;
}

/** The part of the configuration that the scheduler of a cell needs. */
export interface CellLayout {
  readonly cell: string;
  readonly racks: readonly string[];
  /** Indexed by rack * 8 + position in the rack; undefined where there is none. */
  readonly workers: readonly (CellWorker | undefined)[];
  readonly teams: readonly Types.TeamSpec[];
  readonly weighting: Types.Weighting;
}

/** Creates the layout of a cell from the configuration. */
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

/** Index of the worker of a name; -1 if the cell has none. */
export function findWorkerIndex(layout: CellLayout, name: string): number {
  return layout.workers.findIndex((worker) => worker?.name === name);
}
