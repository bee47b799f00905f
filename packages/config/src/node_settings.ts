/** The schema of the settings file of a box that runs workflows. */
import type * as Errors from "@cairngate/errors";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as Schema from "effect/Schema";
import * as decoding from "./decode_yaml.ts";
import * as files from "./read_settings_file.ts";

const Name = Schema.NonEmptyString;
const Address = Schema.String.check(
  Schema.isPattern(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, {
    message: "Expected an IP address and a port, such as 127.0.0.1:7000",
  }),
);
const Positive = Schema.Number.check(Schema.isGreaterThan(0));

/**
 * Default of `evacuationInForceMs`, as required by operators who evacuate data centres.
 * `configInForceMs` is no substitute: at 2 s, a store with a latency of 0.4 s would
 * block all starts now and then.
 */
const DEFAULT_EVACUATION_MS = 5000;

/** The machine that is assumed where the settings describe none. */
const DEFAULT_MEMORY_MB = 350;
const DEFAULT_MAX_FDS = 4100;

const BoundsSchema = Schema.Struct({
  longestLeaseMs: Positive,
  stopMs: Positive,
  gangWaitMs: Positive,
  remotePenalty: Positive,
  keepEndedMs: Positive,
});

const ProcessorSchema = Schema.Struct({
  share: Positive,
  cores: Positive,
});

const FeatureSchema = Schema.optionalKey(Schema.Enum(Types.FeatureMode));

const HardLoadSchema = Schema.Struct({
  competingTeams: FeatureSchema,
  unevenEndpoints: FeatureSchema,
});

const NodeSchema = Schema.Struct({
  node: Name,
  zone: Name,
  callersAddress: Address,
  readinessAddress: Address,
  peersAddress: Address,
  processor: ProcessorSchema,
  memoryMb: Schema.optionalKey(Schema.NullOr(Positive)),
  maxFds: Schema.optionalKey(Schema.NullOr(Positive)),
  storeAddress: Address,
  storeWritesPerSecond: Positive,
  storeRowBytes: Positive,
  configInForceMs: Positive,
  evacuationInForceMs: Schema.optionalKey(Schema.NullOr(Positive)),
  graceSeconds: Positive,
  adviceAddress: Schema.optionalKey(Schema.NullOr(Address)),
  bounds: BoundsSchema,
  hardLoad: Schema.optionalKey(HardLoadSchema),
  logLevel: Schema.optionalKey(
    Schema.Literals(["error", "warn", "info", "debug"]),
  ),
  logFormat: Schema.optionalKey(Schema.Literals(["text", "json"])),
});

/** Bounds set by the platform; times are in milliseconds. */
export interface NodeBounds {
  readonly longestLeaseMs: number;
  readonly stopMs: number;
  readonly gangWaitMs: number;
  readonly remotePenalty: number;
  readonly keepEndedMs: number;
}

/** CPU available to a box: a share of each of its cores. */
export interface Processor {
  readonly share: number;
  readonly cores: number;
}

/** Validated settings of a box that runs workflows. */
export interface NodeSettings {
  readonly node: string;
  readonly zone: string;
  readonly callersAddress: string;
  readonly readinessAddress: string;
  /** Address for connections of peers, as host:port. */
  readonly peersAddress: string;
  readonly processor: Processor;
  /** Memory of the process, in MB; 350 by default. */
  readonly memoryMb: number;
  /** File descriptors of the process, sockets among them; 4,100 by default. */
  readonly maxFds: number;
  readonly storeAddress: string;
  readonly storeWritesPerSecond: number;
  /** Maximum size of one row's value, in bytes. */
  readonly storeRowBytes: number;
  readonly configInForceMs: number;
  /**
   * Time after which nothing starts any more in a data centre that the operator
   * evacuates; 5 s by default.
   */
  readonly evacuationInForceMs: number;
  /** Time from the stop signal until the process is killed, in seconds. */
  readonly graceSeconds: number;
  /** Address of the advice service; null if there is none. */
  readonly adviceAddress: string | null;
  readonly bounds: NodeBounds;
  /** Modes of the features for hard load; off by default. */
  readonly hardLoad: Types.HardLoadSettings;
  readonly logLevel: "error" | "warn" | "info" | "debug";
  readonly logFormat: "text" | "json";
}

/** Parses a settings file; the error lists all faults with their paths. */
export function parseNodeSettings(
  text: string,
  file: string,
): Effect.Effect<NodeSettings, Errors.InvalidFileError> {
  const decoded = decoding.decodeYaml(NodeSchema, { file, text });
  return Effect.map(decoded, (parsed) => ({
    ...parsed,
    memoryMb: parsed.memoryMb ?? DEFAULT_MEMORY_MB,
    maxFds: parsed.maxFds ?? DEFAULT_MAX_FDS,
    adviceAddress: parsed.adviceAddress ?? null,
    evacuationInForceMs: parsed.evacuationInForceMs ?? DEFAULT_EVACUATION_MS,
    hardLoad: { ...Types.HARD_LOAD_OFF, ...parsed.hardLoad },
    logLevel: parsed.logLevel ?? "info",
    logFormat: parsed.logFormat ?? "text",
  }));
}

/** Reads and validates a settings file. */
export function readNodeSettings(
  file: string,
): Effect.Effect<NodeSettings, Errors.InvalidFileError> {
  const text = files.readText(file);
  return Effect.flatMap(text, (t) => parseNodeSettings(t, file));
}
