/** Which configuration decides on the routing of an accepted workflow. */
import * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as queueRoutings from "./queue_routings.ts";

/** A configuration that sends all queues to a service. */
function buildConfig(version: number, service: string): Ports.AccessConfig {
  const access = TestUtils.buildAccess({ hana: 4 }, version);
  const queues = access.queues.map((queue) => ({ ...queue, service }));
  return { ...access, queues };
}

function buildWorkflow(configVersion?: number): Workflow.Workflow {
  return new Workflow.Workflow({
    id: "w",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    ...(configVersion === undefined ? {} : { configVersion }),
    payload: "",
    steps: [TestUtils.buildStep()],
    schedule: null,
    acceptedAtMs: 0,
  });
}

/** Service of a workflow after a coordinator has read a configuration. */
function serviceAfter(
  config: Ports.AccessConfig | null,
  workflow: Workflow.Workflow,
): string {
  const log = Logger.silentLogger();
  const routings = new queueRoutings.QueueRoutings({
    config: () => config,
    log,
  });
  routings.update(() => [workflow]);
  return workflow.spec.policy.service;
}

vitest.describe("QueueRoutings", () => {
  vitest.it("applies a later configuration", () => {
    vitest.expect(serviceAfter(buildConfig(2, "b"), buildWorkflow(1)))
      .toBe("b");
  });

  // Guards against a move back to the former service while the coordinator has an
  // older configuration than the box that accepted the work.
  vitest.it("ignores a configuration older than the acceptance", () => {
    vitest.expect(serviceAfter(buildConfig(2, "b"), buildWorkflow(3)))
      .toBe("analysis");
  });

  vitest.it("applies any configuration to rows of earlier versions", () => {
    vitest.expect(serviceAfter(buildConfig(1, "b"), buildWorkflow()))
      .toBe("b");
  });

  vitest.it("changes nothing before the first configuration", () => {
    vitest.expect(serviceAfter(null, buildWorkflow(1))).toBe("analysis");
  });

  vitest.it("keeps what was promised on acceptance", () => {
    const workflow = buildWorkflow(1);
    const config = buildConfig(2, "b");
    const queues = config.queues.map((queue) => ({
      ...queue,
      priority: 0,
      attempts: 1,
      stretch: 9,
      latencyMs: 9,
    }));
    serviceAfter({ ...config, queues }, workflow);
    const accepted = TestUtils.buildAccess().queues[1];
    vitest.expect(workflow.spec.policy)
      .toEqual({ ...accepted, service: "b" });
  });
});
