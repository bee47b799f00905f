/** Endpoints that have just started are cold: they run slowly for some time. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

/** Endpoints 0 to 3 are cold, 4 to 7 warm. */
const SIZES: readonly number[] = [1, 1, 1, 1, 1, 1, 1, 1];
const isCold = (index: number) => index < 4;
/** Time for which endpoints are cold, in ms; longer than the test. */
const COLD_MS = 60_000;
/** Duration of a run on a warm and on a cold endpoint, in ms. */
const WARM_RUN_MS = 2000;
const COLD_RUN_MS = 12_000;

async function startFleet(): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({
    workers: SIZES,
    longestLeaseMs: 10_000,
  });
  for (const [index, accelerators] of SIZES.entries()) {
    const coldForMs = isCold(index) ? COLD_MS : 0;
    fleet.list({ id: `worker-${index}`, accelerators }, index, { coldForMs });
  }
  fleet.workers.behave = (_, id) => ({
    runMs: isCold(fleet.indexOf(id)) ? COLD_RUN_MS : WARM_RUN_MS,
    fails: false,
  });
  await fleet.start();
  return fleet;
}

const step = (count: number) =>
  TestUtils.buildStep({ count, estimateMs: WARM_RUN_MS });

vitest.describe("cold endpoints", () => {
  vitest.it("get no urgent work while warm ones are free", async () => {
    const fleet = await startFleet();
    const options = { priority: 0, steps: [step(4)] };
    await fleet.submit("node-1", "a000000000000001", options);
    await fleet.until(() => fleet.workers.runs.length === 4);
    const indexes = fleet.workers.runs.map((record) =>
      fleet.indexOf(record.worker)
    );
    vitest.expect(indexes.filter(isCold)).toEqual([]);
    await fleet.stop();
  });

  vitest.it("have no stragglers: their runs are not repeated", async () => {
    const fleet = await startFleet();
    const id = "a000000000000001";
    await fleet.submit("node-1", id, { steps: [step(8)] });
    const isDone = () => fleet.state(id) === Workflow.WorkflowState.Completed;
    vitest.expect(await fleet.until(isDone)).toBe(true);
    const ends = fleet.workers.runs.map(({ how }) => how);
    vitest.expect(ends).toEqual(Array.from({ length: 8 }, () => "done"));
    await fleet.stop();
  });

  vitest.it("get urgent work if no warm endpoint is free", async () => {
    const fleet = await startFleet();
    const options = { priority: 0, steps: [step(8)] };
    await fleet.submit("node-1", "a000000000000001", options);
    await fleet.until(() => fleet.workers.runs.length === 8, 2000);
    vitest.expect(fleet.workers.runs.length).toBe(8);
    await fleet.stop();
  });
});
