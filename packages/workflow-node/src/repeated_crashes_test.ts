/**
 * Guards against too many starts of a task that crashes its endpoints, where two copies of
 * one start crash two incarnations of one endpoint.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const CRASHING_ID = "c000000000000001";
const WORK_IDS: readonly string[] = ["a000000000000001", "a000000000000002"];
/** Run time of a task that does not crash its endpoint, in ms. */
const WORK_MS = 1000;
/** Exceeds the duration of the tests, in ms. */
const NEVER_MS = 600_000;
const TIMEOUT_MS = 180_000;
/** Delivery delay of a late start, in ms; shorter than the lease that it carries. */
const LATE_START_DELAY_MS = 650;
/** Time from the first crash to the next incarnation, in ms. */
const FIRST_RESTART_MS = 200;
/** Time from each later crash to the next incarnation, in ms. */
const RESTART_MS = 3000;
/** Longer than the lease of an endpoint, in ms. */
const LONG_RESTART_MS = 12_000;

const { Delivered, Late, Lost } = StandIns.OrderOutcome;
const { Answers, Silent } = StandIns.DeadAddressOutcome;

/** How the end of the second incarnation becomes known. */
const PROOFS = {
  "a later incarnation": { restartMs: 1000, atDeadAddress: Answers },
  "refused connections": {
    restartMs: LONG_RESTART_MS,
    atDeadAddress: Answers,
  },
  "a later incarnation after the lease": {
    restartMs: LONG_RESTART_MS,
    atDeadAddress: Silent,
  },
};

/** How certain the last crash is, by how connections to its endpoint fail. */
const LAST_CRASHES = { "certain": Answers, "likely": Silent };

/** Builds a fleet on which each run crashes its endpoint before it is answered. */
function buildFleet(): TestUtils.TestFleet {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1] });
  fleet.keepsIds = true;
  fleet.restartDelayMs = FIRST_RESTART_MS;
  fleet.workers.lateMs = LATE_START_DELAY_MS;
  fleet.workers.behave = () => ({
    runMs: NEVER_MS,
    fails: false,
    crashesAfterMs: 0,
  });
  return fleet;
}

/**
 * Delays the first copy of the first start. The second copy crashes the endpoint; the next
 * incarnation answers one poll and is cut off until the first copy has crashed it.
 */
function crashTwoIncarnations({ workers }: TestUtils.TestFleet): void {
  const repeated = () => workers.runsOf(`${CRASHING_ID}.0.0.0`).length;
  let first: { endpoint: string; bornMs: number | null } | null = null;
  let hasNextAnswered = false;
  workers.decideOutcome = (endpoint, order) => {
    const bornMs = workers.bornMs(endpoint);
    if (first === null && order === "start") {
      first = { endpoint, bornMs };
      return Late;
    }
    const isNext = endpoint === first?.endpoint && repeated() === 1 &&
      bornMs !== null && bornMs !== first.bornMs;
    if (!isNext) return Delivered;
    if (hasNextAnswered) return Lost;
    hasNextAnswered = order === "renew";
    return hasNextAnswered ? Delivered : Lost;
  };
}

vitest.describe("crashes of two incarnations under one run", () => {
  for (const [proof, { restartMs, atDeadAddress }] of Object.entries(PROOFS)) {
    vitest.it(`count twice if shown by ${proof}`, async () => {
      const fleet = buildFleet();
      const { workers } = fleet;
      await fleet.start();
      crashTwoIncarnations(fleet);
      await fleet.submit("node-1", CRASHING_ID);
      await fleet.until(() => workers.runs.length === 1);
      fleet.restartDelayMs = restartMs;
      workers.atDeadAddress = atDeadAddress;
      await fleet.until(() => workers.runs.length === 2);
      vitest.expect(workers.runs.map(({ run }) => run)).toEqual([1, 1]);
      await fleet.until(() => workers.runs.length === 3, TIMEOUT_MS);
      // Without refused connections, the later crashes are likely at most.
      fleet.restartDelayMs = RESTART_MS;
      workers.atDeadAddress = Silent;
      const isGivenUp = await fleet.until(
        () => fleet.state(CRASHING_ID) === Workflow.WorkflowState.Failed,
        TIMEOUT_MS,
      );
      vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
      vitest.expect(isGivenUp).toBe(true);
      await fleet.stop();
    });
  }

  for (const [presence, lastDeadAddress] of Object.entries(LAST_CRASHES)) {
    vitest.it(
      `count twice beside a power loss and a takeover, the last one ${presence}`,
      async () => {
        const fleet = buildFleet();
        const { workers } = fleet;
        workers.behave = (task) =>
          task.startsWith(CRASHING_ID)
            ? { runMs: NEVER_MS, fails: false, crashesAfterMs: 0 }
            : { runMs: WORK_MS, fails: false };
        const crashes = () => workers.runsOf(`${CRASHING_ID}.0.0.0`);
        await fleet.start();
        for (const id of WORK_IDS) await fleet.submit("node-1", id);
        await fleet.until(() => workers.runs.length === WORK_IDS.length);
        const neighbours = workers.runs.map(({ worker }) => worker);
        crashTwoIncarnations(fleet);
        await fleet.submit("node-1", CRASHING_ID);
        await fleet.until(() => crashes().length === 1);
        for (const id of neighbours) workers.crash(id);
        fleet.restartDelayMs = LONG_RESTART_MS;
        await fleet.until(() => crashes().length === 2);
        fleet.restartDelayMs = RESTART_MS;
        await fleet.until(() => crashes().length === 3, TIMEOUT_MS);
        workers.atDeadAddress = Silent;
        // The next coordinator can't know whether the run was on its endpoint.
        const coordinator = fleet.coordinator() ?? "";
        await fleet.kill(coordinator);
        fleet.startBox(`${coordinator}+`);
        await fleet.until(() => crashes().length === 4, TIMEOUT_MS);
        workers.atDeadAddress = lastDeadAddress;
        const isGivenUp = await fleet.until(
          () => fleet.state(CRASHING_ID) === Workflow.WorkflowState.Failed,
          TIMEOUT_MS,
        );
        vitest.expect(crashes().map(({ run }) => run)).toEqual([1, 1, 2, 3, 4]);
        vitest.expect(isGivenUp).toBe(true);
        await fleet.stop();
      },
    );
  }
});

vitest.describe(
  "the crash of an incarnation whose run the next one repeats",
  () => {
    vitest.it("counts if that one reports the run as stopped", async () => {
      const fleet = buildFleet();
      const { workers } = fleet;
      const isRepeated = () => workers.runs.length === 1;
      workers.behave = () => ({
        runMs: NEVER_MS,
        fails: false,
        crashesAfterMs: isRepeated() ? NEVER_MS : 0,
      });
      await fleet.start();
      crashTwoIncarnations(fleet);
      await fleet.submit("node-1", CRASHING_ID);
      await fleet.until(() => workers.runs.length === 3, TIMEOUT_MS);
      vitest.expect(workers.runs.slice(0, 2).map(({ run, how }) => [run, how]))
        .toEqual([[1, "crashed"], [1, "stopped"]]);
      fleet.restartDelayMs = RESTART_MS;
      workers.atDeadAddress = Silent;
      const isGivenUp = await fleet.until(
        () => fleet.state(CRASHING_ID) === Workflow.WorkflowState.Failed,
        TIMEOUT_MS,
      );
      vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
      vitest.expect(isGivenUp).toBe(true);
      await fleet.stop();
    });
  },
);
