/** The schema of operators' files and the checks of references within them. */
import * as Errors from "@cairngate/errors";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as Schema from "effect/Schema";
import * as decoding from "./decode_yaml.ts";

const MAX_ACCELERATORS = 8;
const MAX_WORKERS_PER_RACK = 8;
const MAX_GANG = 64;
const NAME_PATTERN = /^[a-z0-9][a-z0-9_.-]{0,62}$/;

const Name = Schema.String.check(
  Schema.isPattern(NAME_PATTERN, {
    message: "Expected a name of a-z, 0-9, _, . and -, 63 characters at most",
  }),
);
const Endpoint = Schema.String.check(
  Schema.isPattern(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, {
    message: "Expected an IP address and a port, such as 127.0.0.1:7000",
  }),
);
const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));
const Positive = Schema.Int.check(Schema.isGreaterThanOrEqualTo(1));
const Seconds = Schema.Number.check(Schema.isGreaterThan(0));
const Fraction = Schema.Number.check(
  Schema.isBetween({ minimum: 0, maximum: 1 }),
);
const Accelerators = Schema.Int.check(
  Schema.isBetween({ minimum: 1, maximum: MAX_ACCELERATORS }),
);
const TierSchema = Schema.Enum(Types.Tier);

const WorkerSchema = Schema.Struct({
  name: Name,
  endpoint: Endpoint,
  accelerators: Accelerators,
});

const RackSchema = Schema.Struct({
  name: Name,
  dataCentre: Name,
  workers: Schema.Array(WorkerSchema).check(
    Schema.isMaxLength(MAX_WORKERS_PER_RACK),
  ),
});

const TeamSchema = Schema.Struct({
  name: Name,
  tier: TierSchema,
  guarantee: Schema.Array(Schema.Struct({
    accelerators: Schema.Literals([1, 2, 4, 8, 16, 32, 64]),
    count: Positive,
  })),
  cell: Schema.optionalKey(Name),
  quota: Count,
  waitingLimit: Schema.optionalKey(Positive),
});

const ServiceSchema = Schema.Struct({
  name: Name,
  kind: Schema.Enum(Types.ServiceKind),
  tier: TierSchema,
  work: Name,
  repeatable: Schema.Boolean,
  accelerators: Schema.optionalKey(Accelerators),
  gang: Schema.optionalKey(
    Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: MAX_GANG })),
  ),
  adjacency: Schema.optionalKey(Schema.Enum(Types.Adjacency)),
  estimateSeconds: Schema.optionalKey(Seconds),
  checkpointSeconds: Schema.optionalKey(Seconds),
  deadlineSeconds: Schema.optionalKey(Seconds),
});

const DeploymentSchema = Schema.Struct({
  name: Name,
  weighting: Schema.Struct({
    completionTime: Fraction,
    fragmentation: Fraction,
  }),
  racks: Schema.Array(RackSchema).check(Schema.isMinLength(1)),
  cells: Schema.Array(
    Schema.Struct({
      name: Name,
      racks: Schema.Array(Name).check(Schema.isMinLength(1)),
    }),
  ).check(Schema.isMinLength(1)),
  teams: Schema.Array(TeamSchema).check(Schema.isMinLength(1)),
  services: Schema.Array(ServiceSchema).check(Schema.isMinLength(1)),
});

type Parsed = typeof DeploymentSchema.Type;

const DEFAULT_WAITING_LIMIT = 1000;

/** Parses an operators' file; the error lists all faults with their paths. */
export function parseDeployment(
  text: string,
  file = "operators' file",
): Effect.Effect<Types.DeploymentConfig, Errors.InvalidFileError> {
  return Effect.gen(function* () {
    const source = { file, text };
    const parsed = yield* decoding.decodeYaml(DeploymentSchema, source);
    const faults = checkReferences(parsed);
    if (faults.length > 0) {
      return yield* new Errors.InvalidFileError({ file, faults });
    }
    return withDefaults(parsed);
  });
}

function withDefaults(parsed: Parsed): Types.DeploymentConfig {
  return {
    ...parsed,
    teams: parsed.teams.map((team) => ({
      ...team,
      cell: team.cell ?? parsed.cells[0].name,
      waitingLimit: team.waitingLimit ?? DEFAULT_WAITING_LIMIT,
    })),
    services: parsed.services.map((service) => ({
      ...service,
      accelerators: service.accelerators ?? 1,
      gang: service.gang ?? 1,
      adjacency: service.adjacency ?? Types.Adjacency.Any,
      estimateSeconds: service.estimateSeconds ?? null,
      checkpointSeconds: service.checkpointSeconds ?? null,
      deadlineSeconds: service.deadlineSeconds ?? null,
    })),
  };
}

function checkReferences(parsed: Parsed): Errors.Fault[] {
  return [
    ...findDuplicates("$.racks", parsed.racks),
    ...findDuplicates("$.cells", parsed.cells),
    ...findDuplicates("$.teams", parsed.teams),
    ...findDuplicates("$.services", parsed.services),
    ...findDuplicates(
      "$.racks[*].workers",
      parsed.racks.flatMap((rack) => rack.workers),
    ),
    ...checkCells(parsed),
    ...checkTeams(parsed),
    ...checkServices(parsed),
  ];
}

function findDuplicates(
  path: string,
  named: readonly { name: string }[],
): Errors.Fault[] {
  const seen = new Set<string>();
  const faults: Errors.Fault[] = [];
  for (const { name } of named) {
    if (seen.has(name)) {
      faults.push({ path, expected: `the name ${name} only once` });
    }
    seen.add(name);
  }
  return faults;
}

function checkCells(parsed: Parsed): Errors.Fault[] {
  const rackNames = new Set(parsed.racks.map((rack) => rack.name));
  const cellByRack = new Map<string, string>();
  const faults: Errors.Fault[] = [];
  parsed.cells.forEach((cell, i) => {
    for (const rack of cell.racks) {
      const path = `$.cells[${i}].racks`;
      if (!rackNames.has(rack)) {
        faults.push({ path, expected: `a rack of the file, not ${rack}` });
      }
      const otherCell = cellByRack.get(rack);
      if (otherCell !== undefined) {
        const expected = `rack ${rack} in one cell only, not also ${otherCell}`;
        faults.push({ path, expected });
      }
      cellByRack.set(rack, cell.name);
    }
  });
  return faults;
}

function checkTeams(parsed: Parsed): Errors.Fault[] {
  const cellNames = new Set(parsed.cells.map((cell) => cell.name));
  return parsed.teams.flatMap((team, i) => {
    if (team.cell === undefined || cellNames.has(team.cell)) return [];
    const expected = `a cell of the file, not ${team.cell}`;
    return [{ path: `$.teams[${i}].cell`, expected }];
  });
}

function checkServices(parsed: Parsed): Errors.Fault[] {
  const faults: Errors.Fault[] = [];
  parsed.services.forEach((service, i) => {
    const path = `$.services[${i}]`;
    const gang = service.gang ?? 1;
    const jobSize = (service.accelerators ?? 1) * gang;
    const inWorker = service.adjacency === Types.Adjacency.Worker;
    if (inWorker && jobSize > MAX_ACCELERATORS) {
      const expected = `at most ${MAX_ACCELERATORS} accelerators in one worker`;
      faults.push({ path: `${path}.gang`, expected });
    }
    if (service.kind === Types.ServiceKind.Short && gang > 1) {
      const expected = `1 for a short service; gangs are long`;
      faults.push({ path: `${path}.gang`, expected });
    }
  });
  return faults;
}
