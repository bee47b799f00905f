/** Tests the order of work and the choice of victims where teams compete. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as fastCheck from "fast-check";
import * as vitest from "vitest";
import type * as fleet from "./fleet.ts";
import * as plans from "./plan.ts";
import * as rank from "./rank.ts";
import * as teamShares from "./team_shares.ts";
import * as waiting from "./wait_reason.ts";

const { ShareLevel } = teamShares;
const TEAMS = ["a", "b", "c"];
const TEAMS_COMPETE = { teamsCompete: true, endpointsDiffer: false };

interface WorkflowOptions {
  readonly tenant: string;
  readonly priority: number;
  readonly acceptedAtMs: number;
  readonly estimateMs: number;
}

let ids = 0;

function buildWorkflow(options: Partial<WorkflowOptions>): Workflow.Workflow {
  return new Workflow.Workflow({
    id: `workflow-${ids++}`,
    tenant: options.tenant ?? "a",
    policy: TestUtils.buildAccess().queues[options.priority ?? 1],
    payload: "",
    steps: [TestUtils.buildStep({ estimateMs: options.estimateMs ?? 1000 })],
    schedule: null,
    acceptedAtMs: options.acceptedAtMs ?? 0,
  });
}

function sharesOf(
  levels: Readonly<Record<string, teamShares.ShareLevel>>,
): teamShares.TeamShares {
  return new Map(
    Object.entries(levels).map(([team, level]) => [
      team,
      { weight: 0.5, use: 0.5, level },
    ]),
  );
}

function buildEndpoint(
  tasks: readonly Workflow.Task[],
  accelerators = 1,
): fleet.EndpointSnapshot {
  return {
    id: "endpoint-0",
    service: "analysis",
    dataCentre: "dc-1",
    rack: "rack-0",
    labels: new Set(),
    total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators },
    usable: true,
    speed: 1,
    tasks,
  };
}

function runOn(workflow: Workflow.Workflow): Workflow.Task {
  const [task] = workflow.tasksOfStep(0, 0);
  task.place("endpoint-0", 1, 0);
  task.state = Workflow.TaskState.Running;
  return task;
}

function inputOf(
  workflows: readonly Workflow.Workflow[],
  changes: Partial<plans.PlanInput>,
): plans.PlanInput {
  return {
    endpoints: [buildEndpoint([])],
    workflows,
    guarantees: new Map(),
    nowMs: 500,
    wallMs: 0,
    remotePenalty: 3,
    isAdvised: () => true,
    hardLoad: TEAMS_COMPETE,
    ...changes,
  };
}

const anyOptions = fastCheck.record({
  tenant: fastCheck.constantFrom(...TEAMS),
  priority: fastCheck.nat({ max: 2 }),
  acceptedAtMs: fastCheck.integer({ min: -8000, max: 0 }),
  estimateMs: fastCheck.integer({ min: 100, max: 5000 }),
});
const anyLevels = fastCheck.record({
  a: fastCheck.nat({ max: 2 }),
  b: fastCheck.nat({ max: 2 }),
  c: fastCheck.nat({ max: 2 }),
});
const manyOptions = fastCheck.array(anyOptions, { maxLength: 12 });

function sort(
  options: readonly WorkflowOptions[],
  shares: teamShares.TeamShares | null,
) {
  const workflows = options.map((one) => buildWorkflow(one));
  const ranks = new rank.Ranks(workflows, new Map([["a", 1], ["b", 1]]));
  const units = workflows.flatMap((one) => one.readyUnits(0));
  const sorted = rank.sortUnits(units, ranks, { wallMs: 0, shares });
  return { ...sorted, ranks, given: units };
}

vitest.describe("the order of waiting work", () => {
  vitest.it("puts no team above its share before one below", () => {
    fastCheck.assert(
      fastCheck.property(manyOptions, anyLevels, (options, levels) => {
        const shares = sharesOf(levels);
        const { units, ranks } = sort(options, shares);
        for (const [i, later] of units.entries()) {
          for (const earlier of units.slice(0, i)) {
            vitest.expect(isOutOfOrder(earlier, later, { shares, ranks }))
              .toBe(false);
          }
        }
      }),
    );
  });

  vitest.it("is total and stable", () => {
    fastCheck.assert(
      fastCheck.property(manyOptions, anyLevels, (options, levels) => {
        const shares = sharesOf(levels);
        const { units, ranks, given } = sort(options, shares);
        const now = { wallMs: 0, shares };
        const again = rank.sortUnits(units, ranks, now);
        vitest.expect(again.units).toEqual(units);
        vitest.expect(new Set(units)).toEqual(new Set(given));
      }),
    );
  });

  vitest.it("ignores shares if all teams have the same level", () => {
    const anyLevel = fastCheck.nat({ max: 2 });
    fastCheck.assert(
      fastCheck.property(manyOptions, anyLevel, (options, level) => {
        const shares = sharesOf({ a: level, b: level, c: level });
        const { units, ranks, given } = sort(options, null);
        // A unit that may no longer be passed over goes before those that may.
        const patient = given.filter((unit) => !isPastHalfSlack(unit));
        const now = { wallMs: 0, shares };
        const ordered = rank.sortUnits(patient, ranks, now);
        vitest.expect(ordered.units)
          .toEqual(units.filter((unit) => !isPastHalfSlack(unit)));
        vitest.expect(ordered.passedOver.size).toBe(0);
      }),
    );
  });

  vitest.it("puts no other work before work within a guarantee", () => {
    const inside = buildWorkflow({ tenant: "a", priority: 0 });
    const beyond = buildWorkflow({ tenant: "b", priority: 0 });
    const plan = plans.makePlan(inputOf([beyond, inside], {
      guarantees: new Map([["a", 1]]),
      shares: sharesOf({ a: ShareLevel.Above, b: ShareLevel.Below }),
    }));
    vitest.expect(plan.starts.map(({ unit }) => unit.workflow))
      .toEqual([inside]);
  });

  vitest.it("passes over no unit that has used half of its slack", () => {
    // The objective is 2 x 1,000 + 500 ms, so the slack is 1,500 ms.
    const flooding = buildWorkflow({ tenant: "a", acceptedAtMs: -750 });
    const small = buildWorkflow({ tenant: "b", acceptedAtMs: 0 });
    const shares = sharesOf({ a: ShareLevel.Above, b: ShareLevel.Below });
    const plan = (wallMs: number) =>
      plans.makePlan(inputOf([flooding, small], { shares, wallMs }));
    const first = (wallMs: number) => plan(wallMs).starts[0].unit.workflow;
    vitest.expect(first(-1)).toBe(small);
    vitest.expect(plan(-1).waits[0].reason).toBe(waiting.WaitReason.Share);
    vitest.expect(first(0)).toBe(flooding);
    vitest.expect(plan(0).waits[0].reason).toBe(waiting.WaitReason.Reserved);
  });
});

vitest.describe("a plan where teams do not compete", () => {
  vitest.it("does not depend on the use of teams", () => {
    fastCheck.assert(
      fastCheck.property(
        manyOptions,
        anyLevels,
        fastCheck.boolean(),
        (options, levels, endpointsDiffer) => {
          const runs = ["a", "b"].map((tenant) =>
            runOn(buildWorkflow({ tenant, priority: 2 }))
          );
          const workflows = options.map((one) => buildWorkflow(one));
          const input = inputOf(workflows, {
            endpoints: [buildEndpoint(runs, 2)],
            hardLoad: { teamsCompete: false, endpointsDiffer },
          });
          const withShares = { ...input, shares: sharesOf(levels) };
          const { hardLoad: _, ...withoutHardLoad } = input;
          vitest.expect(plans.makePlan(withShares))
            .toEqual(plans.makePlan(endpointsDiffer ? input : withoutHardLoad));
        },
      ),
    );
  });
});

vitest.describe("a plan where all teams are below their shares", () => {
  vitest.it("is the same as with unknown shares", () => {
    fastCheck.assert(
      fastCheck.property(manyOptions, (options) => {
        const runs = ["a", "b"].map((tenant) =>
          runOn(buildWorkflow({ tenant, priority: 2 }))
        );
        const workflows = options.map((one) => buildWorkflow(one));
        const input = inputOf(workflows, {
          endpoints: [buildEndpoint(runs, 2)],
        });
        const { Below } = ShareLevel;
        const shares = sharesOf({ a: Below, b: Below, c: Below });
        vitest.expect(plans.makePlan({ ...input, shares }))
          .toEqual(plans.makePlan(input));
      }),
    );
  });
});

vitest.describe("the victim", () => {
  function victimOf(
    shares: teamShares.TeamShares,
    claimant = "c",
  ): string | undefined {
    // The run of team b is slightly cheaper to stop.
    const runs = [
      runOn(buildWorkflow({ tenant: "a", priority: 2, estimateMs: 9000 })),
      runOn(buildWorkflow({ tenant: "b", priority: 2, estimateMs: 9000 })),
    ];
    runs[0].startedAtMs = -100;
    const urgent = buildWorkflow({
      tenant: claimant,
      priority: 0,
      estimateMs: 5000,
    });
    const plan = plans.makePlan(inputOf([urgent], {
      endpoints: [buildEndpoint(runs, 2)],
      shares,
    }));
    return plan.stops[0]?.task.workflow.spec.tenant;
  }

  vitest.it("is the cheapest if all teams have the same level", () => {
    const within = ShareLevel.Within;
    vitest.expect(victimOf(sharesOf({ a: within, b: within }))).toBe("b");
  });

  vitest.it(
    "is of a team above its share rather than slightly cheaper",
    () => {
      const shares = sharesOf({ a: ShareLevel.Above, b: ShareLevel.Within });
      vitest.expect(victimOf(shares)).toBe("a");
    },
  );

  vitest.it("is the cheapest if no team is above its share", () => {
    const shares = sharesOf({ a: ShareLevel.Within, b: ShareLevel.Below });
    vitest.expect(victimOf(shares)).toBe("b");
  });

  vitest.it("may be of another team than the claimant", () => {
    const below = sharesOf({ a: ShareLevel.Below, b: ShareLevel.Below });
    vitest.expect(victimOf(below, "a")).toBe("b");
  });

  vitest.it(
    "loses no more than the claimant gains, even above its share",
    () => {
      // The claimant gains 9 core-seconds; the loss is 14.4, of which half is its cost.
      const run = runOn(buildWorkflow({ tenant: "b", priority: 2 }));
      const urgent = buildWorkflow({ tenant: "c", priority: 0 });
      const { stops } = plans.makePlan(inputOf([urgent], {
        endpoints: [buildEndpoint([run])],
        shares: sharesOf({ b: ShareLevel.Above }),
        nowMs: 600,
      }));
      vitest.expect(stops).toEqual([]);
    },
  );
});

/** Whether a unit that may be passed over comes before one of a lower level. */
function isOutOfOrder(
  earlier: Workflow.Unit,
  later: Workflow.Unit,
  by: { shares: teamShares.TeamShares; ranks: rank.Ranks },
): boolean {
  const { shares, ranks } = by;
  const isAlike = ranks.of(earlier.workflow) === ranks.of(later.workflow) &&
    rank.outcomeOf(earlier, 0) === rank.outcomeOf(later, 0);
  const levelOf = ({ workflow }: Workflow.Unit) =>
    teamShares.levelOfTeam(shares, workflow.spec.tenant);
  return isAlike && !isPastHalfSlack(earlier) &&
    levelOf(earlier) > levelOf(later);
}

/** Whether a unit has used half of its slack. */
function isPastHalfSlack({ workflow: { spec }, step }: Workflow.Unit): boolean {
  const objectiveMs = Workflow.objectiveAtMs(spec, 0);
  const spareMs = objectiveMs - spec.acceptedAtMs - step.estimateMs;
  return -spec.acceptedAtMs * 2 >= Math.max(0, spareMs);
}
