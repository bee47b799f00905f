/** Slow runs are found by comparison, and restarted only where that pays. */
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
    task: workflow.rounds[0][0][i],
    worker: `worker-${i}`,
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
    vitest.expect([...found.workers]).toEqual(["worker-2"]);
  });

  vitest.it("leaves runs alone that are all equally slow", () => {
    const found = watch.findStragglers(buildRuns([5, 6, 5, 6]));
    vitest.expect(found.restart).toEqual([]);
  });

  vitest.it(
    "takes no run for slow because of its endpoint's usual speed",
    () => {
      const percents = [80, 80, 20, 80];
      const speeds = [1.6, 1.6, 0.6, 1.6];
      const found = watch.findStragglers(buildRuns(percents, { speeds }));
      vitest.expect([...found.workers]).toEqual([]);
      const even = watch.findStragglers(buildRuns(percents));
      vitest.expect([...even.workers]).toEqual(["worker-2"]);
    },
  );

  vitest.it(
    "finds a run that is slow beside its endpoint's usual speed",
    () => {
      const speeds = [0.6, 1.6, 1.6];
      const runs = buildRuns([30, 80, 20], { speeds });
      vitest.expect([...watch.findStragglers(runs).workers]).toEqual([
        "worker-2",
      ]);
    },
  );

  vitest.it("says nothing about runs that have just begun", () => {
    const found = watch.findStragglers(
      buildRuns([20, 0, 20], { ranMs: 400 }),
    );
    vitest.expect(found.workers.size).toBe(0);
  });

  vitest.it("keeps a slow run that is nearly done", () => {
    const found = watch.findStragglers(buildRuns([100, 98, 100]));
    vitest.expect(found.restart).toEqual([]);
  });

  vitest.it("restarts a lone run once, then takes the task as slow", () => {
    const runs = buildRuns([2]);
    vitest.expect(watch.findStragglers(runs).restart.length).toBe(1);
    runs[0].task.slowRuns = 1;
    vitest.expect(watch.findStragglers(runs).restart.length).toBe(0);
  });

  vitest.it("judges a run by what came while it was watched", () => {
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

  vitest.it("knows a run that has slowed down by its own pace", () => {
    const [run] = buildRuns([40]).map((one) => ({
      ...one,
      ranMs: 3000,
      earlierRate: 0.02,
    }));
    const well = { ...run, recentRate: 0.015 };
    vitest.expect(watch.findStragglers([well]).workers.size).toBe(0);
    const slow = { ...run, recentRate: 0.004 };
    const found = watch.findStragglers([slow]);
    vitest.expect([...found.workers]).toEqual(["worker-0"]);
    vitest.expect([...found.slow]).toEqual([run.task]);
  });

  vitest.it("gives a slow worker time to mend, but not for ever", () => {
    const slowed = { ranMs: 5000, recentRate: 0, earlierRate: 0.0125 };
    const [run] = buildRuns([50]).map((one) => ({ ...one, ...slowed }));
    vitest.expect(watch.findStragglers([run]).restart).toEqual([]);
    const later = { ...run, slowForMs: 8000 };
    vitest.expect(watch.findStragglers([later]).restart).toEqual([run.task]);
  });

  vitest.it("restarts at once what loses nothing by it", () => {
    const step = { checkpoints: true };
    const slowed = { ranMs: 5000, recentRate: 0, earlierRate: 0.0125 };
    const [run] = buildRuns([50], { step }).map((one) => ({
      ...one,
      ...slowed,
    }));
    vitest.expect(watch.findStragglers([run]).restart).toEqual([run.task]);
  });

  vitest.it("never restarts a task that lasts", () => {
    const runs = buildRuns([50, 2, 50], { step: { lasting: true } });
    vitest.expect(watch.findStragglers(runs).restart).toEqual([]);
  });
});
