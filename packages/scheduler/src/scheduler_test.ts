import * as TestUtils from "@cairngate/test-utils";
import * as Types from "@cairngate/types";
import * as vitest from "vitest";
import * as guarantees from "./check_guarantees.ts";
import * as layouts from "./layout.ts";
import * as policies from "./policies.ts";
import * as schedulers from "./scheduler.ts";

const { describe, expect, test } = vitest;
const { buildDeployment, buildJobShape, buildTeam } = TestUtils;

function createScheduler(
  cfg: Types.DeploymentConfig,
): schedulers.Scheduler {
  const layout = layouts.createCellLayout(cfg, "cell");
  const chosen = policies.createPolicies(cfg.weighting);
  const scheduler = new schedulers.Scheduler(layout, chosen);
  for (const worker of layout.workers) {
    if (worker !== undefined) scheduler.setWorkerAvailable(worker.index, true);
  }
  return scheduler;
}

function startsOf(decisions: readonly Types.Decision[]): string[] {
  return decisions
    .filter((d) => d.kind === Types.DecisionKind.Start)
    .map((d) => d.jobId);
}

describe("guarantees", () => {
  test("that fit by count but not as whole blocks are rejected", () => {
    const teams = [
      buildTeam("a", { guarantee: [[64, 1]] }),
      buildTeam("b", { guarantee: [[32, 2]] }),
    ];
    // 2 racks of 6 workers have 96 accelerators but no free block of 64.
    const cfg = buildDeployment({ racks: 2, workersPerRack: 6, teams });
    const layout = layouts.createCellLayout(cfg, "cell");
    const found = guarantees.checkGuarantees(layout);
    expect(found).toMatchObject({ team: "a", block: 64, missing: 1 });
    expect(found?.message).toContain("0 of 1 blocks of 64");
  });

  test("are reclaimed from opportunistic jobs of other teams", () => {
    const teams = [
      buildTeam("a", { guarantee: [[32, 1]] }),
      buildTeam("b"),
    ];
    const scheduler = createScheduler(buildDeployment({ teams }));
    for (let i = 0; i < 8; i++) {
      const shape = buildJobShape(`b${i}`, { team: "b", accelerators: 8 });
      scheduler.submit(shape, { nowMs: 0 });
    }
    scheduler.plan(0);
    const claim = buildJobShape("claim", { accelerators: 8, gang: 4 });
    scheduler.submit(claim, { nowMs: 1000 });
    const decisions = scheduler.plan(1000);
    const stopped = decisions.filter((d) =>
      d.kind === Types.DecisionKind.Preempt
    );
    expect(stopped).toHaveLength(4);
    for (const { jobId } of stopped) {
      const options = { nowMs: 2000, progress: 0.1, detail: "yielded" };
      scheduler.requeue(jobId, options);
    }
    expect(startsOf(scheduler.plan(2000))).toEqual(["claim"]);
    expect(scheduler.get("claim")?.entitlement).toBe(
      Types.Entitlement.Guaranteed,
    );
  });

  test("are not blocked by jobs that cannot yield", () => {
    const teams = [
      buildTeam("a", { guarantee: [[8, 1]] }),
      buildTeam("b"),
    ];
    const cfg = buildDeployment({ workersPerRack: 2, teams });
    const scheduler = createScheduler(cfg);
    for (let i = 0; i < 2; i++) {
      const changes = { team: "b", accelerators: 8, repeatable: false };
      scheduler.submit(buildJobShape(`b${i}`, changes), { nowMs: 0 });
    }
    // One of the two workers has to stay reclaimable for team a.
    expect(startsOf(scheduler.plan(0))).toHaveLength(1);
    expect(scheduler.occupancy.tracker.holds()).toBe(true);
  });

  test("claimed on a worker that is lost do not start there", () => {
    const teams = [buildTeam("a", { guarantee: [[8, 1]] }), buildTeam("b")];
    const cfg = buildDeployment({ workersPerRack: 2, teams });
    const scheduler = createScheduler(cfg);
    for (let i = 0; i < 2; i++) {
      const shape = buildJobShape(`b${i}`, { team: "b", accelerators: 8 });
      scheduler.submit(shape, { nowMs: 0 });
    }
    scheduler.plan(0);
    scheduler.submit(buildJobShape("claim", { accelerators: 8 }), { nowMs: 1 });
    const [{ jobId }] = scheduler.plan(1);
    const [slot] = scheduler.get(jobId)!.slots;
    const options = { nowMs: 2, progress: 0, detail: "yielded" };
    scheduler.requeue(jobId, options);
    scheduler.setWorkerAvailable(slot.worker, false);
    for (const decision of scheduler.plan(3)) {
      if (decision.kind !== Types.DecisionKind.Start) continue;
      expect(decision.slots.map((s) => s.worker)).not.toContain(slot.worker);
      expect(decision.slots.length).toBeGreaterThan(0);
    }
    expect(scheduler.get("claim")?.state).not.toBe(Types.JobState.Running);
  });

  test("that a lost worker makes infeasible are reported", () => {
    const teams = [buildTeam("a", { guarantee: [[16, 1]] })];
    const cfg = buildDeployment({ workersPerRack: 2, teams });
    const scheduler = createScheduler(cfg);
    scheduler.setWorkerAvailable(0, false);
    expect(scheduler.occupancy.tracker.shortfall()[4]).toBe(1);
    scheduler.setWorkerAvailable(0, true);
    expect(scheduler.occupancy.tracker.holds()).toBe(true);
  });
});

describe("gangs", () => {
  test("start all members at once or wait", () => {
    const scheduler = createScheduler(buildDeployment({ workersPerRack: 2 }));
    const gang = buildJobShape("gang", { accelerators: 8, gang: 2 });
    scheduler.submit(buildJobShape("one"), { nowMs: 0 });
    scheduler.plan(0);
    scheduler.submit(gang, { nowMs: 1 });
    expect(startsOf(scheduler.plan(1))).toEqual([]);
    scheduler.finish("one");
    expect(startsOf(scheduler.plan(2))).toEqual(["gang"]);
  });

  test("are not starved by a stream of small jobs", () => {
    const scheduler = createScheduler(buildDeployment({ workersPerRack: 2 }));
    const small = (id: string, nowMs: number) =>
      scheduler.submit(
        buildJobShape(id, { submittedAtMs: nowMs, accelerators: 4 }),
        { nowMs },
      );
    for (let i = 0; i < 4; i++) small(`s${i}`, i);
    scheduler.plan(3);
    const shape = { accelerators: 8, gang: 2, submittedAtMs: 5 };
    scheduler.submit(buildJobShape("gang", shape), { nowMs: 5 });
    let started = false;
    for (let i = 4; i < 40 && !started; i++) {
      const nowMs = i * 60_000;
      small(`s${i}`, nowMs);
      scheduler.finish(`s${i - 4}`);
      started = startsOf(scheduler.plan(nowMs)).includes("gang");
    }
    expect(started).toBe(true);
  });
});

describe("where fragmentation weighs more", () => {
  test("jobs are moved to free a whole rack while no job waits", () => {
    const weighting = { completionTime: 0.3, fragmentation: 0.7 };
    const cfg = buildDeployment({ racks: 2, weighting });
    const scheduler = createScheduler(cfg);
    const half = { accelerators: 8, gang: 4, estimateMs: 36_000_000 };
    for (const id of ["first", "second"]) {
      scheduler.submit(buildJobShape(id, half), { nowMs: 0 });
    }
    scheduler.plan(0);
    const small = { accelerators: 2, estimateMs: 36_000_000 };
    scheduler.submit(buildJobShape("small", small), { nowMs: 1 });
    scheduler.plan(1);
    scheduler.finish("second");
    const racks = () =>
      new Set(
        ["first", "small"].flatMap((id) => scheduler.get(id)!.slots)
          .map((slot) => Math.floor(slot.worker / 8)),
      );
    expect(racks().size).toBe(2);
    const nowMs = 3_600_000;
    const decisions = scheduler.plan(nowMs);
    expect(decisions).toMatchObject([{ jobId: "small", claimant: null }]);
    const options = { nowMs, progress: 0.1, detail: "moved" };
    scheduler.requeue("small", options);
    scheduler.plan(nowMs + 1);
    expect(racks().size).toBe(1);
  });
});

describe("explanations", () => {
  test("name the quota that a job waits for", () => {
    const teams = [buildTeam("a", { quota: 1 })];
    const scheduler = createScheduler(buildDeployment({ teams }));
    scheduler.submit(buildJobShape("one"), { nowMs: 0 });
    scheduler.submit(buildJobShape("two"), { nowMs: 1 });
    scheduler.plan(1);
    const found = scheduler.explain("two", 2);
    expect(found?.waitsFor[0].kind).toBe(Types.ReasonKind.WaitsForQuota);
    expect(found?.startsWhen).toContain("quota");
  });

  test("name the jobs ahead in the queue", () => {
    const cfg = buildDeployment({ workersPerRack: 1 });
    const scheduler = createScheduler(cfg);
    for (const id of ["first", "second", "third"]) {
      const changes = { accelerators: 8, repeatable: false };
      scheduler.submit(buildJobShape(id, changes), { nowMs: 0 });
    }
    scheduler.plan(0);
    const third = scheduler.explain("third", 1);
    expect(third?.ahead).toEqual(["second"]);
    expect(third?.state).toBe(Types.JobState.Waiting);
  });
});
