/** Encodes a forecast as a short text and decodes it. */
import type * as Workflow from "@cairngate/workflow";
import * as Option from "effect/Option";
import * as Schema from "effect/Schema";
import type * as forecasts from "./forecast.ts";

/** Maximum size of the text in bytes; every read of the election row carries it. */
const MAX_BYTES = 900;
/**
 * Units of processor (thousandths of a core) and memory, which keep the numbers
 * short.
 */
const CORE_MILLIS = 1000;
const MEMORY_UNIT_MB = 1024;

/** Resources as processor, memory and accelerators in turn. */
const Amounts = Schema.Array(
  Schema.Int.check(Schema.isGreaterThanOrEqualTo(0)),
);
const Positive = Schema.Finite.check(Schema.isGreaterThan(0));
const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

const EncodedForecast = Schema.Struct({
  no: Count,
  boxes: Count.check(Schema.isGreaterThanOrEqualTo(1)),
  far: Positive,
  urgent: Schema.Array(Schema.Tuple([Schema.String, Count])),
  services: Schema.Array(Schema.Struct({
    name: Schema.String,
    /** Sizes of the largest endpoint, of the largest rack and of all endpoints. */
    sizes: Amounts,
    fast: Positive,
    room: Schema.Array(Schema.Struct({
      p: Count,
      due: Count,
      first: Amounts,
      /** Omitted if it equals `first`. */
      last: Schema.optionalKey(Amounts),
    })),
  })),
});
type EncodedForecast = typeof EncodedForecast.Type;

const decodeEncoded = Schema.decodeUnknownOption(EncodedForecast);

/**
 * Encodes a forecast. Amounts are rounded up. If the text is too long, services are
 * dropped first, then the last priorities, then teams; work that the text does not
 * cover is accepted.
 */
export function writeForecast(forecast: forecasts.Forecast): string {
  const encoded = encode(forecast);
  const urgent = [...encoded.urgent].sort(([, a], [, b]) => b - a);
  const services = [...encoded.services];
  for (;;) {
    const text = JSON.stringify({ ...encoded, urgent, services });
    if (Buffer.byteLength(text) <= MAX_BYTES) return text;
    if (services.length > 1) services.pop();
    else if (services.length === 1 && services[0].room.length > 1) {
      const [{ room, ...service }] = services;
      services[0] = { ...service, room: room.slice(0, -1) };
    } else if (urgent.length > 0) urgent.pop();
    else return JSON.stringify({ ...encoded, urgent, services: [] });
  }
}

/** Decodes the text of a forecast; null if it is not valid. */
export function readForecast(text: string): forecasts.Forecast | null {
  try {
    const encoded = Option.getOrNull(decodeEncoded(JSON.parse(text)));
    return encoded === null ? null : decode(encoded);
  } catch {
    return null;
  }
}

function encode(forecast: forecasts.Forecast): EncodedForecast {
  return {
    no: forecast.number,
    boxes: forecast.boxes,
    far: forecast.remotePenalty,
    urgent: forecast.urgentUse.map((
      [team, used],
    ) => [team, toSafeInteger(used)]),
    services: forecast.services.map((serviceForecast) => ({
      name: serviceForecast.service,
      sizes: flatten([
        serviceForecast.largest,
        serviceForecast.largestRack,
        serviceForecast.total,
      ]),
      fast: Math.ceil(serviceForecast.fastest * 100) / 100,
      room: serviceForecast.room.map((
        { priority, first, last, lastDueMs },
      ) => ({
        p: priority,
        due: Math.ceil(lastDueMs),
        first: flatten(trimRepeatedTail(first)),
        ...(isSameCurve(first, last)
          ? {}
          : { last: flatten(trimRepeatedTail(last)) }),
      })),
    })),
  };
}

function decode(encoded: EncodedForecast): forecasts.Forecast {
  return {
    number: encoded.no,
    boxes: encoded.boxes,
    remotePenalty: encoded.far,
    urgentUse: encoded.urgent,
    services: encoded.services.map(({ name, sizes, fast, room }) => {
      const [largest, largestRack, total] = unflatten(sizes, 3);
      return {
        service: name,
        largest,
        largestRack,
        total,
        fastest: fast,
        room: room.map(({ p, due, first, last = first }) => ({
          priority: p,
          lastDueMs: due,
          first: unflatten(first, 1),
          last: unflatten(last, 1),
        })),
      };
    }),
  };
}

/**
 * Callers may request any number of accelerators; one that is not a safe integer
 * would make the whole text invalid.
 */
function toSafeInteger(used: number): number {
  return Math.min(Number.MAX_SAFE_INTEGER, Math.floor(used));
}

function flatten(resources: readonly Workflow.Resources[]): number[] {
  return resources.flatMap(({ cpuMillis, memoryMb, accelerators }) => [
    Math.ceil(cpuMillis / CORE_MILLIS),
    Math.ceil(memoryMb / MEMORY_UNIT_MB),
    Math.ceil(accelerators),
  ]);
}

function unflatten(
  values: readonly number[],
  minCount: number,
): readonly Workflow.Resources[] {
  const count = values.length / 3;
  if (!Number.isInteger(count) || count < minCount) {
    throw new RangeError("invalid number of resource amounts");
  }
  return Array.from({ length: count }, (_, i) => ({
    cpuMillis: values[3 * i] * CORE_MILLIS,
    memoryMb: values[3 * i + 1] * MEMORY_UNIT_MB,
    accelerators: values[3 * i + 2],
  }));
}

/** Removes repeated values at the end of a curve; readers repeat the last value. */
function trimRepeatedTail(
  curve: forecasts.CapacityCurve,
): forecasts.CapacityCurve {
  let length = curve.length;
  while (length > 1 && isSameCurve([curve[length - 1]], [curve[length - 2]])) {
    length--;
  }
  return curve.slice(0, length);
}

function isSameCurve(
  a: forecasts.CapacityCurve,
  b: forecasts.CapacityCurve,
): boolean {
  return JSON.stringify(flatten(a)) === JSON.stringify(flatten(b));
}
