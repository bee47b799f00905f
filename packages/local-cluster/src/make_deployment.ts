/** Generates deployment files of any size for drills and measurements. */
import * as Yaml from "yaml";

/** Name, size and ports of a generated deployment. */
export interface DeploymentSize {
  readonly name: string;
  readonly workers: number;
  readonly teams: number;
  readonly cells: number;
  /** Port of worker 0; worker i listens on 127.0.0.1 at this port plus i. */
  readonly firstWorkerPort: number;
}

const WORKERS_PER_RACK = 8;
const ACCELERATORS = 8;

/** Returns the text of a deployment file with racks of 8 workers and four services. */
export function makeDeployment(shape: DeploymentSize): string {
  const racks = makeRacks(shape);
  const cells = Array.from({ length: shape.cells }, (_, i) => ({
    name: `cell_${i}`,
    racks: racks.map((rack) => rack.name)
      .filter((_, j) => j % shape.cells === i),
  }));
  return Yaml.stringify({
    name: shape.name,
    weighting: { completionTime: 0.8, fragmentation: 0.2 },
    racks,
    cells,
    teams: makeTeams(shape),
    services: makeServices(),
  });
}

function makeRacks(shape: DeploymentSize) {
  const count = Math.ceil(shape.workers / WORKERS_PER_RACK);
  return Array.from({ length: count }, (_, rack) => ({
    name: `rack_${rack}`,
    dataCentre: `dc_${rack % 3}`,
    workers: Array.from(
      { length: Math.min(8, shape.workers - rack * WORKERS_PER_RACK) },
      (_, position) => {
        const index = rack * WORKERS_PER_RACK + position;
        return {
          name: `worker_${index}`,
          endpoint: `127.0.0.1:${shape.firstWorkerPort + index}`,
          accelerators: ACCELERATORS,
        };
      },
    ),
  }));
}

function makeTeams(shape: DeploymentSize) {
  const tiers = ["urgent", "urgent", "standard", "batch"];
  const total = shape.workers * ACCELERATORS;
  const perTeam = Math.floor(total / shape.teams / 2 / ACCELERATORS);
  return Array.from({ length: shape.teams }, (_, i) => ({
    name: `team_${i}`,
    tier: tiers[i % tiers.length],
    cell: `cell_${i % shape.cells}`,
    guarantee: perTeam > 0 ? [{ accelerators: 8, count: perTeam }] : [],
    quota: total,
  }));
}

function makeServices() {
  return [
    {
      name: "scan",
      kind: "short",
      tier: "urgent",
      work: "fault_scan",
      repeatable: false,
      estimateSeconds: 1,
      deadlineSeconds: 20,
    },
    {
      name: "diagnose",
      kind: "short",
      tier: "urgent",
      work: "fault_scan",
      repeatable: true,
      estimateSeconds: 1,
      deadlineSeconds: 20,
    },
    {
      name: "rebuild",
      kind: "long",
      tier: "standard",
      work: "yield_map",
      repeatable: true,
      estimateSeconds: 60,
      checkpointSeconds: 1,
    },
    {
      name: "once",
      kind: "long",
      tier: "batch",
      work: "settlement",
      repeatable: false,
      estimateSeconds: 10,
    },
  ];
}
