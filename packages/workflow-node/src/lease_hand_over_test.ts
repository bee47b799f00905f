/** Leases that are handed over with a term end when the endpoints' leases do. */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 60_000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
/** Time for leases to expire and for a new plan, in ms. */
const TIMEOUT_MS = 40_000;

async function startTask(longestLeaseMs: number) {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1], longestLeaseMs });
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  await fleet.start();
  await fleet.submit("node-1", ID, { steps: STEPS });
  await fleet.until(() => fleet.workers.runs.length === 1);
  await fleet.clock.advance(1000);
  return { fleet, first: fleet.workers.runs[0] };
}

function setReachable(
  fleet: TestUtils.TestFleet,
  endpoint: string,
  isReachable: boolean,
): void {
  fleet.workers.decideOutcome = (id) =>
    id === endpoint && !isReachable
      ? StandIns.OrderOutcome.Lost
      : StandIns.OrderOutcome.Delivered;
}

async function handOver(fleet: TestUtils.TestFleet): Promise<void> {
  const name = fleet.coordinator() ?? "";
  await fleet.run(fleet.box(name).leave());
  await fleet.kill(name);
  fleet.startBox(`${name}+`);
}

async function expectOneRunAtATime(
  fleet: TestUtils.TestFleet,
  first: StandIns.TaskRunRecord,
): Promise<void> {
  const hasRestarted = () => fleet.workers.runsOf(first.task).length === 2;
  vitest.expect(await fleet.until(hasRestarted, TIMEOUT_MS)).toBe(true);
  fleet.workers.update();
  vitest.expect(first.how).toBe("lapsed");
  vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
  await fleet.stop();
}

vitest.describe.each([6000, 10_000])(
  "a run whose endpoint is cut off, longest lease of %s ms",
  (longestLeaseMs) => {
    vitest.it.each([100, 700, 1500, 2500, 4000])(
      "is not repeated beside itself by hand-overs each %s ms",
      async (termMs) => {
        const { fleet, first } = await startTask(longestLeaseMs);
        setReachable(fleet, first.worker, false);
        for (let i = 0; i < 3; i++) {
          await fleet.clock.advance(termMs);
          await handOver(fleet);
        }
        await expectOneRunAtATime(fleet, first);
      },
    );

    vitest.it(
      "is not repeated if it was heard between hand-overs",
      async () => {
        const { fleet, first } = await startTask(longestLeaseMs);
        for (let i = 0; i < 3; i++) {
          setReachable(fleet, first.worker, false);
          await fleet.clock.advance(2500);
          await handOver(fleet);
          await fleet.until(() => fleet.coordinator() !== null);
          setReachable(fleet, first.worker, true);
          await fleet.clock.advance(1500);
        }
        setReachable(fleet, first.worker, false);
        await handOver(fleet);
        await expectOneRunAtATime(fleet, first);
      },
    );

    vitest.it(
      "is not repeated if a later term is not handed over",
      async () => {
        const { fleet, first } = await startTask(longestLeaseMs);
        setReachable(fleet, first.worker, false);
        await fleet.clock.advance(1000);
        await handOver(fleet);
        await fleet.until(() => fleet.coordinator() !== null);
        setReachable(fleet, first.worker, true);
        await fleet.clock.advance(1500);
        setReachable(fleet, first.worker, false);
        await fleet.kill(fleet.coordinator() ?? "");
        await expectOneRunAtATime(fleet, first);
      },
    );
  },
);
