/** A forecast as a short text, and back. */
import type * as Workflow from "@cairngate/workflow";
import * as Option from "effect/Option";
import * as Schema from "effect/Schema";
import type * as forecasts from "./forecast.ts";

/** Longest text, in bytes: it is read with each look at the election. */
const MOST_BYTES = 900;
/** Processor in cores and memory in units of this, so that figures are short. */
const CORE_MILLIS = 1000;
const MEMORY_UNIT_MB = 1024;

/** Amounts as processor, memory and accelerators, one after another. */
const Amounts = Schema.Array(
  Schema.Int.check(Schema.isGreaterThanOrEqualTo(0)),
);
const Positive = Schema.Finite.check(Schema.isGreaterThan(0));
const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

const Short = Schema.Struct({
  no: Count,
  boxes: Count.check(Schema.isGreaterThanOrEqualTo(1)),
  far: Positive,
  urgent: Schema.Array(Schema.Tuple([Schema.String, Count])),
  services: Schema.Array(Schema.Struct({
    name: Schema.String,
    /** Largest endpoint, largest rack, all endpoints. */
    sizes: Amounts,
    fast: Positive,
    room: Schema.Array(Schema.Struct({
      p: Count,
      due: Count,
      first: Amounts,
      /** Left out: the same as `first`. */
      last: Schema.optionalKey(Amounts),
    })),
  })),
});
type Short = typeof Short.Type;

const decodeShort = Schema.decodeUnknownOption(Short);

/**
 * The text of a forecast. Amounts are rounded up. Services that do not fit are left
 * out, then the last priorities, then teams: what is not told of is accepted.
 */
export function writeForecast(forecast: forecasts.Forecast): string {
  const short = toShort(forecast);
  const urgent = [...short.urgent].sort(([, a], [, b]) => b - a);
  const services = [...short.services];
  for (;;) {
    const text = JSON.stringify({ ...short, urgent, services });
    if (Buffer.byteLength(text) <= MOST_BYTES) return text;
    if (services.length > 1) services.pop();
    else if (services.length === 1 && services[0].room.length > 1) {
      const [{ room, ...service }] = services;
      services[0] = { ...service, room: room.slice(0, -1) };
    } else if (urgent.length > 0) urgent.pop();
    else return JSON.stringify({ ...short, urgent, services: [] });
  }
}

/** Reads the text of a forecast; null where it is none. */
export function readForecast(text: string): forecasts.Forecast | null {
  try {
    const short = Option.getOrNull(decodeShort(JSON.parse(text)));
    return short === null ? null : fromShort(short);
  } catch {
    return null;
  }
}

function toShort(forecast: forecasts.Forecast): Short {
  return {
    no: forecast.number,
    boxes: forecast.boxes,
    far: forecast.remotePenalty,
    urgent: forecast.urgentUse.map(([team, used]) => [team, roundDown(used)]),
    services: forecast.services.map((one) => ({
      name: one.service,
      sizes: flatten([one.largest, one.largestRack, one.total]),
      fast: Math.ceil(one.fastest * 100) / 100,
      room: one.room.map(({ priority, first, last, lastDueMs }) => ({
        p: priority,
        due: Math.ceil(lastDueMs),
        first: flatten(cutTail(first)),
        ...(isSame(first, last) ? {} : { last: flatten(cutTail(last)) }),
      })),
    })),
  };
}

function fromShort(short: Short): forecasts.Forecast {
  return {
    number: short.no,
    boxes: short.boxes,
    remotePenalty: short.far,
    urgentUse: short.urgent,
    services: short.services.map(({ name, sizes, fast, room }) => {
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

/** Callers may ask for any number; one that no text holds would spoil it all. */
function roundDown(used: number): number {
  return Math.min(Number.MAX_SAFE_INTEGER, Math.floor(used));
}

function flatten(all: readonly Workflow.Resources[]): number[] {
  return all.flatMap(({ cpuMillis, memoryMb, accelerators }) => [
    Math.ceil(cpuMillis / CORE_MILLIS),
    Math.ceil(memoryMb / MEMORY_UNIT_MB),
    Math.ceil(accelerators),
  ]);
}

function unflatten(
  flat: readonly number[],
  least: number,
): readonly Workflow.Resources[] {
  const count = flat.length / 3;
  if (!Number.isInteger(count) || count < least) {
    throw new RangeError("these are no amounts");
  }
  return Array.from({ length: count }, (_, i) => ({
    cpuMillis: flat[3 * i] * CORE_MILLIS,
    memoryMb: flat[3 * i + 1] * MEMORY_UNIT_MB,
    accelerators: flat[3 * i + 2],
  }));
}

/** A curve without the end that repeats; readers take the last amount for it. */
function cutTail(curve: forecasts.RoomCurve): forecasts.RoomCurve {
  let length = curve.length;
  while (length > 1 && isSame([curve[length - 1]], [curve[length - 2]])) {
    length--;
  }
  return curve.slice(0, length);
}

function isSame(a: forecasts.RoomCurve, b: forecasts.RoomCurve): boolean {
  return JSON.stringify(flatten(a)) === JSON.stringify(flatten(b));
}
