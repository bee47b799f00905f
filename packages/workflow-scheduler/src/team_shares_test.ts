/** Tests the weights, use and levels of teams. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as fastCheck from "fast-check";
import * as vitest from "vitest";
import type * as fleet from "./fleet.ts";
import * as teamShares from "./team_shares.ts";

const { ShareLevel } = teamShares;

/** Random shares of the fleet by team. */
const amounts = fastCheck.dictionary(
  fastCheck.constantFrom("a", "b", "c", "d"),
  fastCheck.double({ min: 0, max: 1, noNaN: true }),
).map((some) => new Map(Object.entries(some)));

function runningTask(
  tenant: string,
  step: Partial<Workflow.StepSpec>,
): Workflow.Task {
  const workflow = new Workflow.Workflow({
    id: `of-${tenant}`,
    tenant,
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps: [TestUtils.buildStep(step)],
    schedule: null,
    acceptedAtMs: 0,
  });
  return workflow.tasksOfStep(0, 0)[0];
}

function endpointWith(
  tasks: readonly Workflow.Task[],
): fleet.EndpointSnapshot {
  return {
    id: "endpoint-0",
    service: "analysis",
    dataCentre: "dc-1",
    rack: "rack-0",
    labels: new Set(),
    total: { cpuMillis: 10_000, memoryMb: 1000, accelerators: 8 },
    usable: true,
    speed: 1,
    tasks,
  };
}

function levelOf(used: number, before: teamShares.ShareLevel) {
  const weights = new Map([["a", 0.5], ["b", 0.5]]);
  const previous = new Map([["a", { weight: 0.5, use: 0, level: before }]]);
  const use = new Map([["a", used]]);
  const shares = teamShares.computeShares(weights, use, previous);
  return teamShares.levelOfTeam(shares, "a");
}

vitest.describe("weights", () => {
  vitest.it(
    "follow what teams have paid for, with the smallest as minimum",
    () => {
      const weights = teamShares.weightsOf(
        new Map([["large", 60], ["small", 20], ["none", 0]]),
      );
      vitest.expect([...weights]).toEqual([
        ["large", 0.6],
        ["small", 0.2],
        ["none", 0.2],
      ]);
    },
  );

  vitest.it("are equal if no team has paid", () => {
    const weights = teamShares.weightsOf(new Map([["a", 0], ["b", 0]]));
    vitest.expect([...weights.values()]).toEqual([0.5, 0.5]);
  });
});

vitest.describe("the share that a team holds", () => {
  vitest.it("is that of its most used resource", () => {
    const held = teamShares.sharesHeld([
      endpointWith([
        runningTask("a", { accelerators: 2, memoryMb: 500, cpuMillis: 0 }),
        runningTask("b", { accelerators: 4, memoryMb: 100, cpuMillis: 0 }),
      ]),
    ]);
    vitest.expect(held.get("a")).toBeCloseTo(0.5);
    vitest.expect(held.get("b")).toBeCloseTo(0.5);
  });

  vitest.it("ignores the cores of tasks that only fill up idle ones", () => {
    const task = runningTask("a", {
      cpuMillis: 9000,
      memoryMb: 10,
      accelerators: 0,
      fills: true,
    });
    const held = teamShares.sharesHeld([endpointWith([task])]);
    vitest.expect(held.get("a")).toBeCloseTo(0.01);
  });

  vitest.it("is empty without endpoints", () => {
    vitest.expect(teamShares.sharesHeld([]).size).toBe(0);
  });
});

vitest.describe("use", () => {
  vitest.it(
    "halves after a half-life and is dropped eventually",
    () => {
      fastCheck.assert(fastCheck.property(amounts, (use) => {
        const half = teamShares.decayUse(
          use,
          new Map(),
          teamShares.HALF_LIFE_MS,
        );
        const late = teamShares.decayUse(use, new Map(), 3_600_000);
        for (const [team, before] of use) {
          vitest.expect(half.get(team) ?? 0).toBeCloseTo(before / 2);
          vitest.expect(late.has(team)).toBe(false);
        }
      }));
    },
  );

  vitest.it("is the same after one update as after two", () => {
    const parts = fastCheck.nat({ max: 60_000 });
    fastCheck.assert(
      fastCheck.property(amounts, amounts, parts, parts, (use, held, a, b) => {
        const once = teamShares.decayUse(use, held, a + b);
        const first = teamShares.decayUse(use, held, a);
        const twice = teamShares.decayUse(first, held, b);
        for (const [team, expected] of once) {
          vitest.expect(twice.get(team) ?? 0).toBeCloseTo(expected);
        }
      }),
    );
  });

  vitest.it("stays between 0 and 1 even if time goes backwards", () => {
    const elapsed = fastCheck.integer({ min: -100_000, max: 100_000 });
    fastCheck.assert(
      fastCheck.property(amounts, amounts, elapsed, (use, held, ms) => {
        const later = teamShares.decayUse(use, held, ms);
        const isShare = (one: number) => one >= 0 && one <= 1;
        vitest.expect([...later.values()].every(isShare)).toBe(true);
      }),
    );
  });
});

vitest.describe("levels", () => {
  vitest.it("change with hysteresis", () => {
    vitest.expect(levelOf(0.6, ShareLevel.Within)).toBe(ShareLevel.Within);
    vitest.expect(levelOf(0.63, ShareLevel.Within)).toBe(ShareLevel.Above);
    vitest.expect(levelOf(0.51, ShareLevel.Above)).toBe(ShareLevel.Above);
    vitest.expect(levelOf(0.5, ShareLevel.Above)).toBe(ShareLevel.Within);
    vitest.expect(levelOf(0.4, ShareLevel.Within)).toBe(ShareLevel.Within);
    vitest.expect(levelOf(0.37, ShareLevel.Within)).toBe(ShareLevel.Below);
    vitest.expect(levelOf(0.49, ShareLevel.Below)).toBe(ShareLevel.Below);
  });

  vitest.it("are not above for a team with less than an equal part", () => {
    const weights = new Map([["large", 0.98], ["small", 0.02]]);
    const use = new Map([["large", 0.5], ["small", 0.4]]);
    const shares = teamShares.computeShares(weights, use, new Map());
    vitest.expect(shares.get("small")?.level).toBe(ShareLevel.Within);
  });

  vitest.it("are below for an unknown team", () => {
    vitest.expect(teamShares.isBelowShare(new Map(), "a")).toBe(true);
  });
});
