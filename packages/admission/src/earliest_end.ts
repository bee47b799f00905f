/** The earliest time by which work can end within the capacity of a forecast. */
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import * as forecasts from "./forecast.ts";

/** Inputs of the estimate. Times are in ms after the forecast was made. */
export interface EndQuery {
  readonly steps: readonly Workflow.StepSpec[];
  readonly curve: forecasts.CapacityCurve;
  readonly fromMs: number;
  /** Run time of one task of a step, in ms. */
  readonly runTimeOf: (step: Workflow.StepSpec) => number;
}

interface Span {
  readonly beginMs: number;
  readonly endMs: number;
  readonly capacity: Workflow.Resources;
}

/** The earliest end of all steps, each of which starts after its predecessors. */
export function earliestEnd(query: EndQuery): number {
  const spans = toSpans(query.curve);
  const ends: number[] = [];
  for (const step of query.steps) {
    const predecessorEnds = step.after.map((n) => ends[n] ?? query.fromMs);
    const fromMs = Math.max(query.fromMs, ...predecessorEnds);
    ends.push(stepEndMs(step, { spans, fromMs, runMs: query.runTimeOf(step) }));
  }
  return Math.max(query.fromMs, ...ends);
}

/** Spans of a curve. A curve may omit trailing spans that repeat its last value. */
function toSpans(curve: forecasts.CapacityCurve): readonly Span[] {
  const { SPAN_STARTS_MS, HORIZON_MS } = forecasts;
  return SPAN_STARTS_MS.map((beginMs, i) => ({
    beginMs,
    endMs: SPAN_STARTS_MS[i + 1] ?? HORIZON_MS,
    capacity: curve[Math.min(i, curve.length - 1)] ?? amounts.ZERO,
  }));
}

interface StepQuery {
  readonly spans: readonly Span[];
  readonly fromMs: number;
  readonly runMs: number;
}

function stepEndMs(step: Workflow.StepSpec, query: StepQuery): number {
  const { runMs } = query;
  if (step.gang) return gangStartMs(step, query) + runMs;
  const demand = amounts.reservedResources(step);
  let firstStartMs: number | null = null;
  // Remaining run time of all tasks of the step, added up over concurrent tasks.
  let remainingMs = step.count * runMs;
  for (const { beginMs, endMs, capacity } of query.spans) {
    const usableFromMs = Math.max(beginMs, query.fromMs);
    const concurrentTasks = Math.min(
      step.count,
      amounts.countFits(demand, capacity),
    );
    if (usableFromMs >= endMs || concurrentTasks <= 0) continue;
    firstStartMs ??= usableFromMs;
    const spentMs = concurrentTasks * (endMs - usableFromMs);
    if (spentMs >= remainingMs) {
      return Math.max(
        firstStartMs + runMs,
        usableFromMs + remainingMs / concurrentTasks,
      );
    }
    remainingMs -= spentMs;
  }
  const horizonMs = Math.max(query.fromMs, forecasts.HORIZON_MS);
  const startMs = firstStartMs ?? horizonMs;
  return Math.max(startMs + runMs, horizonMs + remainingMs / step.count);
}

/** All members of a gang start together. */
function gangStartMs(step: Workflow.StepSpec, query: StepQuery): number {
  const gangDemand = amounts.scale(amounts.reservedResources(step), step.count);
  const firstFit = query.spans.find(({ endMs, capacity: room }) =>
    endMs > query.fromMs && amounts.isWithin(gangDemand, room)
  );
  const startMs = firstFit?.beginMs ?? forecasts.HORIZON_MS;
  return Math.max(startMs, query.fromMs);
}
