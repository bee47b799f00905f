/**
 * Guards against two concurrent runs of a gang's task after an earlier coordinator
 * stopped a member. The stop is sent, its coordinator ends, and the endpoint carries it
 * out late; the other members break as it begins. The next coordinator receives a
 * report of the running member, then of the breaks, and then its endpoint becomes
 * unreachable. Having no record of the stop, it must not assume that this member ended
 * first and place the gang anew while the member is still stopping.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const ID = "a000000000000001";
const SIZE = 3;
const RUN_MS = 30_000;
/** Time within which the gang runs again, in ms. */
const TIMEOUT_MS = 20_000;

interface Gang {
  readonly fleet: TestUtils.TestFleet;
  /** First runs of the members. */
  readonly runs: readonly StandIns.TaskRunRecord[];
}

/** Creates a fleet with capacity for two gangs. */
function createFleet() {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1, 1, 1, 1] });
  const { workers } = fleet;
  workers.behave = () => ({ runMs: RUN_MS, fails: false });
  return { fleet, workers };
}

async function submitGang(fleet: TestUtils.TestFleet): Promise<void> {
  const steps = [
    TestUtils.buildStep({ count: SIZE, gang: true, estimateMs: RUN_MS }),
  ];
  await fleet.submit("node-1", ID, { steps });
}

/** Starts a gang and lets it run for a second. */
async function startGang(): Promise<Gang> {
  const { fleet } = createFleet();
  await fleet.start();
  await submitGang(fleet);
  await fleet.until(() => fleet.workers.runs.length === SIZE);
  await fleet.clock.advance(1000);
  return { fleet, runs: [...fleet.workers.runs] };
}

/** Replaces the coordinator; returns the fencing token of the previous one. */
async function replaceCoordinator(
  fleet: TestUtils.TestFleet,
): Promise<number> {
  const token = fleet.token();
  await fleet.kill(fleet.coordinator() ?? "");
  await fleet.until(() => fleet.token() > token);
  return token;
}

/** Delivers a stop that was sent under an earlier token; the run takes long to end. */
function deliverStop(
  fleet: TestUtils.TestFleet,
  { task, run, worker }: StandIns.TaskRunRecord,
  fencingToken: number,
): void {
  const { workers } = fleet;
  workers.stopDelayMs = () => TestUtils.FLEET_BOUNDS.stopMs;
  const ref = { id: worker, address: fleet.entryOf(worker)?.address ?? "" };
  Effect.runSync(workers.stop(ref, { task, run, fencingToken }));
}

vitest.describe("a member that an earlier coordinator stopped", () => {
  vitest.it("does not count as the first that ended", async () => {
    const { fleet, runs: [first, second, third] } = await startGang();
    const { workers } = fleet;
    // The next coordinator gets an answer to one poll of its endpoint only.
    let pollsLeft = 0;
    const dropOrders: typeof workers.decideOutcome = (id, order) =>
      id !== third.worker || (order === "renew" && pollsLeft-- > 0)
        ? StandIns.OrderOutcome.Delivered
        : StandIns.OrderOutcome.Lost;
    workers.decideOutcome = dropOrders;
    const previousToken = await replaceCoordinator(fleet);
    workers.decideOutcome = () => StandIns.OrderOutcome.Delivered;
    deliverStop(fleet, third, previousToken);
    workers.decideOutcome = dropOrders;
    pollsLeft = 1;
    workers.gangEndDelayMs = () => RUN_MS;
    for (const { task } of [first, second]) workers.endNow(task, "broken");
    await fleet.clock.advance(TestUtils.FLEET_BOUNDS.stopMs * 2);
    workers.decideOutcome = () => StandIns.OrderOutcome.Delivered;
    const hasRestarted = () => workers.runs.length >= 2 * SIZE;
    vitest.expect(await fleet.until(hasRestarted, TIMEOUT_MS)).toBe(true);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    vitest.expect(third.how).toBe("stopped");
    await fleet.stop();
  });
});

vitest.describe("a member whose start was not answered", () => {
  vitest.it("does not count as the first that ended", async () => {
    const { fleet, workers } = createFleet();
    await fleet.start();
    // One member's start arrives 2.5 s late, and its endpoint is unreachable then.
    let lateEndpoint = "";
    workers.decideOutcome = (id, order) => {
      if (order === "start" && lateEndpoint === "") lateEndpoint = id;
      if (id !== lateEndpoint) return StandIns.OrderOutcome.Delivered;
      return order === "start"
        ? StandIns.OrderOutcome.Late
        : order === "renew" && workers.runs.length === 0
        ? StandIns.OrderOutcome.Delivered
        : StandIns.OrderOutcome.Lost;
    };
    await submitGang(fleet);
    await fleet.until(() => workers.runs.length === SIZE - 1);
    for (const { task } of [...workers.runs]) workers.endNow(task, "broken");
    await fleet.clock.advance(TIMEOUT_MS);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    vitest.expect(workers.runs.length).toBeGreaterThanOrEqual(2 * SIZE - 1);
    await fleet.stop();
  });
});
