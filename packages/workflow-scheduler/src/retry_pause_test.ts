/** Tests that failed work pauses and avoids unreliable endpoints. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as fleet from "./fleet.ts";
import * as retry from "./retry_pause.ts";

/** A unit of one task whose queue allows three starts. */
function buildUnit(options: {
  readonly failures: number;
  readonly failedAtMs: number;
  readonly failedAfterMs?: number;
  readonly estimateMs?: number;
}): Workflow.Unit {
  const estimateMs = options.estimateMs ?? 1000;
  const workflow = new Workflow.Workflow({
    id: "a000000000000001",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps: [TestUtils.buildStep({ estimateMs })],
    schedule: null,
    acceptedAtMs: 0,
  });
  const [task] = workflow.tasks;
  task.failures = options.failures;
  task.failedAtMs = options.failedAtMs;
  task.failedAfterMs = options.failedAfterMs ?? 50;
  return workflow.readyUnits(0)[0];
}

function buildEndpoints(
  unreliable: readonly boolean[],
): fleet.Endpoint[] {
  return unreliable.map((isUnreliable, i) =>
    new fleet.Endpoint({
      id: `worker-${i}`,
      service: "analysis",
      dataCentre: "dc-1",
      rack: "rack-0",
      labels: new Set(),
      total: { cpuMillis: 8000, memoryMb: 8000, accelerators: 8 },
      usable: true,
      isUnreliable,
      speed: 1,
      tasks: [],
    })
  );
}

vitest.describe("the pause after a failure", () => {
  vitest.it("does not apply to work that has not failed", () => {
    const unit = buildUnit({ failures: 0, failedAtMs: -Infinity });
    vitest.expect(retry.mustPause(unit, { nowMs: 0, wallMs: 0 })).toBe(false);
  });

  vitest.it("divides the slack among the remaining starts", () => {
    // Objective 2.5 s, run time 1 s: 1.5 s of slack, divided by two starts plus one.
    const unit = buildUnit({ failures: 1, failedAtMs: 0 });
    const at = (ms: number) => retry.mustPause(unit, { nowMs: ms, wallMs: ms });
    vitest.expect(at(490)).toBe(true);
    vitest.expect(at(510)).toBe(false);
  });

  vitest.it("does not apply to a run that failed late", () => {
    const at = (failedAfterMs: number) => {
      const unit = buildUnit({ failures: 1, failedAtMs: 0, failedAfterMs });
      return retry.mustPause(unit, { nowMs: 10, wallMs: 10 });
    };
    vitest.expect(at(990)).toBe(true);
    vitest.expect(at(1010)).toBe(false);
  });

  vitest.it("lasts at most 2 s", () => {
    const unit = buildUnit({ failures: 1, failedAtMs: 0, estimateMs: 60_000 });
    const at = (ms: number) => retry.mustPause(unit, { nowMs: ms, wallMs: ms });
    vitest.expect(at(1990)).toBe(true);
    vitest.expect(at(2010)).toBe(false);
  });
});

vitest.describe("unreliable endpoints", () => {
  const endpoints = buildEndpoints([true, false, false]);
  const idsFor = (unit: Workflow.Unit, nowMs: number) =>
    retry.withoutUnreliable(unit, endpoints, nowMs).map(({ state }) =>
      state.id
    );

  vitest.it("get one run at a time of work that has not failed", () => {
    const unit = buildUnit({ failures: 0, failedAtMs: -Infinity });
    vitest.expect(idsFor(unit, 0)).toContain("worker-0");
    const [endpoint] = endpoints;
    const wide = {
      ...unit,
      tasks: Array.from({ length: 8 }, () => unit.tasks[0]),
    };
    vitest.expect(endpoint.fits(wide, endpoint.free)).toBe(1);
  });

  vitest.it("get no work for 2.5 s after it has failed", () => {
    const unit = buildUnit({ failures: 1, failedAtMs: 0 });
    vitest.expect(idsFor(unit, 2400)).not.toContain("worker-0");
    vitest.expect(idsFor(unit, 2600)).toContain("worker-0");
  });

  vitest.it("get no last start while they count as unreliable", () => {
    const unit = buildUnit({ failures: 2, failedAtMs: 0 });
    vitest.expect(idsFor(unit, 4900)).not.toContain("worker-0");
    vitest.expect(idsFor(unit, 5100)).toContain("worker-0");
  });

  vitest.it(
    "get a last start after 2.5 s if most of the fleet is unreliable",
    () => {
      const unit = buildUnit({ failures: 2, failedAtMs: 0 });
      const most = buildEndpoints([true, true, false]);
      vitest.expect(retry.withoutUnreliable(unit, most, 2600)).toHaveLength(3);
    },
  );
});
