/**
 * Tests plans over endpoints of different speeds.
 *
 * Guards against late urgent work although fast enough endpoints exist: evicting where
 * that is cheapest placed an urgent gang of 2.1 s with an objective of 3.4 s on
 * endpoints of speed 0.6, where it took 3.5 s.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as fc from "fast-check";
import * as vitest from "vitest";
import type * as fleet from "./fleet.ts";
import * as hardLoads from "./hard_load.ts";
import * as plans from "./plan.ts";

const UNEVEN = { teamsCompete: false, endpointsDiffer: true };
const SLOW = 0.6;
const FAST = 1.6;
const URGENT_MS = 2100;
const GUARANTEES = new Map([["hana", 100]]);

function buildWorkflow(
  priority: number,
  step: Partial<Workflow.StepSpec>,
): Workflow.Workflow {
  const policy = {
    ...TestUtils.buildAccess().queues[priority],
    priority,
    stretch: 1.5,
    latencyMs: 250,
  };
  return new Workflow.Workflow({
    id: `workflow-${priority}`,
    tenant: "hana",
    policy,
    payload: "",
    steps: [TestUtils.buildStep({ estimateMs: URGENT_MS, ...step })],
    schedule: null,
    acceptedAtMs: 0,
  });
}

interface EndpointOptions {
  readonly speed: number;
  /** Time for which ordinary work has run on it, in ms; left out if it is free. */
  readonly ranMs?: number;
  /** Predicted remaining time of that work, in ms. */
  readonly remainingMs?: number;
}

const NOW_MS = 10_000;

function buildEndpoints(
  endpointOptions: readonly EndpointOptions[],
): fleet.EndpointSnapshot[] {
  return endpointOptions.map(({ speed, ranMs, remainingMs }, i) => {
    const ordinary = buildWorkflow(2, { estimateMs: 20_000 });
    for (const task of ordinary.tasks) {
      task.place(`endpoint-${i}`, 1, NOW_MS - (ranMs ?? 0));
      task.state = Workflow.TaskState.Running;
      if (remainingMs !== undefined) task.endsAtMs = NOW_MS + remainingMs;
    }
    return {
      id: `endpoint-${i}`,
      service: "analysis",
      dataCentre: "dc-1",
      rack: "rack-0",
      labels: new Set(["a"]),
      total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 1 },
      usable: true,
      speed,
      tasks: ranMs === undefined ? [] : [...ordinary.tasks],
    };
  });
}

function plan(
  endpoints: readonly fleet.EndpointSnapshot[],
  workflow: Workflow.Workflow,
  options: Partial<plans.PlanInput> = {},
): plans.Plan {
  return plans.makePlan({
    endpoints,
    workflows: [workflow],
    guarantees: GUARANTEES,
    nowMs: NOW_MS,
    wallMs: 0,
    remotePenalty: 3,
    isAdvised: () => true,
    hardLoad: UNEVEN,
    ...options,
  });
}

const stoppedOn = (result: plans.Plan) =>
  result.stops.map(({ task }) => task.endpoint);
const startedOn = (result: plans.Plan) =>
  result.starts.flatMap(({ endpointIds }) => [...endpointIds]).sort();

vitest.describe("urgent work on uneven endpoints", () => {
  vitest.it("evicts where it ends in time although that costs more", () => {
    const endpoints = buildEndpoints([
      { speed: SLOW, ranMs: 100 },
      { speed: FAST, ranMs: 900 },
    ]);
    const urgent = buildWorkflow(0, {});
    vitest.expect(stoppedOn(plan(endpoints, urgent))).toEqual(["endpoint-1"]);
    // Without hard load, the plan evicts where that is cheapest.
    const even = { hardLoad: hardLoads.NO_HARD_LOAD };
    vitest.expect(stoppedOn(plan(endpoints, urgent, even)))
      .toEqual(["endpoint-0"]);
  });

  vitest.it("evicts rather than starts where it would be late", () => {
    const endpoints = buildEndpoints([
      { speed: SLOW },
      { speed: FAST, ranMs: 100 },
    ]);
    const result = plan(endpoints, buildWorkflow(0, {}));
    vitest.expect(startedOn(result)).toEqual([]);
    vitest.expect(stoppedOn(result)).toEqual(["endpoint-1"]);
    // Stopping the ordinary work would lose more than the urgent work gains.
    const expensive = buildEndpoints([
      { speed: SLOW },
      { speed: FAST, ranMs: 2000 },
    ]);
    const spared = plan(expensive, buildWorkflow(0, {}));
    vitest.expect([startedOn(spared), stoppedOn(spared)])
      .toEqual([["endpoint-0"], []]);
  });

  vitest.it(
    "starts on a slow endpoint if its guarantee has waited for stops",
    () => {
      const endpoints = buildEndpoints([
        { speed: SLOW },
        { speed: FAST, ranMs: 100 },
      ]);
      const patient = () => buildWorkflow(0, { estimateMs: 20_000 });
      const soon = plan(endpoints, patient(), { wallMs: 900 });
      vitest.expect(startedOn(soon)).toEqual([]);
      const later = plan(endpoints, patient(), { wallMs: 1100 });
      vitest.expect(startedOn(later)).toEqual(["endpoint-0"]);
      vitest.expect(stoppedOn(later)).toEqual([]);
    },
  );

  vitest.it(
    "starts on a slow endpoint if its acceptance lies in the future",
    () => {
      // The clock of the accepting box is ahead, which would prolong the wait.
      const endpoints = buildEndpoints([
        { speed: SLOW },
        { speed: FAST, ranMs: 100 },
      ]);
      const patient = buildWorkflow(0, { estimateMs: 20_000 });
      const result = plan(endpoints, patient, { wallMs: -1000 });
      vitest.expect(startedOn(result)).toEqual(["endpoint-0"]);
    },
  );

  vitest.it("starts on a slow endpoint if there is no faster one", () => {
    const endpoints = buildEndpoints([{ speed: SLOW }]);
    vitest.expect(startedOn(plan(endpoints, buildWorkflow(0, {}))))
      .toEqual(["endpoint-0"]);
  });

  vitest.it("has a reason if it starts where it will be late", () => {
    const reasonsOf = (
      endpointOptions: readonly EndpointOptions[],
      wallMs: number,
    ) => {
      const options = { guarantees: new Map<string, number>(), wallMs };
      const result = plan(
        buildEndpoints(endpointOptions),
        buildWorkflow(0, {}),
        options,
      );
      return result.starts.map(({ slowReason }) => slowReason);
    };
    const taken = [{ speed: SLOW }, { speed: FAST, ranMs: 100 }];
    vitest.expect(reasonsOf(taken, 2000)).toEqual(["taken"]);
    vitest.expect(reasonsOf([{ speed: FAST }], 20_000)).toEqual(["too-late"]);
    vitest.expect(reasonsOf([{ speed: FAST }], 0)).toEqual([undefined]);
  });

  vitest.it("starts at once if no endpoint can be fast enough", () => {
    const endpoints = buildEndpoints([
      { speed: SLOW },
      { speed: FAST, ranMs: 100 },
    ]);
    const late = { wallMs: 20_000 };
    vitest.expect(startedOn(plan(endpoints, buildWorkflow(0, {}), late)))
      .toEqual(["endpoint-0"]);
  });

  vitest.it("waits for a fast endpoint that becomes free in time", () => {
    const endpoints = buildEndpoints([
      { speed: SLOW },
      { speed: FAST, ranMs: 5000, remainingMs: 300 },
    ]);
    const noGuarantee = { guarantees: new Map<string, number>() };
    const result = plan(endpoints, buildWorkflow(0, {}), noGuarantee);
    vitest.expect([startedOn(result), stoppedOn(result)]).toEqual([[], []]);
    // A guarantee entitles a unit to capacity at once.
    const guaranteed = plan(endpoints, buildWorkflow(0, {}));
    vitest.expect(startedOn(guaranteed)).toEqual(["endpoint-0"]);
  });
});

vitest.describe("gangs on uneven endpoints", () => {
  vitest.it("do not mix fast endpoints with slow ones", () => {
    const speeds = [FAST, 1, FAST, 1, 1].map((speed) => ({ speed }));
    const gang = buildWorkflow(0, { count: 3, gang: true });
    vitest.expect(startedOn(plan(buildEndpoints(speeds), gang)))
      .toEqual(["endpoint-1", "endpoint-3", "endpoint-4"]);
  });

  vitest.it("leave the fast endpoints free if they are not urgent", () => {
    const speeds = [FAST, SLOW, FAST, SLOW, FAST].map((speed) => ({ speed }));
    const patient = { count: 2, gang: true, estimateMs: 100 };
    vitest.expect(
      startedOn(plan(buildEndpoints(speeds), buildWorkflow(1, patient))),
    )
      .toEqual(["endpoint-1", "endpoint-3"]);
    // A gang that would end late on slow endpoints gets faster ones.
    const pressed = { count: 2, gang: true, estimateMs: 10_000 };
    vitest.expect(
      startedOn(plan(buildEndpoints(speeds), buildWorkflow(1, pressed))),
    )
      .toEqual(["endpoint-0", "endpoint-2"]);
  });
});

vitest.describe("free endpoints", () => {
  const speeds = fc.array(fc.constantFrom(SLOW, 1, FAST), {
    minLength: 1,
    maxLength: 12,
  });

  vitest.it("for urgent work are the fastest available", () => {
    fc.assert(fc.property(speeds, fc.integer({ min: 1, max: 5 }), (all, n) => {
      const count = Math.min(n, all.length);
      const gang = buildWorkflow(0, { count, gang: true });
      const endpoints = buildEndpoints(all.map((speed) => ({ speed })));
      const taken = plan(endpoints, gang).starts[0].endpointIds;
      const slowest = Math.min(
        ...taken.map((id) => endpoints.find((e) => e.id === id)?.speed ?? 0),
      );
      const best = [...all].sort((a, b) => b - a).slice(0, count);
      vitest.expect(slowest).toBe(Math.min(...best));
    }));
  });

  vitest.it("count as equally fast without hard load", () => {
    fc.assert(fc.property(speeds, fc.integer({ min: 0, max: 2 }), (all, p) => {
      const endpoints = buildEndpoints(all.map((speed) => ({ speed })));
      const decisionsOf = (options: Partial<plans.PlanInput>) => {
        const result = plan(endpoints, buildWorkflow(p, { count: 2 }), options);
        return [startedOn(result), stoppedOn(result)];
      };
      const corrections = new Map([["analysis", 2]]);
      vitest.expect(
        decisionsOf({ hardLoad: hardLoads.NO_HARD_LOAD, corrections }),
      )
        .toEqual(decisionsOf({ hardLoad: undefined }));
    }));
  });
});
