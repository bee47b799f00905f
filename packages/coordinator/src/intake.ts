/** Turns the rows of accepted and cancelled workflows into events. */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";

/** What the rows say has happened. */
export interface IntakeEvents {
  readonly accepted: readonly Workflow.WorkflowSpec[];
  readonly cancelled: readonly string[];
}

/** Reads rows of the intake; removed rows say nothing. */
export function readIntake(
  entries: readonly Ports.FeedEntry<unknown>[],
): IntakeEvents {
  const accepted: Workflow.WorkflowSpec[] = [];
  const cancelled: string[] = [];
  for (const { key, value } of entries) {
    if (value === null) continue;
    const [, id, kind] = key.split("/");
    if (kind === "cancel") cancelled.push(id);
    if (kind === "spec") accepted.push(value as Workflow.WorkflowSpec);
  }
  return { accepted, cancelled };
}
