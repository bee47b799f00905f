/** What teams have had, as a row of the store, so that it outlives a takeover. */
import type * as Scheduler from "@cairngate/workflow-scheduler";
import * as Result from "effect/Result";
import * as Schema from "effect/Schema";

/** Most teams in the row, in bytes far below the largest row of the store. */
const MAX_TEAMS = 500;
/**
 * A row that is older counts for nothing, in ms: six half-lives have passed by then,
 * and a time of day that was set would else keep it for ever.
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

/** What the row holds. */
export type ShareRow = typeof WireShares.Type;

/** What was read, or why nothing is known from it. */
export type DecodedUse =
  | { readonly use: Scheduler.TeamAmounts; readonly ageMs: number }
  | { readonly reason: string };

/** The row of what teams have had; of very many teams, those that had most. */
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

/** Reads a row's value, whoever wrote it. */
export function decodeUse(value: unknown, wallMs: number): DecodedUse {
  const read = readShares(value);
  if (Result.isFailure(read)) return { reason: "it can't be read" };
  const { writtenAtMs, use } = read.success;
  const ageMs = Math.max(0, wallMs - writtenAtMs);
  if (ageMs > STALE_MS) return { reason: `it is ${Math.round(ageMs)} ms old` };
  return { use: new Map(Object.entries(use)), ageMs };
}

/** A millionth of the fleet is less than one task. */
function roundShare(share: number): number {
  return Math.round(Math.min(1, share) * 1e6) / 1e6;
}
