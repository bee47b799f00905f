/**
 * Guards against losing runs to the short lease that a start carries: the endpoint is
 * leased by a poll before, also after a long time without polls.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const NEIGHBOUR_ID = "a000000000000002";
const RUN_MS = 6000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
const NEVER_MS = 600_000;
/** Time without polls; estimates of the endpoint's clock lag by a second after it. */
const IDLE_MS = 60_000;
/** Time without any answer after a start, in ms; two polls are lost. */
const SILENCE_MS = 3500;
/** Transit time of an order, in ms: a poll does not arrive before a start sent with it. */
const TRANSIT_MS = 1;
/** Times from the start of a neighbour to that of the run, in ms. */
const NEIGHBOUR_LEADS_MS: readonly number[] = [300, 1500];

const { Delivered, Lost } = StandIns.OrderOutcome;

/** Loses all orders that arrive in a time after the next start is sent, except starts. */
function silenceAfterStart({ workers, clock }: TestUtils.TestFleet): void {
  let sentAtMs: number | null = null;
  const start = workers.start.bind(workers);
  workers.start = (endpoint, order) => {
    sentAtMs ??= clock.monotonicMs();
    return start(endpoint, order);
  };
  workers.decideOutcome = (_, order) => {
    const isSilent = sentAtMs !== null &&
      clock.monotonicMs() < sentAtMs + SILENCE_MS;
    return isSilent && order !== "start" ? Lost : Delivered;
  };
}

async function expectOneRun(fleet: TestUtils.TestFleet): Promise<void> {
  const runs = () => fleet.workers.runsOf(`${ID}.0.0.0`);
  await fleet.until(() => runs().some(({ endedAtMs }) => endedAtMs !== null));
  vitest.expect(runs().map(({ how }) => how)).toEqual(["done"]);
}

vitest.describe("a run whose endpoint is silent after the start", () => {
  vitest.it("completes on an endpoint that was idle", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1] });
    fleet.workers.transitMs = TRANSIT_MS;
    fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    silenceAfterStart(fleet);
    await fleet.submit("node-1", ID, { steps: STEPS });
    await expectOneRun(fleet);
    await fleet.stop();
  });

  for (const leadMs of NEIGHBOUR_LEADS_MS) {
    vitest.it(`completes ${leadMs} ms after a neighbour`, async () => {
      const fleet = new TestUtils.TestFleet({ workers: [2] });
      fleet.workers.transitMs = TRANSIT_MS;
      fleet.workers.behave = (task) => ({
        runMs: task.startsWith(ID) ? RUN_MS : NEVER_MS,
        fails: false,
      });
      await fleet.start();
      await fleet.submit("node-1", NEIGHBOUR_ID);
      await fleet.until(() => fleet.workers.runs.length === 1);
      await fleet.clock.advance(leadMs);
      silenceAfterStart(fleet);
      await fleet.submit("node-1", ID, { steps: STEPS });
      await expectOneRun(fleet);
      await fleet.stop();
    });
  }
});

vitest.describe(
  "the first start at an endpoint that was idle for a minute",
  () => {
    vitest.it("carries a lease that has not expired", async () => {
      const fleet = new TestUtils.TestFleet({ workers: [1] });
      const { workers, clock } = fleet;
      workers.transitMs = TRANSIT_MS;
      await fleet.start();
      await clock.advance(IDLE_MS);
      const leasesMs: number[] = [];
      const start = workers.start.bind(workers);
      workers.start = (endpoint, order) => {
        leasesMs.push(order.leaseUntilMs - clock.monotonicMs());
        return start(endpoint, order);
      };
      await fleet.submit("node-1", ID);
      await fleet.until(() => workers.runs.length === 1);
      vitest.expect(leasesMs.length).toBe(1);
      vitest.expect(leasesMs[0]).toBeGreaterThan(0);
      await fleet.stop();
    });
  },
);
