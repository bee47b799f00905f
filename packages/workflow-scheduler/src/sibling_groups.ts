/** Groups units for which one search finds places. */
import type * as Workflow from "@cairngate/workflow";
import * as isolation from "./isolation.ts";

/** Single tasks of one step that follow one another; all others by themselves. */
export function groupSiblings(
  sorted: readonly Workflow.Unit[],
): readonly (readonly Workflow.Unit[])[] {
  const groups: Workflow.Unit[][] = [];
  let lastSiblings: readonly Workflow.Task[] | null = null;
  for (const unit of sorted) {
    const isSingle = !unit.step.gang && !isolation.isSuspect(unit);
    const siblings = unit.workflow.siblings(unit.tasks[0]);
    if (isSingle && siblings === lastSiblings) {
      groups[groups.length - 1].push(unit);
      continue;
    }
    groups.push([unit]);
    lastSiblings = isSingle ? siblings : null;
  }
  return groups;
}
