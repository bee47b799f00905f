/** Arithmetic and comparisons on resources. */
import type * as Workflow from "@cairngate/workflow";

type Resources = Workflow.Resources;

/** Zero of each resource. */
export const ZERO: Resources = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
};

/** Combines two amounts resource by resource. */
export function combine(
  a: Resources,
  b: Resources,
  merge: (a: number, b: number) => number,
): Resources {
  return {
    cpuMillis: merge(a.cpuMillis, b.cpuMillis),
    memoryMb: merge(a.memoryMb, b.memoryMb),
    accelerators: merge(a.accelerators, b.accelerators),
  };
}

/** Adds two amounts. */
export function add(a: Resources, b: Resources): Resources {
  return combine(a, b, (x, y) => x + y);
}

/** Subtracts the second amount from the first, each resource clamped at 0. */
export function subtract(a: Resources, b: Resources): Resources {
  return combine(a, b, (x, y) => Math.max(0, x - y));
}

/** Returns the larger value of each resource. */
export function maxOf(a: Resources, b: Resources): Resources {
  return combine(a, b, Math.max);
}

/** Returns the smaller value of each resource. */
export function minOf(a: Resources, b: Resources): Resources {
  return combine(a, b, Math.min);
}

/** Multiplies each resource by a factor. */
export function scale(a: Resources, factor: number): Resources {
  return combine(a, a, (x) => x * factor);
}

/** Whether a demand fits into a capacity in each resource. */
export function isWithin(demand: Resources, capacity: Resources): boolean {
  return demand.cpuMillis <= capacity.cpuMillis &&
    demand.memoryMb <= capacity.memoryMb &&
    demand.accelerators <= capacity.accelerators;
}

/**
 * How many whole times a demand fits into a capacity; infinite for an empty demand.
 */
export function countFits(demand: Resources, capacity: Resources): number {
  return Math.floor(ratio(demand, capacity));
}

/** How many times a demand fits into a capacity, with fractions. */
export function ratio(demand: Resources, capacity: Resources): number {
  const ratios = combine(
    demand,
    capacity,
    (n, r) => n === 0 ? Number.POSITIVE_INFINITY : r / n,
  );
  return Math.min(ratios.cpuMillis, ratios.memoryMb, ratios.accelerators);
}

/**
 * Resources that a task takes from an endpoint. A task with `fills` set uses only
 * processor time that others leave, so it reserves none.
 */
export function reservedResources(
  step: Resources & { readonly fills: boolean },
): Resources {
  const { memoryMb, accelerators } = step;
  return {
    cpuMillis: step.fills ? 0 : step.cpuMillis,
    memoryMb,
    accelerators,
  };
}
