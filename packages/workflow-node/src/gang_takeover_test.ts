/**
 * A task of a gang ran twice at once where an earlier coordinator had told a member to
 * stop. Order of events: the stop is sent, its coordinator dies, and the endpoint
 * carries the stop out late; the other members break as it begins. The next
 * coordinator sees the member there, then the breaks, then nothing of the member's
 * endpoint, and knows of no stop: so it took the member for the one that had ended
 * first, and placed the gang anew while the member was still stopping.
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
  /** First runs of its members. */
  readonly runs: readonly StandIns.TaskRunNote[];
}

/** Room for a gang and for another one beside it. */
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

/** A gang that has run for a second. */
async function startGang(): Promise<Gang> {
  const { fleet } = createFleet();
  await fleet.start();
  await submitGang(fleet);
  await fleet.until(() => fleet.workers.runs.length === SIZE);
  await fleet.clock.advance(1000);
  return { fleet, runs: [...fleet.workers.runs] };
}

/** The next coordinator takes over; returns the token of the former one. */
async function replaceCoordinator(
  fleet: TestUtils.TestFleet,
): Promise<number> {
  const token = fleet.token();
  await fleet.kill(fleet.coordinator() ?? "");
  await fleet.until(() => fleet.token() > token);
  return token;
}

/** A stop that was sent under an earlier token arrives now, and takes its time. */
function deliverStop(
  fleet: TestUtils.TestFleet,
  { task, run, worker }: StandIns.TaskRunNote,
  fencingToken: number,
): void {
  const { workers } = fleet;
  workers.stopTakesMs = () => TestUtils.FLEET_BOUNDS.stopMs;
  const ref = { id: worker, address: fleet.entryOf(worker)?.address ?? "" };
  Effect.runSync(workers.stop(ref, { task, run, fencingToken }));
}

vitest.describe("a member that an earlier coordinator told to stop", () => {
  vitest.it("does not count as the first that ended", async () => {
    const { fleet, runs: [first, second, third] } = await startGang();
    const { workers } = fleet;
    // Its endpoint is not heard by the next coordinator, but for one look.
    let pollsLeft = 0;
    const dropOrders: typeof workers.carry = (id, order) =>
      id !== third.worker || (order === "renew" && pollsLeft-- > 0)
        ? StandIns.OrderFate.Carried
        : StandIns.OrderFate.Lost;
    workers.carry = dropOrders;
    const previousToken = await replaceCoordinator(fleet);
    workers.carry = () => StandIns.OrderFate.Carried;
    deliverStop(fleet, third, previousToken);
    workers.carry = dropOrders;
    pollsLeft = 1;
    workers.gangFollowsMs = () => RUN_MS;
    for (const { task } of [first, second]) workers.endNow(task, "broken");
    await fleet.clock.advance(TestUtils.FLEET_BOUNDS.stopMs * 2);
    workers.carry = () => StandIns.OrderFate.Carried;
    const hasRestarted = () => workers.runs.length >= 2 * SIZE;
    vitest.expect(await fleet.until(hasRestarted, TIMEOUT_MS)).toBe(true);
    vitest.expect(TestUtils.findBrokenRuns(fleet)).toEqual([]);
    vitest.expect(third.how).toBe("stopped");
    await fleet.stop();
  });
});

vitest.describe("a member whose start was not answered", () => {
  vitest.it("does not count as the first that ended", async () => {
    const { fleet, workers } = createFleet();
    await fleet.start();
    // The start of one member arrives 2.5 s late, and its endpoint is not heard then.
    let lateEndpoint = "";
    workers.carry = (id, order) => {
      if (order === "start" && lateEndpoint === "") lateEndpoint = id;
      if (id !== lateEndpoint) return StandIns.OrderFate.Carried;
      return order === "start"
        ? StandIns.OrderFate.Late
        : order === "renew" && workers.runs.length === 0
        ? StandIns.OrderFate.Carried
        : StandIns.OrderFate.Lost;
    };
    await submitGang(fleet);
    await fleet.until(() => workers.runs.length === SIZE - 1);
    for (const { task } of [...workers.runs]) workers.endNow(task, "broken");
    await fleet.clock.advance(TIMEOUT_MS);
    vitest.expect(TestUtils.findBrokenRuns(fleet)).toEqual([]);
    vitest.expect(workers.runs.length).toBeGreaterThanOrEqual(2 * SIZE - 1);
    await fleet.stop();
  });
});
