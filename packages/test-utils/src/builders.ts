/** Builders for small deployments and jobs. */
import * as Types from "@cairngate/types";
import * as Yaml from "yaml";

/** Builds a team; the guarantee is a list of [accelerators, count]. */
export function buildTeam(
  name: string,
  options: {
    tier?: Types.Tier;
    guarantee?: readonly (readonly [number, number])[];
    quota?: number;
    cell?: string;
    waitingLimit?: number;
  } = {},
): Types.TeamSpec {
  return {
    name,
    tier: options.tier ?? Types.Tier.Urgent,
    guarantee: (options.guarantee ?? []).map(([accelerators, count]) => ({
      accelerators,
      count,
    })),
    cell: options.cell ?? "cell",
    quota: options.quota ?? 10_000,
    waitingLimit: options.waitingLimit ?? 1000,
  };
}

/** Builds a deployment of one cell whose endpoints have 8 accelerators each. */
export function buildDeployment(
  options: {
    racks?: number;
    workersPerRack?: number;
    teams?: readonly Types.TeamSpec[];
    weighting?: Types.Weighting;
  } = {},
): Types.DeploymentConfig {
  const rackCount = options.racks ?? 1;
  const perRack = options.workersPerRack ?? 8;
  const racks = Array.from({ length: rackCount }, (_, r) => ({
    name: `rack_${r}`,
    dataCentre: "dc",
    workers: Array.from({ length: perRack }, (_, w) => ({
      name: `w${r * perRack + w}`,
      endpoint: `127.0.0.1:${5000 + r * perRack + w}`,
      accelerators: 8,
    })),
  }));
  return {
    name: "test",
    weighting: options.weighting ?? { completionTime: 0.5, fragmentation: 0.5 },
    racks,
    cells: [{ name: "cell", racks: racks.map((rack) => rack.name) }],
    teams: options.teams ?? [buildTeam("a"), buildTeam("b")],
    services: [
      buildService("scan", Types.ServiceKind.Short, false),
      buildService("diagnose", Types.ServiceKind.Short, true),
      buildService("rebuild", Types.ServiceKind.Long, true),
      buildService("once", Types.ServiceKind.Long, false),
    ],
  };
}

function buildService(
  name: string,
  kind: Types.ServiceKind,
  repeatable: boolean,
): Types.ServiceSpec {
  const isShort = kind === Types.ServiceKind.Short;
  return {
    name,
    kind,
    tier: isShort ? Types.Tier.Urgent : Types.Tier.Batch,
    work: "fault_scan",
    repeatable,
    accelerators: 1,
    gang: 1,
    adjacency: Types.Adjacency.Rack,
    estimateSeconds: isShort ? 1 : 60,
    checkpointSeconds: repeatable && !isShort ? 1 : null,
    deadlineSeconds: isShort ? 20 : null,
  };
}

/** Builds a job of team a on one accelerator; `changes` override the defaults. */
export function buildJobShape(
  id: string,
  changes: Partial<Types.JobShape> = {},
): Types.JobShape {
  return {
    id,
    team: "a",
    service: "rebuild",
    tier: Types.Tier.Standard,
    accelerators: 1,
    gang: 1,
    adjacency: Types.Adjacency.Rack,
    estimateMs: 60_000,
    repeatable: true,
    checkpointMs: 1000,
    submittedAtMs: 0,
    deadlineAtMs: null,
    ...changes,
  };
}

/** Prints a deployment as the YAML file of an operator; null fields are left out. */
export function printDeployment(cfg: Types.DeploymentConfig): string {
  const plain = JSON.stringify(
    cfg,
    (_, value) => value === null ? undefined : value,
  );
  return Yaml.stringify(JSON.parse(plain));
}
