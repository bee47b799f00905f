/**
 * Guards against two concurrent runs of a gang's member. One member ends, so a second
 * one is reported as broken, while the endpoint of a third one does not answer a poll.
 * The third member may still be running or being stopped: only its own end proves that
 * it is over, not the report of another broken member. The same holds if a second
 * member breaks by itself while it is being stopped.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const GANG_SIZE = 3;
const RUN_MS = 30_000;
/** Time for which one member's endpoint does not answer, in ms. */
const CUT_OFF_MS = 700;
/** Time within which the gang runs again, in ms. */
const TIMEOUT_MS = 20_000;

interface Gang {
  readonly fleet: TestUtils.TestFleet;
  /** First run of each member. */
  readonly runs: readonly StandIns.TaskRunRecord[];
}

/** Starts a gang and lets it run for a second, with free capacity for another one. */
async function startGang(): Promise<Gang> {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1, 1, 1, 1] });
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  await fleet.start();
  const steps = [
    TestUtils.buildStep({ count: GANG_SIZE, gang: true, estimateMs: RUN_MS }),
  ];
  await fleet.submit("node-1", ID, { steps });
  await fleet.until(() => fleet.workers.runs.length === GANG_SIZE);
  await fleet.clock.advance(1000);
  return { fleet, runs: [...fleet.workers.runs] };
}

/** Drops all orders to an endpoint for some time; its runs go on. */
async function cutOff(
  { fleet }: Gang,
  endpoint: string,
  forMs: number,
): Promise<void> {
  fleet.workers.decideOutcome = (id) =>
    id === endpoint
      ? StandIns.OrderOutcome.Lost
      : StandIns.OrderOutcome.Delivered;
  await fleet.clock.advance(forMs);
  fleet.workers.decideOutcome = () => StandIns.OrderOutcome.Delivered;
}

/** Waits until the gang runs again; returns concurrent runs of a member. */
async function findDuplicates({ fleet }: Gang): Promise<string[]> {
  const runsAgain = () => fleet.workers.runs.length >= 2 * GANG_SIZE;
  vitest.expect(await fleet.until(runsAgain, TIMEOUT_MS)).toBe(true);
  await fleet.clock.advance(1000);
  const found = TestUtils.findRunViolations(fleet);
  await fleet.stop();
  return found;
}

/** Breaks the third member after the second one; returns concurrent runs. */
async function breakLate(): Promise<string[]> {
  const gang = await startGang();
  const { fleet, runs: [first, , third] } = gang;
  fleet.workers.gangEndDelayMs = (task) => task === third.task ? CUT_OFF_MS : 0;
  fleet.workers.endNow(first.task, "failed");
  await cutOff(gang, third.worker, CUT_OFF_MS);
  const found = await findDuplicates(gang);
  vitest.expect(third.how).toBe("broken");
  return found;
}

/** Breaks the second member while the third one is being stopped. */
async function breakInStop(): Promise<string[]> {
  const gang = await startGang();
  const { fleet, runs: [first, second, third] } = gang;
  fleet.workers.stopDelayMs = () => TestUtils.FLEET_BOUNDS.stopMs;
  fleet.workers.gangEndDelayMs = (task) => task === second.task ? 200 : RUN_MS;
  fleet.workers.endNow(first.task, "failed");
  await fleet.clock.advance(150);
  await cutOff(gang, third.worker, CUT_OFF_MS);
  const found = await findDuplicates(gang);
  vitest.expect(third.how).toBe("stopped");
  return found;
}

/** Breaks the third member as the stop of the second one begins, then the second. */
async function breakAtStop(): Promise<string[]> {
  const gang = await startGang();
  const { fleet, runs: [first, second, third] } = gang;
  const { workers } = fleet;
  workers.stopDelayMs = () => TestUtils.FLEET_BOUNDS.stopMs;
  workers.gangEndDelayMs = (task) => task === first.task ? RUN_MS : 100;
  let isStopping = false;
  workers.decideOutcome = (id, order) => {
    isStopping ||= order === "stop" && id === second.worker;
    return StandIns.OrderOutcome.Delivered;
  };
  // The member is moved, because its endpoint is draining.
  const spec = { id: second.worker, accelerators: 1 };
  const leaves = { draining: true, leavesInMs: 500 };
  fleet.list(spec, fleet.indexOf(second.worker), leaves);
  vitest.expect(await fleet.until(() => isStopping)).toBe(true);
  workers.endNow(third.task, "broken");
  await cutOff(gang, first.worker, CUT_OFF_MS);
  const found = await findDuplicates(gang);
  vitest.expect(second.how).toBe("broken");
  return found;
}

vitest.describe(
  "a member of a broken gang on an endpoint that does not answer",
  () => {
    vitest.it("does not run twice if it breaks after the others", async () => {
      vitest.expect(await breakLate()).toEqual([]);
    });

    vitest.it("does not run twice if it is being stopped", async () => {
      vitest.expect(await breakInStop()).toEqual([]);
    });

    vitest.it("does not run twice if another one was stopped", async () => {
      vitest.expect(await breakAtStop()).toEqual([]);
    });
  },
);
