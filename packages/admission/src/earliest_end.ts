/** The earliest time by which work can end in the room of a forecast. */
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import * as forecasts from "./forecast.ts";

/** What the time is counted for; times are in ms after the forecast was made. */
export interface EndQuery {
  readonly steps: readonly Workflow.StepSpec[];
  readonly curve: forecasts.RoomCurve;
  readonly fromMs: number;
  /** How long one task of a step runs, in ms. */
  readonly runOf: (step: Workflow.StepSpec) => number;
}

interface Span {
  readonly beginMs: number;
  readonly endMs: number;
  readonly room: Workflow.Resources;
}

/** The earliest end of all steps, each after those that it follows. */
export function earliestEnd(query: EndQuery): number {
  const spans = spansOf(query.curve);
  const ends: number[] = [];
  for (const step of query.steps) {
    const before = step.after.map((n) => ends[n] ?? query.fromMs);
    const fromMs = Math.max(query.fromMs, ...before);
    ends.push(endOfStep(step, { spans, fromMs, runMs: query.runOf(step) }));
  }
  return Math.max(query.fromMs, ...ends);
}

/** Spans of a curve; one that stays as it is at its end may be cut short. */
function spansOf(curve: forecasts.RoomCurve): readonly Span[] {
  const { POINTS_MS, HORIZON_MS } = forecasts;
  return POINTS_MS.map((beginMs, i) => ({
    beginMs,
    endMs: POINTS_MS[i + 1] ?? HORIZON_MS,
    room: curve[Math.min(i, curve.length - 1)] ?? amounts.NOTHING,
  }));
}

interface StepQuery {
  readonly spans: readonly Span[];
  readonly fromMs: number;
  readonly runMs: number;
}

function endOfStep(step: Workflow.StepSpec, query: StepQuery): number {
  const { runMs } = query;
  if (step.gang) return startOfGang(step, query) + runMs;
  const need = amounts.needOf(step);
  let firstStartMs: number | null = null;
  // Time that is still to be spent on tasks, on all places together.
  let leftMs = step.count * runMs;
  for (const { beginMs, endMs, room } of query.spans) {
    const sinceMs = Math.max(beginMs, query.fromMs);
    const places = Math.min(step.count, amounts.countFits(need, room));
    if (sinceMs >= endMs || places <= 0) continue;
    firstStartMs ??= sinceMs;
    const spentMs = places * (endMs - sinceMs);
    if (spentMs >= leftMs) {
      return Math.max(firstStartMs + runMs, sinceMs + leftMs / places);
    }
    leftMs -= spentMs;
  }
  const horizonMs = Math.max(query.fromMs, forecasts.HORIZON_MS);
  const startMs = firstStartMs ?? horizonMs;
  return Math.max(startMs + runMs, horizonMs + leftMs / step.count);
}

/** The members of a gang begin together. */
function startOfGang(step: Workflow.StepSpec, query: StepQuery): number {
  const need = amounts.times(amounts.needOf(step), step.count);
  const found = query.spans.find(({ endMs, room }) =>
    endMs > query.fromMs && amounts.isWithin(need, room)
  );
  const startMs = found?.beginMs ?? forecasts.HORIZON_MS;
  return Math.max(startMs, query.fromMs);
}
