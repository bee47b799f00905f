/** Stragglers are found by comparison and restarted only where that saves time. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as watch from "./straggler_watch.ts";

function buildRuns(
  percents: readonly number[],
  options: {
    ranMs?: number;
    step?: Partial<Workflow.StepSpec>;
    speeds?: readonly number[];
  } = {},
): watch.RunProgress[] {
  const step = TestUtils.buildStep({
    count: percents.length,
    estimateMs: 4000,
    ...options.step,
  });
  const workflow = new Workflow.Workflow({
    id: "a000000000000001",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[0],
    payload: "",
    steps: [step],
    schedule: null,
    acceptedAtMs: 0,
  });
  return percents.map((percent, i) => ({
    task: workflow.tasksOfStep(0, 0)[i],
    endpoint: `worker-${i}`,
    speed: options.speeds?.[i] ?? 1,
    ranMs: options.ranMs ?? 2000,
    percent,
    progressPercent: percent,
    recentRate: null,
    earlierRate: null,
    slowForMs: 0,
  }));
}

vitest.describe("findStragglers", () => {
  vitest.it("restarts the one run that lags far behind", () => {
    const runs = buildRuns([50, 52, 8, 49]);
    const found = watch.findStragglers(runs);
    vitest.expect(found.restart).toEqual([runs[2].task]);
    vitest.expect([...found.endpoints]).toEqual(["worker-2"]);
  });

  vitest.it("keeps runs that are all equally slow", () => {
    const found = watch.findStragglers(buildRuns([5, 6, 5, 6]));
    vitest.expect(found.restart).toEqual([]);
  });

  vitest.it(
    "does not count a run as slow for its endpoint's usual speed",
    () => {
      const percents = [80, 80, 20, 80];
      const speeds = [1.6, 1.6, 0.6, 1.6];
      const found = watch.findStragglers(buildRuns(percents, { speeds }));
      vitest.expect([...found.endpoints]).toEqual([]);
      const even = watch.findStragglers(buildRuns(percents));
      vitest.expect([...even.endpoints]).toEqual(["worker-2"]);
    },
  );

  vitest.it(
    "finds a run that is slow relative to its endpoint's speed",
    () => {
      const speeds = [0.6, 1.6, 1.6];
      const runs = buildRuns([30, 80, 20], { speeds });
      vitest.expect([...watch.findStragglers(runs).endpoints]).toEqual([
        "worker-2",
      ]);
    },
  );

  vitest.it("does not judge runs that have just started", () => {
    const found = watch.findStragglers(
      buildRuns([20, 0, 20], { ranMs: 400 }),
    );
    vitest.expect(found.endpoints.size).toBe(0);
  });

  vitest.it("keeps a slow run that is nearly done", () => {
    const found = watch.findStragglers(buildRuns([100, 98, 100]));
    vitest.expect(found.restart).toEqual([]);
  });

  vitest.it("restarts a lone run once, then treats the task as slow", () => {
    const runs = buildRuns([2]);
    vitest.expect(watch.findStragglers(runs).restart.length).toBe(1);
    runs[0].task.slowRuns = 1;
    vitest.expect(watch.findStragglers(runs).restart.length).toBe(0);
  });

  vitest.it("judges a run by its progress while it was watched", () => {
    const runs = buildRuns([90]).map((run) => ({
      ...run,
      progressPercent: 40,
    }));
    vitest.expect(watch.findStragglers(runs).restart).toEqual([]);
    const standing = buildRuns([50]).map((run) => ({
      ...run,
      progressPercent: 0,
    }));
    vitest.expect(watch.findStragglers(standing).restart.length).toBe(1);
  });

  vitest.it("finds a run that has slowed down relative to itself", () => {
    const [run] = buildRuns([40]).map((one) => ({
      ...one,
      ranMs: 3000,
      earlierRate: 0.02,
    }));
    const well = { ...run, recentRate: 0.015 };
    vitest.expect(watch.findStragglers([well]).endpoints.size).toBe(0);
    const slow = { ...run, recentRate: 0.004 };
    const found = watch.findStragglers([slow]);
    vitest.expect([...found.endpoints]).toEqual(["worker-0"]);
    vitest.expect([...found.slow]).toEqual([run.task]);
  });

  vitest.it("waits for a slow endpoint to recover, but not forever", () => {
    const slowed = { ranMs: 5000, recentRate: 0, earlierRate: 0.0125 };
    const [run] = buildRuns([50]).map((one) => ({ ...one, ...slowed }));
    vitest.expect(watch.findStragglers([run]).restart).toEqual([]);
    const later = { ...run, slowForMs: 8000 };
    vitest.expect(watch.findStragglers([later]).restart).toEqual([run.task]);
  });

  vitest.it("restarts a checkpointed run at once, as it loses nothing", () => {
    const step = { checkpoints: true };
    const slowed = { ranMs: 5000, recentRate: 0, earlierRate: 0.0125 };
    const [run] = buildRuns([50], { step }).map((one) => ({
      ...one,
      ...slowed,
    }));
    vitest.expect(watch.findStragglers([run]).restart).toEqual([run.task]);
  });

  vitest.it("never restarts a lasting task", () => {
    const runs = buildRuns([50, 2, 50], { step: { lasting: true } });
    vitest.expect(watch.findStragglers(runs).restart).toEqual([]);
  });
});
