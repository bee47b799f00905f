/** Rows that record the progress of a workflow. */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";

/** What the store is known to hold of a workflow. */
export interface StoredRows {
  readonly partition: string;
  /** Whether its row in the table of waiting workflows may still exist. */
  readonly hasWaitingRow: boolean;
  /** Whether its stored spec no longer holds its work. */
  readonly isTrimmed: boolean;
}

/** Lists the writes that record the progress of a workflow. */
export function progressRows(
  workflow: Workflow.Workflow,
  { partition, hasWaitingRow, isTrimmed }: StoredRows,
): Ports.RowWrite[] {
  const { spec, spec: { id, policy } } = workflow;
  const { progressKey, waitingKey, workflowKey } = TableClient.Keys;
  const record = Workflow.toProgressRecord(workflow);
  const rows: Ports.RowWrite[] = [
    { key: progressKey(partition, id), value: record },
  ];
  if (hasWaitingRow && !isWaiting(workflow)) {
    rows.push({ key: waitingKey(partition, policy.queue, id), value: null });
  }
  if (!isTrimmed && isSettled(workflow)) {
    const value = Workflow.withoutWork(spec);
    rows.push({ key: workflowKey(partition, id), value });
  }
  return rows;
}

/** Whether it counts as waiting: nothing of it has begun, and it goes on. */
export function isWaiting({ hasBegun, isOver }: Workflow.Workflow): boolean {
  return !hasBegun && !isOver;
}

/** Whether it has ended and none of its runs has still to be stopped. */
export function isSettled(workflow: Workflow.Workflow): boolean {
  return Workflow.isFinal(workflow.state) &&
    workflow.placedTasks().length === 0;
}
