/** Turns the rows of accepted and cancelled workflows into events. */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import type * as Workflow from "@cairngate/workflow";

/** A workflow and the partition of its row. */
export interface AcceptedWorkflow {
  readonly spec: Workflow.WorkflowSpec;
  readonly partition: string;
}

/** The row of a cancel. */
export interface CancelRequest {
  readonly id: string;
  readonly partition: string;
}

/** What the rows say has happened. */
export interface IntakeEvents {
  readonly accepted: readonly AcceptedWorkflow[];
  readonly cancelled: readonly CancelRequest[];
}

/**
 * Reads rows of the intake; removed rows say nothing. Rows of partitions that
 * are not open yet are left out: they will be read again.
 */
export function parseIntake(
  entries: readonly Ports.FeedEntry<unknown>[],
  isOpen: (partition: string) => boolean,
): IntakeEvents {
  const accepted: AcceptedWorkflow[] = [];
  const cancelled: CancelRequest[] = [];
  for (const { key, value } of entries) {
    const partition = TableClient.Keys.partitionIn(key);
    if (value === null || !isOpen(partition)) continue;
    const [, id, kind] = key.split("/");
    if (kind === "cancel") cancelled.push({ id, partition });
    if (kind === "spec") {
      accepted.push({ spec: value as Workflow.WorkflowSpec, partition });
    }
  }
  return { accepted, cancelled };
}
