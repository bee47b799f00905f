/**
 * Guards against two concurrent runs of a task after a coordinator was frozen or
 * suspended. A box that has just woken has seen no call fail, so it must prove by a
 * renewal that it still holds the term before it extends a lease at an endpoint that its
 * replacement can't reach.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 60_000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
/** Time until boxes know the interval of the renewals, in ms. */
const WARM_UP_MS = 3000;
/** Duration of the store's calls, in ms, in which the woken box polls endpoints. */
const STORE_DELAY_MS = 40;
/** Longer than a takeover, a lease and another plan, in ms. */
const OBSERVED_MS = 15_000;
/** Durations that end before and after the replacement starts the task again, in ms. */
const FREEZES_MS: readonly number[] = [1000, 2000, 3000, 4000, 7000, 9000];
/** Durations in which other boxes take over, in ms. */
const SUSPENSIONS_MS: readonly number[] = [2000, 3000, 4000];
/**
 * Duration of the store's calls after a suspension, in ms. The woken box polls the
 * endpoint twice before it learns that its term is over.
 */
const STORE_DELAY_AFTER_SUSPENSION_MS = 700;
/**
 * Outages of the store that end while the coordinator is frozen, in ms: after the first
 * two, other boxes take over as if there had been none.
 */
const OUTAGES: readonly {
  readonly outageMs: number;
  readonly frozenAfterMs: number;
  readonly freezeMs: number;
}[] = [
  { outageMs: 800, frozenAfterMs: 700, freezeMs: 1200 },
  { outageMs: 1000, frozenAfterMs: 1000, freezeMs: 1200 },
  { outageMs: 1500, frozenAfterMs: 0, freezeMs: 4000 },
  { outageMs: 4000, frozenAfterMs: 3000, freezeMs: 4000 },
];

function createFleet(): TestUtils.TestFleet {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  return fleet;
}

/** Starts a run and cuts its endpoint off from all later terms. */
async function startCutOffRun(): Promise<TestUtils.TestFleet> {
  const fleet = createFleet();
  await fleet.start();
  await fleet.submit("node-1", ID, { steps: STEPS });
  await fleet.until(() => fleet.workers.runs.length === 1);
  await fleet.clock.advance(WARM_UP_MS);
  const [{ worker }] = fleet.workers.runs;
  const former = fleet.token();
  TestUtils.filterOrders(
    fleet,
    (endpoint, token) => endpoint !== worker || token === former,
  );
  return fleet;
}

function setStoreFaults(
  fleet: TestUtils.TestFleet,
  faults: Partial<StandIns.StoreFaults>,
): void {
  for (const box of fleet.boxes.keys()) fleet.faultsOf(box).set(faults);
}

/** Freezes the coordinator and wakes it, then waits for what follows. */
async function freezeCoordinator(
  fleet: TestUtils.TestFleet,
  freeze: () => Promise<void>,
): Promise<void> {
  const clock = fleet.clocks.get(fleet.coordinator() ?? "");
  clock?.freeze();
  await freeze();
  clock?.resume();
  await fleet.clock.advance(OBSERVED_MS);
}

/**
 * Suspends the coordinator, whose monotonic clock then stops, and wakes it. The store is
 * slow for it afterwards.
 */
async function suspendCoordinator(
  fleet: TestUtils.TestFleet,
  suspend: () => Promise<void>,
): Promise<void> {
  const box = fleet.coordinator() ?? "";
  const clock = fleet.clocks.get(box);
  clock?.suspend();
  await suspend();
  fleet.faultsOf(box).set({ delayMs: STORE_DELAY_AFTER_SUSPENSION_MS });
  clock?.resume();
  await fleet.clock.advance(OBSERVED_MS);
}

async function expectOneRunAtOnce(
  fleet: TestUtils.TestFleet,
  former: number,
): Promise<void> {
  vitest.expect(fleet.token()).toBe(former + 1);
  vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
  await fleet.stop();
}

vitest.describe("a coordinator that was frozen", () => {
  vitest.it.each(FREEZES_MS)(
    "does not keep a run alive beside its replacement, after %i ms",
    async (freezeMs) => {
      const fleet = await startCutOffRun();
      const former = fleet.token();
      setStoreFaults(fleet, { delayMs: STORE_DELAY_MS });
      await freezeCoordinator(fleet, () => fleet.clock.advance(freezeMs));
      await expectOneRunAtOnce(fleet, former);
    },
  );

  vitest.it.each(FREEZES_MS)(
    "does not send a start again beside its replacement, after %i ms",
    async (freezeMs) => {
      const fleet = createFleet();
      await fleet.start();
      await fleet.clock.advance(WARM_UP_MS);
      const former = fleet.token();
      let startedAt: string | null = null;
      fleet.workers.decideOutcome = (endpoint, order) => {
        if (order !== "start" || startedAt !== null) {
          return StandIns.OrderOutcome.Delivered;
        }
        startedAt = endpoint;
        return StandIns.OrderOutcome.Lost;
      };
      TestUtils.filterOrders(
        fleet,
        (endpoint, token) => endpoint !== startedAt || token === former,
      );
      setStoreFaults(fleet, { delayMs: STORE_DELAY_MS });
      await fleet.submit("node-1", ID, { steps: STEPS });
      await fleet.until(() => startedAt !== null);
      await freezeCoordinator(fleet, () => fleet.clock.advance(freezeMs));
      await expectOneRunAtOnce(fleet, former);
    },
  );

  vitest.it.each(OUTAGES)(
    "does not rely on an outage that ended meanwhile, $outageMs ms",
    async ({ outageMs, frozenAfterMs, freezeMs }) => {
      const fleet = await startCutOffRun();
      const former = fleet.token();
      setStoreFaults(fleet, { down: true });
      await fleet.clock.advance(frozenAfterMs);
      await freezeCoordinator(fleet, async () => {
        await fleet.clock.advance(outageMs - frozenAfterMs);
        setStoreFaults(fleet, { down: false, delayMs: STORE_DELAY_MS });
        await fleet.clock.advance(freezeMs - (outageMs - frozenAfterMs));
      });
      await expectOneRunAtOnce(fleet, former);
    },
  );
});

/** Its monotonic clock shows a renewal as recent that is older than the suspension. */
vitest.describe("a coordinator that was suspended", () => {
  vitest.it.each(SUSPENSIONS_MS)(
    "does not keep a run alive beside its replacement, after %i ms",
    async (suspendedMs) => {
      const fleet = await startCutOffRun();
      const former = fleet.token();
      await suspendCoordinator(fleet, () => fleet.clock.advance(suspendedMs));
      await expectOneRunAtOnce(fleet, former);
    },
  );

  vitest.it("does not rely on an outage that ended meanwhile", async () => {
    const fleet = await startCutOffRun();
    const former = fleet.token();
    setStoreFaults(fleet, { down: true });
    await fleet.clock.advance(3000);
    await suspendCoordinator(fleet, async () => {
      setStoreFaults(fleet, { down: false });
      // No answer of another box tells the woken one that the outage is over.
      const box = fleet.coordinator() ?? "";
      fleet.links.isReachable = (from, to) => from !== box && to !== box;
      await fleet.clock.advance(4000);
    });
    await expectOneRunAtOnce(fleet, former);
  });
});
