/**
 * Finds the earliest placement of a waiting unit from the estimated ends of running
 * tasks.
 */
import * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";

/** Assumed remaining time of a run that has exceeded its estimate, in ms. */
const OVERDUE_ALLOWANCE_MS = 500;

interface RunEnd {
  readonly endpoint: fleet.Endpoint;
  readonly task: Workflow.Task;
  readonly atMs: number;
}

/** A placement and the time at which it is free. */
export interface Reservation {
  readonly places: placement.Placement;
  readonly atMs: number;
}

/** Inputs for estimating when runs end. */
export interface RunEndContext {
  readonly nowMs: number;
  /** Expected run time, for runs without a predicted end, in ms. */
  readonly runMs: (task: Workflow.Task) => number;
}

/** Finds the placement that is free first; null if the unit fits nowhere. */
export function findEarliest(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  context: RunEndContext,
): Reservation | null {
  const near = placement.endpointsNearData(unit, endpoints);
  if (!placement.wantsOneRack(unit)) {
    return searchAmong(unit, near, context);
  }
  let best: Reservation | null = null;
  for (const rack of placement.groupByRack(near).values()) {
    const found = searchAmong(unit, rack, context);
    if (found === null) continue;
    if (best === null || found.atMs < best.atMs) best = found;
  }
  return best;
}

/** Simulates the ends of runs one after another until the unit fits. */
function searchAmong(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  context: RunEndContext,
): Reservation | null {
  if (placement.findAmong(unit, endpoints, (r) => r.state.total) === null) {
    return null;
  }
  const freeByEndpoint = new Map(
    endpoints.map((endpoint) => [endpoint, { ...endpoint.freeAfterStops }]),
  );
  const freeOf = (endpoint: fleet.Endpoint) =>
    freeByEndpoint.get(endpoint) ?? endpoint.freeAfterStops;
  for (const { endpoint, task, atMs } of listRunEnds(endpoints, context)) {
    const free = freeByEndpoint.get(endpoint);
    if (free !== undefined) fleet.addTask(free, task.step);
    const places = placement.findAmong(unit, endpoints, freeOf);
    if (places !== null) return { places, atMs };
  }
  return null;
}

/** Predicted end of a run from its progress, otherwise from the expected run time. */
function expectedEndMs(
  task: Workflow.Task,
  { nowMs, runMs }: RunEndContext,
): number {
  if (task.endsAtMs !== null) return Math.max(task.endsAtMs, nowMs);
  const estimatedEndMs = task.startedAtMs + runMs(task);
  return Math.max(estimatedEndMs, nowMs + OVERDUE_ALLOWANCE_MS);
}

function listRunEnds(
  endpoints: readonly fleet.Endpoint[],
  context: RunEndContext,
): RunEnd[] {
  const runEnds: RunEnd[] = [];
  for (const endpoint of endpoints) {
    for (const task of endpoint.state.tasks) {
      if (task.state === Workflow.TaskState.Stopping) continue;
      // The tasks of a gang end together.
      const group = task.step.gang ? task.workflow.siblings(task) : [task];
      const endTimesMs = group.map((member) => expectedEndMs(member, context));
      runEnds.push({ endpoint, task, atMs: Math.max(...endTimesMs) });
    }
  }
  return runEnds.sort((a, b) => a.atMs - b.atMs);
}
