/** Rows of workflows that ended before a test begins. */
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as fleets from "./test_fleet.ts";

/** Bytes of the payload of a workflow that is large. */
const PAYLOAD_BYTES = 4000;

/** Specification of a workflow that ended, with all of its work. */
export function buildEnded(index: number): Workflow.WorkflowSpec {
  const id = `b${String(index).padStart(15, "0")}`;
  const [, policy] = fleets.buildAccess().queues;
  const { service, priority, attempts, stretch, latencyMs } = policy;
  return {
    id,
    tenant: "hana",
    policy: {
      queue: "queue-1",
      service,
      priority,
      attempts,
      stretch,
      latencyMs,
      advice: null,
    },
    payload: "x".repeat(PAYLOAD_BYTES),
    steps: [fleets.buildStep()],
    schedule: null,
    acceptedAtMs: 0,
  };
}

/**
 * Writes the rows of a workflow that has ended, in its home partition, with all
 * of its work, as earlier versions and broken-off terms leave them.
 */
export function writeEnded(fleet: fleets.TestFleet, index: number): void {
  const spec = buildEnded(index);
  const { id } = spec;
  const partition = TableClient.Keys.homePartition(id);
  const ended = new Workflow.Workflow(spec);
  ended.state = Workflow.WorkflowState.Completed;
  const progress = Workflow.toProgressRecord(ended);
  fleet.write(TableClient.Keys.workflowKey(partition, id), spec);
  fleet.write(TableClient.Keys.progressKey(partition, id), progress);
}
