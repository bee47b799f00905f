/** Store rows of workflows that ended before a test begins. */
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as fleets from "./test_fleet.ts";

/** Size of a large payload, in bytes. */
const PAYLOAD_BYTES = 4000;

/** Builds the specification of a workflow with a large payload. */
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
 * Writes the rows of a completed workflow to its home partition, including its full
 * specification, as earlier versions and interrupted terms leave them.
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
