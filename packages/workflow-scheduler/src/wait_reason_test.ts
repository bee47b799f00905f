/** Tests the reason that a plan gives for each waiting step. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import type * as fleet from "./fleet.ts";
import * as plans from "./plan.ts";
import * as waiting from "./wait_reason.ts";

const { WaitReason } = waiting;
const NOW_MS = 100_000;

function buildWorkflow(
  id: string,
  step: Partial<Workflow.StepSpec> = {},
): Workflow.Workflow {
  return new Workflow.Workflow({
    id,
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps: [TestUtils.buildStep(step)],
    schedule: null,
    acceptedAtMs: 0,
  });
}

function buildEndpoint(
  changes: Partial<fleet.EndpointSnapshot> = {},
): fleet.EndpointSnapshot {
  return {
    id: "worker-0",
    service: "analysis",
    dataCentre: "dc-1",
    rack: "rack-0",
    labels: new Set(["a"]),
    total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 4 },
    usable: true,
    speed: 1,
    tasks: [],
    ...changes,
  };
}

/** Wait reasons of the workflows, in the order of the decisions. */
function reasonsOf(
  endpoints: readonly fleet.EndpointSnapshot[],
  workflows: readonly Workflow.Workflow[],
): string[] {
  const { waits } = plans.makePlan({
    endpoints,
    workflows,
    guarantees: new Map(),
    nowMs: NOW_MS,
    wallMs: 0,
    remotePenalty: 3,
    isAdvised: () => true,
  });
  return waits.map(({ unit, reason }) => `${unit.workflow.spec.id}: ${reason}`);
}

vitest.describe("a step that waits", () => {
  vitest.it("waits for endpoints if none accepts work", () => {
    const endpoints = [buildEndpoint({ usable: false })];
    vitest.expect(reasonsOf(endpoints, [buildWorkflow("w")]))
      .toEqual([`w: ${WaitReason.Endpoints}`]);
  });

  vitest.it("waits for capacity on endpoints that are in use", () => {
    const other = buildWorkflow("other", { count: 4 });
    for (const task of other.tasks) task.place("worker-0", 1, 0);
    const endpoints = [buildEndpoint({ tasks: [...other.tasks] })];
    vitest.expect(reasonsOf(endpoints, [buildWorkflow("w")]))
      .toEqual([`w: ${WaitReason.Room}`]);
  });

  vitest.it("is in backoff if too many endpoints may have crashed", () => {
    const held = buildWorkflow("w");
    for (const task of held.tasks) {
      task.crashes = { laid: 0, excused: 0, presence: 0, unseen: 5 };
      task.waitingSinceMs = NOW_MS - 1;
    }
    vitest.expect(reasonsOf([buildEndpoint()], [held]))
      .toEqual([`w: ${WaitReason.CrashBackoff}`]);
  });

  vitest.it(
    "waits for the outcome of a run that may be its last attempt",
    () => {
      const gang = buildWorkflow("w", { count: 2, gang: true });
      const [task] = gang.tasks;
      for (const member of gang.tasks) member.failures = 2;
      gang.unresolvedRuns.add({
        task,
        run: 1,
        endpoint: "worker-1",
        bornMs: null,
        presence: Workflow.Presence.Certain,
      });
      vitest.expect(reasonsOf([buildEndpoint()], [gang]))
        .toEqual([`w: ${WaitReason.UnknownOutcome}`]);
      gang.unresolvedRuns.closeTask(task);
      vitest.expect(reasonsOf([buildEndpoint()], [gang])).toEqual([]);
    },
  );

  vitest.it("waits if only unreliable endpoints are free", () => {
    const failed = buildWorkflow("w");
    for (const task of failed.tasks) {
      task.failures = 1;
      task.failedAtMs = NOW_MS - 2100;
      task.failedAfterMs = 10;
    }
    vitest.expect(reasonsOf([buildEndpoint({ isUnreliable: true })], [failed]))
      .toEqual([`w: ${WaitReason.UnreliableEndpoints}`]);
  });

  vitest.it("waits if free capacity is reserved for other work", () => {
    const [first, second] = [3, 2].map((count) =>
      buildWorkflow(`w${count}`, { count, gang: true })
    );
    vitest.expect(reasonsOf([buildEndpoint()], [first, second]))
      .toEqual([`w2: ${WaitReason.Reserved}`]);
  });

  // Guards against a wait for absent endpoints that looks like one for the service.
  vitest.it("waits for endpoints that the advice allows", () => {
    const advice = { decisionMs: 50, perWorkerMs: 2, validityMs: 3000 };
    const policy = { ...TestUtils.buildAccess().queues[1], advice };
    const { spec } = buildWorkflow("w");
    const reasonOf = (
      endpoints: readonly fleet.EndpointSnapshot[],
      allowed: readonly string[],
    ) => {
      const { waits } = plans.makePlan({
        endpoints,
        workflows: [new Workflow.Workflow({ ...spec, policy })],
        guarantees: new Map(),
        nowMs: NOW_MS,
        wallMs: 0,
        remotePenalty: 3,
        isAdvised: () => false,
        isAllowed: (_, endpoint) => allowed.includes(endpoint),
      });
      return waits[0].reason;
    };
    const absent = buildEndpoint({ id: "absent", usable: false });
    const endpoints = [buildEndpoint(), absent];
    vitest.expect(reasonOf(endpoints, ["absent"]))
      .toBe(WaitReason.AllowedEndpoints);
    vitest.expect(reasonOf(endpoints, [])).toBe(WaitReason.Advice);
    vitest.expect(reasonOf(endpoints, ["absent", "worker-0"]))
      .toBe(WaitReason.Advice);
  });
});
