/** Sums and comparisons of resources. */
import type * as Workflow from "@cairngate/workflow";

type Resources = Workflow.Resources;

/** Nothing of anything. */
export const NOTHING: Resources = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
};

/** An amount made of the same parts of two others. */
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

/** Both together. */
export function add(a: Resources, b: Resources): Resources {
  return combine(a, b, (x, y) => x + y);
}

/** What is left of the first one; never less than nothing. */
export function subtract(a: Resources, b: Resources): Resources {
  return combine(a, b, (x, y) => Math.max(0, x - y));
}

/** The larger one of each resource. */
export function larger(a: Resources, b: Resources): Resources {
  return combine(a, b, Math.max);
}

/** The smaller one of each resource. */
export function smaller(a: Resources, b: Resources): Resources {
  return combine(a, b, Math.min);
}

/** An amount so many times. */
export function times(a: Resources, factor: number): Resources {
  return combine(a, a, (x) => x * factor);
}

/** Whether one amount is within another. */
export function isWithin(need: Resources, room: Resources): boolean {
  return need.cpuMillis <= room.cpuMillis && need.memoryMb <= room.memoryMb &&
    need.accelerators <= room.accelerators;
}

/** How many times a need fits, as a whole number; any number of nothing. */
export function countFits(need: Resources, room: Resources): number {
  return Math.floor(ratio(need, room));
}

/** How many times a need fits. */
export function ratio(need: Resources, room: Resources): number {
  const each = combine(
    need,
    room,
    (n, r) => n === 0 ? Number.POSITIVE_INFINITY : r / n,
  );
  return Math.min(each.cpuMillis, each.memoryMb, each.accelerators);
}

/** What a task takes of an endpoint; one that fills takes no processor. */
export function needOf(
  step: Resources & { readonly fills: boolean },
): Resources {
  const { memoryMb, accelerators } = step;
  return {
    cpuMillis: step.fills ? 0 : step.cpuMillis,
    memoryMb,
    accelerators,
  };
}
