/** A box with little processor capacity coordinates a large fleet. */
import type * as Coordinator from "@cairngate/coordinator";
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

/** Number of endpoints, about that of a large deployment. */
const ENDPOINTS = 300;
/**
 * Processor time of a call on a third of a core, in ms: 350 polls a second use all
 * of it.
 */
const CALL_MS = 3;
/** Time during which the term must not change, in ms. */
const OBSERVATION_MS = 12_000;
/** Longest wait of a poll that the endpoint protocol accepts, in ms. */
const MAX_POLL_WAIT_MS = 2000;
const LONG_ID = "a000000000000001";
const URGENT_ID = "a000000000000002";
/** Time within which a slow coordinator starts an urgent workflow, in ms. */
const START_TIMEOUT_MS = 1500;

/** Starts a fleet in which all endpoints but ten are occupied by long work. */
async function startBusyFleet(
  longestLeaseMs?: number,
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({
    ...(longestLeaseMs === undefined ? {} : { longestLeaseMs }),
    boxes: 4,
    workers: Array.from({ length: ENDPOINTS }, () => 1),
  });
  fleet.workers.behave = (task) => ({
    runMs: task.startsWith(LONG_ID) ? 300_000 : 500,
    fails: false,
  });
  await fleet.start();
  const count = ENDPOINTS - 10;
  const steps = [TestUtils.buildStep({ count, estimateMs: 300_000 })];
  await fleet.submit("node-1", LONG_ID, { steps });
  await fleet.until(() => fleet.workers.runs.length === count);
  for (const name of fleet.boxes.keys()) {
    fleet.faultsOf(name).processor.callMs = CALL_MS;
  }
  return fleet;
}

vitest.describe("a box with little processor capacity", () => {
  vitest.it("keeps the term that it has just taken over", async () => {
    const fleet = await startBusyFleet();
    const before = fleet.token();
    await fleet.kill(fleet.coordinator() ?? "");
    await fleet.until(() => fleet.token() > before);
    await fleet.clock.advance(OBSERVATION_MS);
    vitest.expect(fleet.token()).toBe(before + 1);
    const [name] = [...fleet.boxes.keys()];
    await fleet.submit(name, URGENT_ID, { priority: 0 });
    const isStarted = () =>
      fleet.workers.runsOf(`${URGENT_ID}.0.0.0`).length > 0;
    const hasStarted = await fleet.until(isStarted, START_TIMEOUT_MS);
    vitest.expect(hasStarted).toBe(true);
    fleet.workers.update();
    const ends = fleet.workers.runs.filter(({ task, how }) =>
      task.startsWith(LONG_ID) && how !== null
    );
    vitest.expect(ends).toEqual([]);
    vitest.expect(fleet.state(LONG_ID)).toBe(Workflow.WorkflowState.Running);
    await fleet.stop();
  });

  vitest.it("sends no poll with a wait above the maximum", async () => {
    const waits: number[] = [];
    const fleet = await startBusyFleet(10_000);
    const renew = fleet.workers.renew.bind(fleet.workers);
    fleet.workers.renew = (endpoint, order) => {
      waits.push(order.waitMs);
      return renew(endpoint, order);
    };
    for (const name of fleet.boxes.keys()) {
      fleet.faultsOf(name).processor.callMs = 5;
    }
    await fleet.clock.advance(15_000);
    vitest.expect(waits.length).toBeGreaterThan(ENDPOINTS);
    vitest.expect(Math.max(...waits)).toBeLessThanOrEqual(MAX_POLL_WAIT_MS);
    await fleet.stop();
  });

  vitest.it("does not count silent endpoints as its own delay", async () => {
    const fleet = await startBusyFleet();
    for (const name of fleet.boxes.keys()) {
      fleet.faultsOf(name).processor.callMs = 0;
    }
    fleet.workers.decideOutcome = (endpoint, order) =>
      order === "renew" && Number(endpoint.split("-")[1]) < ENDPOINTS * 0.85
        ? StandIns.OrderOutcome.Silent
        : StandIns.OrderOutcome.Delivered;
    await fleet.clock.advance(12_000);
    const box = fleet.box(fleet.coordinator() ?? "");
    const work = box.dump()["work"] as Coordinator.CoordinatorDump;
    vitest.expect(work.lateMs).toBeLessThan(100);
    await fleet.stop();
  });
});
