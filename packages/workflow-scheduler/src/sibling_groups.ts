/** Groups units that are placed in one search. */
import type * as Workflow from "@cairngate/workflow";
import * as isolation from "./isolation.ts";

/** Groups consecutive single tasks of one step; every other unit is its own group. */
export function groupSiblings(
  sorted: readonly Workflow.Unit[],
): readonly (readonly Workflow.Unit[])[] {
  const groups: Workflow.Unit[][] = [];
  let lastTaskGroup: Workflow.TaskGroup | null = null;
  for (const unit of sorted) {
    const isSingle = !unit.step.gang && !isolation.isSuspect(unit);
    const taskGroup = unit.workflow.groupOf(unit.tasks[0]);
    if (isSingle && taskGroup === lastTaskGroup) {
      groups[groups.length - 1].push(unit);
      continue;
    }
    groups.push([unit]);
    lastTaskGroup = isSingle ? taskGroup : null;
  }
  return groups;
}
