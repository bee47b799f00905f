/** A data centre loses power, with the coordinator, another box and its endpoints. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

/** Endpoints 0 to 3 are in the data centre that is lost, 4 to 11 in others. */
const SIZES: readonly number[] = Array.from({ length: 12 }, () => 2);
const LOST_DATA_CENTRE = "brno-a";
const dataCentreOf = (index: number) =>
  index < 4 ? LOST_DATA_CENTRE : `other-${index % 2}`;
/** Time for a takeover and a lease, after which work starts elsewhere, in ms. */
const RECOVERY_TIMEOUT_MS = 3000 + TestUtils.FLEET_BOUNDS.longestLeaseMs;

async function startFleet() {
  const fleet = new TestUtils.TestFleet({
    boxes: 6,
    workers: SIZES,
    dataCentreOf,
    config: TestUtils.buildAccess({ hana: 8, jan: 0 }),
  });
  fleet.workers.behave = () => ({ runMs: 2500, fails: false });
  await fleet.start();
  return fleet;
}

/** Ends the coordinator, another box and all endpoints there at once. */
async function losePower(fleet: TestUtils.TestFleet): Promise<void> {
  const lost = fleet.workers.listRunning().filter((id) =>
    dataCentreOf(fleet.indexOf(id)) === LOST_DATA_CENTRE
  );
  const coordinator = fleet.coordinator() ?? "";
  const [other] = [...fleet.boxes.keys()].filter((n) => n !== coordinator);
  // The power does not return, so no endpoint restarts.
  fleet.workers.onCrash = () => {};
  for (const id of lost) fleet.workers.crash(id);
  await fleet.kill(coordinator);
  await fleet.kill(other);
}

function countStartsElsewhere(fleet: TestUtils.TestFleet, id: string): number {
  return fleet.workers.runs.filter(({ task, worker }) =>
    task.startsWith(`${id}.`) &&
    dataCentreOf(fleet.indexOf(worker)) !== LOST_DATA_CENTRE
  ).length;
}

vitest.describe("a data centre without power", () => {
  vitest.it("loses no work; gangs run elsewhere", async () => {
    const fleet = await startFleet();
    const gang = TestUtils.buildStep({
      count: 6,
      gang: true,
      estimateMs: 2500,
    });
    const ids = ["a000000000000001", "a000000000000002", "a000000000000003"];
    for (const id of ids) await fleet.submit("node-1", id, { steps: [gang] });
    await fleet.until(() => fleet.workers.runs.length >= 12);
    await losePower(fleet);
    const isDone = () =>
      ids.every((id) => fleet.state(id) === Workflow.WorkflowState.Completed);
    vitest.expect(await fleet.until(isDone, 60_000)).toBe(true);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });

  vitest.it("violates no guarantee: other work yields elsewhere", async () => {
    const fleet = await startFleet();
    const wideStep = TestUtils.buildStep({ count: 24, estimateMs: 2500 });
    const [first] = fleet.boxes.keys();
    await fleet.submit(first, "b000000000000001", {
      tenant: "jan",
      priority: 2,
      steps: [wideStep],
    });
    await fleet.until(() => fleet.workers.runs.length >= 24);
    await losePower(fleet);
    const [box] = fleet.boxes.keys();
    const urgentStep = TestUtils.buildStep({ count: 8, estimateMs: 2500 });
    const id = "a000000000000001";
    await fleet.submit(box, id, { priority: 0, steps: [urgentStep] });
    const isRunning = () => countStartsElsewhere(fleet, id) === 8;
    vitest.expect(await fleet.until(isRunning, RECOVERY_TIMEOUT_MS)).toBe(true);
    await fleet.stop();
  });
});
