/** Parses the rows of accepted and cancelled workflows. */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";

/** An accepted workflow and the partition that holds its row. */
export interface AcceptedWorkflow {
  readonly spec: Workflow.WorkflowSpec;
  readonly partition: string;
}

/** A request to cancel a workflow, and the partition that holds its row. */
export interface CancelRequest {
  readonly id: string;
  readonly partition: string;
}

/** A request to cancel a workflow that no partition held. */
export interface EarlyCancel extends CancelRequest {
  readonly key: string;
  /** Decides to which workflow of this id it applies. */
  readonly scope: Workflow.CallerScope;
}

/** Accepted workflows and cancel requests among the rows of one change. */
export interface IntakeEvents {
  readonly accepted: readonly AcceptedWorkflow[];
  readonly cancelled: readonly CancelRequest[];
  readonly cancelledEarly: readonly EarlyCancel[];
  /** Keys of rows that hold no valid specification or early cancel. */
  readonly invalidKeys: readonly string[];
}

/**
 * Parses rows of the intake table; removed rows are ignored. Rows of partitions that
 * are not open yet are skipped, because they are read again once the partition opens.
 */
export function parseIntake(
  entries: readonly Ports.FeedEntry<unknown>[],
  isOpen: (partition: string) => boolean,
): IntakeEvents {
  const accepted: AcceptedWorkflow[] = [];
  const cancelled: CancelRequest[] = [];
  const cancelledEarly: EarlyCancel[] = [];
  const invalidKeys: string[] = [];
  for (const { key, value } of entries) {
    const partition = TableClient.Keys.partitionOfKey(key);
    if (value === null || !isOpen(partition)) continue;
    const [, id, kind] = key.split("/");
    if (kind === "cancel") cancelled.push({ id, partition });
    if (kind === "early-cancel") {
      const scope = Workflow.decodeCallerScope(value);
      if (scope === null) invalidKeys.push(key);
      else cancelledEarly.push({ id, partition, key, scope });
    }
    if (kind !== "spec") continue;
    const spec = Workflow.decodeSpec(value, id);
    if (spec === null) invalidKeys.push(key);
    else accepted.push({ spec, partition });
  }
  return { accepted, cancelled, cancelledEarly, invalidKeys };
}
