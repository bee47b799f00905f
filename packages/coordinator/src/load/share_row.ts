/**
 * Row of the store that holds the use of the fleet by team, so that it survives a
 * takeover.
 */
import type * as Scheduler from "@cairngate/workflow-scheduler";
import * as Result from "effect/Result";
import * as Schema from "effect/Schema";

/**
 * Maximum number of teams in the row, which keeps it far below the store's row limit.
 */
const MAX_TEAMS = 500;
/**
 * Maximum age of a row, in ms: six half-lives have passed by then. Also bounds the
 * effect of a changed wall clock, which would otherwise keep a row valid forever.
 */
const STALE_MS = 60_000;

const Share = Schema.Number.check(
  Schema.isBetween({ minimum: 0, maximum: 1 }),
);

const WireShares = Schema.Struct({
  writtenAtMs: Schema.Finite,
  use: Schema.Record(Schema.String, Share),
});

const readShares = Schema.decodeUnknownResult(WireShares);

/** Decoded value of the row. */
export type ShareRow = typeof WireShares.Type;

/** The use and its age, or the reason why the row can't be used. */
export type DecodedUse =
  | { readonly use: Scheduler.TeamAmounts; readonly ageMs: number }
  | { readonly reason: string };

/** Encodes the use by team; above the limit, only the teams with the highest use. */
export function encodeUse(
  use: Scheduler.TeamAmounts,
  wallMs: number,
): ShareRow {
  const largest = [...use]
    .sort(([, a], [, b]) => b - a)
    .slice(0, MAX_TEAMS)
    .map(([team, share]) => [team, roundShare(share)]);
  return { writtenAtMs: wallMs, use: Object.fromEntries(largest) };
}

/** Decodes a row's value, which may be written by anyone. */
export function decodeUse(value: unknown, wallMs: number): DecodedUse {
  const read = readShares(value);
  if (Result.isFailure(read)) return { reason: "it can't be read" };
  const { writtenAtMs, use } = read.success;
  const ageMs = Math.max(0, wallMs - writtenAtMs);
  if (ageMs > STALE_MS) return { reason: `it is ${Math.round(ageMs)} ms old` };
  return { use: new Map(Object.entries(use)), ageMs };
}

/** Rounds to a millionth of the fleet, which is less than one task. */
function roundShare(share: number): number {
  return Math.round(Math.min(1, share) * 1e6) / 1e6;
}
