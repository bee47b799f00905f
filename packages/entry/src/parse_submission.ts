/** Validates a caller's request and turns it into a job. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as Schema from "effect/Schema";
import * as SchemaIssue from "effect/SchemaIssue";
import * as crypto from "node:crypto";

/** A caller's request as received over HTTP. */
export interface SubmitRequest {
  readonly body: unknown;
  readonly idempotencyKey: string | null;
  /** Seconds that the caller waits for the answer; null if unspecified. */
  readonly waitSeconds: number | null;
}

const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;
const MAX_ACCELERATORS = 8;
const MAX_GANG = 64;
const HASH_LENGTH = 24;

const Positive = Schema.Int.check(Schema.isGreaterThanOrEqualTo(1));
const Seconds = Schema.Number.check(Schema.isGreaterThan(0));

const BodySchema = Schema.Struct({
  team: Schema.NonEmptyString,
  service: Schema.NonEmptyString,
  input: Schema.optionalKey(Schema.Unknown),
  tier: Schema.optionalKey(Schema.Enum(Types.Tier)),
  accelerators: Schema.optionalKey(
    Positive.check(Schema.isLessThanOrEqualTo(MAX_ACCELERATORS)),
  ),
  gang: Schema.optionalKey(
    Positive.check(Schema.isLessThanOrEqualTo(MAX_GANG)),
  ),
  adjacency: Schema.optionalKey(Schema.Enum(Types.Adjacency)),
  estimateSeconds: Schema.optionalKey(Seconds),
  deadlineSeconds: Schema.optionalKey(Seconds),
});

type Body = typeof BodySchema.Type;

/** Configuration, clock and random source that a job is built with. */
export interface ParseContext {
  readonly cfg: Types.DeploymentConfig;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
}

/** Validates a request against the configuration and builds the job. */
export function parseSubmission(
  req: SubmitRequest,
  context: ParseContext,
): Effect.Effect<Types.Job, Errors.BadRequestError> {
  return Effect.gen(function* () {
    const body = yield* decodeBody(req.body);
    yield* checkKey(req.idempotencyKey);
    const team = context.cfg.teams.find((t) => t.name === body.team);
    if (team === undefined) return yield* reject("team", "a configured team");
    const service = context.cfg.services.find((s) => s.name === body.service);
    if (service === undefined) {
      return yield* reject("service", "a configured service");
    }
    const job = buildJob(req, { body, team, service, context });
    yield* checkSize(job, team);
    return job;
  });
}

/** Returns the cell of a job from its id, which has the form `<cell>.<hash>`. */
export function cellOfJobId(
  jobId: string,
): Effect.Effect<string, Errors.UnknownJobError> {
  const dot = jobId.lastIndexOf(".");
  if (dot > 0) return Effect.succeed(jobId.slice(0, dot));
  return Effect.fail(new Errors.UnknownJobError({ jobId }));
}

function decodeBody(
  body: unknown,
): Effect.Effect<Body, Errors.BadRequestError> {
  const decode = Schema.decodeUnknownEffect(BodySchema);
  return decode(body, { onExcessProperty: "error" }).pipe(
    Effect.mapError((err) => {
      const format = SchemaIssue.makeFormatterStandardSchemaV1();
      const [first] = format(err.issue).issues;
      const field = (first?.path ?? []).map(String).join(".") || "body";
      const expected = first?.message ?? "a valid job";
      return new Errors.BadRequestError({ field, expected });
    }),
  );
}

function checkKey(
  key: string | null,
): Effect.Effect<void, Errors.BadRequestError> {
  if (key === null || KEY_PATTERN.test(key)) return Effect.void;
  return reject("Idempotency-Key", "1 to 128 visible ASCII characters");
}

function buildJob(
  req: SubmitRequest,
  parts: {
    body: Body;
    team: Types.TeamSpec;
    service: Types.ServiceSpec;
    context: ParseContext;
  },
): Types.Job {
  const { body, team, service, context } = parts;
  const nowMs = context.clock.wallMs();
  const deadlineSeconds = body.deadlineSeconds ?? service.deadlineSeconds;
  const { idempotencyKey } = req;
  return {
    id: makeJobId(team, idempotencyKey, context.random),
    team: team.name,
    service: service.name,
    kind: service.kind,
    cell: team.cell,
    tier: lowerTier(body.tier ?? service.tier, team.tier),
    accelerators: body.accelerators ?? service.accelerators,
    gang: body.gang ?? service.gang,
    adjacency: body.adjacency ?? service.adjacency,
    estimateMs: toMs(body.estimateSeconds ?? service.estimateSeconds),
    repeatable: service.repeatable,
    checkpointMs: toMs(service.checkpointSeconds),
    submittedAtMs: nowMs,
    deadlineAtMs: deadlineSeconds === null
      ? null
      : nowMs + deadlineSeconds * 1000,
    work: service.work,
    input: body.input ?? null,
    idempotencyKey,
    digest: hash(JSON.stringify([service.name, body])),
  };
}

function checkSize(
  job: Types.Job,
  team: Types.TeamSpec,
): Effect.Effect<void, Errors.BadRequestError> {
  const size = job.accelerators * job.gang;
  const isInWorker = job.adjacency === Types.Adjacency.Worker;
  if (isInWorker && size > MAX_ACCELERATORS) {
    return reject(
      "gang",
      `at most ${MAX_ACCELERATORS} accelerators in a worker`,
    );
  }
  const isInRack = job.adjacency === Types.Adjacency.Rack;
  if (isInRack && size > MAX_ACCELERATORS * MAX_ACCELERATORS) {
    return reject("gang", "at most 64 accelerators in a rack");
  }
  if (job.kind === Types.ServiceKind.Short && job.gang > 1) {
    return reject("gang", "1 for a short service");
  }
  if (size > team.quota) {
    return reject("gang", `at most the team's quota of ${team.quota}`);
  }
  return Effect.void;
}

/** Derives the id from team and key, so that a key names one job on every box. */
function makeJobId(
  team: Types.TeamSpec,
  key: string | null,
  random: Ports.RandomSource,
): string {
  const seed = key === null ? random.id() : `${team.name}\n${key}`;
  return `${team.cell}.${hash(seed)}`;
}

function hash(text: string): string {
  const digest = crypto.createHash("sha256").update(text).digest("hex");
  return digest.slice(0, HASH_LENGTH);
}

/** Returns the lower of two tiers: a job never exceeds what its team has paid for. */
function lowerTier(requested: Types.Tier, allowed: Types.Tier): Types.Tier {
  const rank = Math.max(Types.rankTier(requested), Types.rankTier(allowed));
  return Types.TIER_ORDER[rank];
}

function toMs(seconds: number | null): number | null {
  return seconds === null ? null : seconds * 1000;
}

function reject(
  field: string,
  expected: string,
): Effect.Effect<never, Errors.BadRequestError> {
  return Effect.fail(new Errors.BadRequestError({ field, expected }));
}
