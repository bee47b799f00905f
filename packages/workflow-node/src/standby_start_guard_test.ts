/**
 * Guards against repeating completed work while there is no coordinator: a start gets
 * no answer, its repetition completes the work, and then the coordinator is lost and
 * the endpoint restarts. Other boxes have to call the restarted endpoint before the
 * first start is delivered.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Run time of the task, in ms. */
const RUN_MS = 100;
/** Exceeds the duration of the tests, in ms. */
const NEVER_MS = 600_000;
/** Time from the loss of the coordinator to the delivery, in ms: less than a takeover. */
const COORDINATOR_LOST_MS = 550;
/** Time from the restart of the endpoint to the delivery, in ms. */
const RESTART_LEAD_MS = 120;
/** Time within which all late orders are delivered and a box has taken over, in ms. */
const SETTLED_MS = 5000;

const { Delivered } = StandIns.OrderOutcome;

/** Completes one task, whose first start is still to be delivered. */
async function completeTask(boxes = 3) {
  const fleet = new TestUtils.TestFleet({ workers: [1], boxes });
  fleet.keepsIds = true;
  fleet.resetsClocks = true;
  fleet.restartDelayMs = NEVER_MS;
  await fleet.start();
  const deliveredAtMs = await TestUtils.completeBeforeLateStart(fleet, {
    id: ID,
    runMs: RUN_MS,
  });
  return { fleet, deliveredAtMs };
}

/** Delivers all orders from now on; the result counts the stops among them. */
function watchStops(fleet: TestUtils.TestFleet): () => number {
  let stops = 0;
  fleet.workers.decideOutcome = (_, order) => {
    if (order === "stop") stops++;
    return Delivered;
  };
  return () => stops;
}

async function advanceTo({ clock }: TestUtils.TestFleet, atMs: number) {
  await clock.advance(atMs - clock.monotonicMs());
}

vitest.describe("a late start while there is no coordinator", () => {
  vitest.it("does not repeat completed work", async () => {
    const { fleet, deliveredAtMs } = await completeTask();
    const { workers } = fleet;
    const [{ worker: id }] = workers.runs;
    await advanceTo(fleet, deliveredAtMs - COORDINATOR_LOST_MS);
    const token = fleet.token();
    await fleet.kill(fleet.coordinator() ?? "");
    workers.crash(id);
    await advanceTo(fleet, deliveredAtMs - RESTART_LEAD_MS);
    fleet.restartUnderSameId({ id, accelerators: 1 });
    await advanceTo(fleet, deliveredAtMs + 1);
    vitest.expect(fleet.token()).toBe(token);
    await fleet.clock.advance(SETTLED_MS);
    vitest.expect(fleet.token()).toBeGreaterThan(token);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });
});

/** Kills two boxes by name, the first ones apart from the coordinator. */
async function killFirstBoxes(fleet: TestUtils.TestFleet): Promise<void> {
  const coordinator = fleet.coordinator();
  const others = [...fleet.boxes.keys()].filter((name) => name !== coordinator);
  for (const name of others.sort().slice(0, 2)) await fleet.kill(name);
}

vitest.describe("boxes that guard against late starts", () => {
  vitest.it("are replaced if they are lost", async () => {
    const { fleet, deliveredAtMs } = await completeTask(5);
    const { workers } = fleet;
    const [{ worker: id }] = workers.runs;
    await killFirstBoxes(fleet);
    await advanceTo(fleet, deliveredAtMs - COORDINATOR_LOST_MS);
    const token = fleet.token();
    await fleet.kill(fleet.coordinator() ?? "");
    workers.crash(id);
    await advanceTo(fleet, deliveredAtMs - RESTART_LEAD_MS);
    fleet.restartUnderSameId({ id, accelerators: 1 });
    await advanceTo(fleet, deliveredAtMs + 1);
    vitest.expect(fleet.token()).toBe(token);
    await fleet.clock.advance(SETTLED_MS);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });

  vitest.it("send no stops while the coordinator is there", async () => {
    const { fleet } = await completeTask();
    const countStops = watchStops(fleet);
    await fleet.clock.advance(SETTLED_MS);
    vitest.expect(countStops()).toBe(0);
    await fleet.stop();
  });

  vitest.it("send no more stops once another box coordinates", async () => {
    const { fleet } = await completeTask();
    const countStops = watchStops(fleet);
    await fleet.kill(fleet.coordinator() ?? "");
    await fleet.clock.advance(SETTLED_MS);
    const stopsBefore = countStops();
    vitest.expect(stopsBefore).toBeGreaterThan(0);
    await fleet.clock.advance(SETTLED_MS);
    vitest.expect(countStops()).toBe(stopsBefore);
    await fleet.stop();
  });

  vitest.it("send no more stops after they have ended", async () => {
    const { fleet } = await completeTask();
    const countStops = watchStops(fleet);
    await fleet.kill(fleet.coordinator() ?? "");
    await fleet.until(() => countStops() > 0);
    await fleet.stop();
    const stopsAtEnd = countStops();
    await fleet.clock.advance(SETTLED_MS);
    vitest.expect(countStops()).toBe(stopsAtEnd);
  });
});
