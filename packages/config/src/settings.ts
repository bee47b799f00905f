/** The schema of a box's settings file. */
import type * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";
import * as Schema from "effect/Schema";
import * as decoding from "./decode_yaml.ts";

const Name = Schema.NonEmptyString;
const Address = Schema.String.check(
  Schema.isPattern(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, {
    message: "Expected an IP address and a port, such as 127.0.0.1:7000",
  }),
);
const Millis = Schema.Int.check(Schema.isGreaterThan(0));
const PositiveInt = Schema.Int.check(Schema.isGreaterThan(0));

const PeerSchema = Schema.Struct({ name: Name, address: Address });

const LimitsSchema = Schema.Struct({
  waitingCallers: Schema.optionalKey(PositiveInt),
  bodyBytes: Schema.optionalKey(PositiveInt),
  storeWritesPerSecond: Schema.optionalKey(PositiveInt),
  connectionsPerWorker: Schema.optionalKey(PositiveInt),
});

const TimesSchema = Schema.Struct({
  heartbeatMs: Schema.optionalKey(Millis),
  peerTimeoutMs: Schema.optionalKey(Millis),
  ownerLeaseMs: Schema.optionalKey(Millis),
  configPollMs: Schema.optionalKey(Millis),
  livePollMs: Schema.optionalKey(Millis),
  reportWaitMs: Schema.optionalKey(Millis),
  stopGraceMs: Schema.optionalKey(Millis),
});

const SettingsSchema = Schema.Struct({
  box: Name,
  dataCentre: Name,
  deployment: Name,
  callersAddress: Address,
  operatorsAddress: Address,
  peersAddress: Address,
  peers: Schema.optionalKey(Schema.Array(PeerSchema)),
  platformAddress: Address,
  logLevel: Schema.optionalKey(
    Schema.Literals(["error", "warn", "info", "debug"]),
  ),
  logFormat: Schema.optionalKey(Schema.Literals(["text", "json"])),
  limits: Schema.optionalKey(LimitsSchema),
  times: Schema.optionalKey(TimesSchema),
});

/** Name and address of another box. */
export interface PeerSettings {
  readonly name: string;
  /** Its `peersAddress`, as host:port. */
  readonly address: string;
}

/** Limits of a box, with defaults applied. */
export interface LimitSettings {
  readonly waitingCallers: number;
  readonly bodyBytes: number;
  readonly storeWritesPerSecond: number;
  readonly connectionsPerWorker: number;
}

/** Intervals of a box in milliseconds, with defaults applied. */
export interface TimeSettings {
  readonly heartbeatMs: number;
  readonly peerTimeoutMs: number;
  readonly ownerLeaseMs: number;
  readonly configPollMs: number;
  readonly livePollMs: number;
  readonly reportWaitMs: number;
  readonly stopGraceMs: number;
}

/** Validated settings of a box. */
export interface BoxSettings {
  readonly box: string;
  readonly dataCentre: string;
  readonly deployment: string;
  readonly callersAddress: string;
  readonly operatorsAddress: string;
  readonly peersAddress: string;
  readonly peers: readonly PeerSettings[];
  readonly platformAddress: string;
  readonly logLevel: "error" | "warn" | "info" | "debug";
  readonly logFormat: "text" | "json";
  readonly limits: LimitSettings;
  readonly times: TimeSettings;
}

const DEFAULT_LIMITS: LimitSettings = {
  waitingCallers: 2000,
  bodyBytes: 1_000_000,
  storeWritesPerSecond: 12,
  connectionsPerWorker: 6,
};

const DEFAULT_TIMES: TimeSettings = {
  heartbeatMs: 500,
  peerTimeoutMs: 1400,
  ownerLeaseMs: 6000,
  configPollMs: 2000,
  livePollMs: 1500,
  reportWaitMs: 10_000,
  stopGraceMs: 30_000,
};

/** Parses a settings file; the error lists all faults with their paths. */
export function parseSettings(
  text: string,
  file: string,
): Effect.Effect<BoxSettings, Errors.InvalidFileError> {
  const decoded = decoding.decodeYaml(SettingsSchema, { file, text });
  return Effect.map(decoded, (parsed) => ({
    ...parsed,
    peers: parsed.peers ?? [],
    logLevel: parsed.logLevel ?? "info",
    logFormat: parsed.logFormat ?? "text",
    limits: { ...DEFAULT_LIMITS, ...parsed.limits },
    times: { ...DEFAULT_TIMES, ...parsed.times },
  }));
}
