/**
 * Guards against two concurrent runs of a task: a start has no answer, and the next run
 * begins elsewhere. The coordinator is replaced, and the endpoint of that start answers
 * the next one, which refuses starts of the earlier term. It then restarts under its id
 * and gets that start, while no entry shows the restart.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const TASK = `${ID}.0.0.0`;
/** Exceeds the duration of the tests, in ms. */
const NEVER_MS = 600_000;
/** Time from the sending of a late start to its delivery, in ms. */
const LATE_START_DELAY_MS = 2500;
/** Time after which all late orders are delivered, in ms. */
const SETTLED_MS = 5000;
/** Time from the first poll of a term to the restart of the idle endpoint, in ms. */
const IDLE_MS = 600;

const { Delivered, Late } = StandIns.OrderOutcome;

/** Submits a task whose starts are late at one endpoint and begin at the other one. */
async function startElsewhere(fleet: TestUtils.TestFleet) {
  const { workers, clock } = fleet;
  fleet.keepsIds = true;
  fleet.resetsClocks = true;
  fleet.restartDelayMs = NEVER_MS;
  workers.behave = () => ({ runMs: NEVER_MS, fails: false });
  await fleet.start();
  let lateEndpoint = "";
  let deliveredAtMs = 0;
  workers.decideOutcome = (endpoint, order) => {
    if (order !== "start") return Delivered;
    if (lateEndpoint === "") {
      lateEndpoint = endpoint;
      deliveredAtMs = clock.monotonicMs() + LATE_START_DELAY_MS;
    }
    return endpoint === lateEndpoint ? Late : Delivered;
  };
  const steps = [TestUtils.buildStep({ estimateMs: NEVER_MS })];
  await fleet.submit("node-1", ID, { steps });
  await fleet.until(() => workers.runs.length === 1);
  return { lateEndpoint, deliveredAtMs };
}

/** Replaces the coordinator; the next one polls the endpoint, which then is idle. */
async function replaceCoordinator(
  fleet: TestUtils.TestFleet,
  endpoint: string,
): Promise<void> {
  const token = fleet.token();
  let isPolled = false;
  fleet.workers.decideOutcome = (id, order) => {
    isPolled ||= id === endpoint && order === "renew" && fleet.token() > token;
    return Delivered;
  };
  await fleet.run(fleet.box(fleet.coordinator() ?? "").leave());
  await fleet.until(() => isPolled);
}

vitest.describe("a late start of an earlier term at an idle endpoint", () => {
  for (const terms of [1, 2]) {
    vitest.it(
      `does not run beside the next run, ${terms} terms later`,
      async () => {
        const fleet = new TestUtils.TestFleet({ workers: [1, 1], boxes: 5 });
        const { lateEndpoint, deliveredAtMs } = await startElsewhere(fleet);
        const { workers, clock } = fleet;
        for (let i = 0; i < terms; i++) {
          await replaceCoordinator(fleet, lateEndpoint);
        }
        await clock.advance(IDLE_MS);
        vitest.expect(clock.monotonicMs()).toBeLessThan(deliveredAtMs);
        // The entry of the previous incarnation stays as it is.
        workers.crash(lateEndpoint);
        workers.restart({ id: lateEndpoint, accelerators: 1 });
        await clock.advance(SETTLED_MS);
        vitest.expect(workers.runsOf(TASK).length).toBe(1);
        vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
        await fleet.stop();
      },
    );
  }

  vitest.it("does not run beside the next run if it is unlisted", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1], boxes: 5 });
    const { lateEndpoint, deliveredAtMs } = await startElsewhere(fleet);
    const { workers, clock } = fleet;
    const token = fleet.token();
    workers.decideOutcome = () => Delivered;
    workers.crash(lateEndpoint);
    fleet.unlist(lateEndpoint);
    await fleet.run(fleet.box(fleet.coordinator() ?? "").leave());
    await clock.advance(IDLE_MS);
    vitest.expect(fleet.token()).toBeGreaterThan(token);
    vitest.expect(clock.monotonicMs()).toBeLessThan(deliveredAtMs);
    workers.restart({ id: lateEndpoint, accelerators: 1 });
    await clock.advance(SETTLED_MS);
    vitest.expect(workers.runsOf(TASK).length).toBe(1);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });
});
