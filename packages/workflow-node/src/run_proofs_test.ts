/**
 * When a run counts as over (docs/design/run-ends.md). Each test takes one kind of
 * evidence and lets it arrive early, late or twice while the run goes on. It fails if
 * the proof that the page requires is not checked.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Longer than a test, in ms. */
const LONG_MS = 60_000;
/** Longer than a lease, in ms. */
const BEYOND_LEASE_MS = 8000;
/** Time within which a task whose lease has expired starts again, in ms. */
const TIMEOUT_MS = 15_000;

/** Starts a fleet and waits until any lease of an earlier term has expired. */
async function startFleet(
  workers: readonly number[],
  runMs: number,
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers });
  fleet.workers.behave = () => ({ runMs, fails: false });
  await fleet.start();
  await fleet.clock.advance(BEYOND_LEASE_MS);
  return fleet;
}

/** Submits one workflow and waits for its first runs. */
async function startRuns(
  fleet: TestUtils.TestFleet,
  changes: Partial<Workflow.StepSpec> = {},
): Promise<StandIns.TaskRunRecord> {
  const { count = 1 } = changes;
  const steps = [TestUtils.buildStep({ estimateMs: LONG_MS, ...changes })];
  await fleet.submit("node-1", ID, { steps });
  await fleet.until(() => fleet.workers.runs.length === count);
  return fleet.workers.runs[0];
}

/** Gives orders of these kinds to one endpoint this outcome. */
function breakOrders(
  fleet: TestUtils.TestFleet,
  endpoint: string,
  outcome: StandIns.OrderOutcome,
  kinds: readonly string[] = ["start", "stop", "renew"],
): void {
  fleet.workers.decideOutcome = (id, order) =>
    id === endpoint && kinds.includes(order)
      ? outcome
      : StandIns.OrderOutcome.Delivered;
}

/** Stops the fleet; returns the violations of the rules for runs. */
async function endTest(fleet: TestUtils.TestFleet): Promise<string[]> {
  const found = TestUtils.findRunViolations(fleet);
  await fleet.stop();
  return found;
}

/** Waits until the task runs again; returns concurrent runs of it. */
async function findDuplicates(fleet: TestUtils.TestFleet): Promise<string[]> {
  const runsAgain = () => fleet.workers.runs.length > 1;
  vitest.expect(await fleet.until(runsAgain, TIMEOUT_MS)).toBe(true);
  await fleet.clock.advance(1000);
  return await endTest(fleet);
}

vitest.describe("a poll that does not list a run", () => {
  vitest.it(
    "ends none whose start was answered after the poll was sent",
    async () => {
      const fleet = await startFleet([8, 8], LONG_MS);
      // Delays the answers to polls, so that answers to starts overtake them.
      const renew = fleet.workers.renew.bind(fleet.workers);
      fleet.workers.renew = (ref, order) =>
        Effect.tap(renew(ref, order), () => fleet.clock.sleep(300));
      const steps = [TestUtils.buildStep({ estimateMs: LONG_MS })];
      for (let i = 0; i < 8; i++) {
        await fleet.submit("node-1", `a${String(i).padStart(15, "0")}`, {
          steps,
        });
        await fleet.clock.advance(130);
      }
      await fleet.clock.advance(3000);
      vitest.expect(fleet.workers.runs.length).toBe(8);
      vitest.expect(await endTest(fleet)).toEqual([]);
    },
  );

  vitest.it("ends none whose start may still arrive", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    let starts = 0;
    fleet.workers.decideOutcome = (_, order) =>
      order === "start" && starts++ < 2
        ? StandIns.OrderOutcome.Late
        : order === "stop" && fleet.workers.runs.length === 0
        ? StandIns.OrderOutcome.Lost
        : StandIns.OrderOutcome.Delivered;
    await startRuns(fleet);
    await fleet.clock.advance(3000);
    vitest.expect(await endTest(fleet)).toEqual([]);
  });
});

vitest.describe("a stop that was answered", () => {
  vitest.it("ends nothing before the endpoint reports the end", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    fleet.workers.stopDelayMs = () => TestUtils.FLEET_BOUNDS.stopMs;
    const first = await startRuns(fleet);
    await fleet.clock.advance(500);
    const spec = { id: first.worker, accelerators: 1 };
    const leaves = { draining: true, leavesInMs: 500 };
    fleet.list(spec, fleet.indexOf(first.worker), leaves);
    vitest.expect(await findDuplicates(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("stopped");
  });
});

vitest.describe("a start that is refused", () => {
  vitest.it("as stale may have run: its end is requested", async () => {
    const fleet = await startFleet([1, 1], 100);
    let sent = 0;
    let silentUntilMs = 0;
    // The answer to the first try is lost, and polls go unanswered for a while.
    fleet.workers.decideOutcome = (_, req) => {
      const nowMs = fleet.clock.monotonicMs();
      if (req === "renew" && nowMs < silentUntilMs) {
        return StandIns.OrderOutcome.Lost;
      }
      if (req !== "start" || sent++ > 0) return StandIns.OrderOutcome.Delivered;
      silentUntilMs = nowMs + 1000;
      return StandIns.OrderOutcome.AnswerLost;
    };
    await startRuns(fleet);
    await fleet.clock.advance(3000);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    vitest.expect(await endTest(fleet)).toEqual([]);
  });
});

vitest.describe("a lease", () => {
  vitest.it("of a start runs from that start", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    const first = await startRuns(fleet);
    breakOrders(fleet, first.worker, StandIns.OrderOutcome.Lost);
    vitest.expect(await findDuplicates(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("lapsed");
  });

  vitest.it("runs from polls whose answers are lost", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    const first = await startRuns(fleet);
    await fleet.clock.advance(BEYOND_LEASE_MS);
    breakOrders(fleet, first.worker, StandIns.OrderOutcome.AnswerLost, [
      "renew",
    ]);
    vitest.expect(await findDuplicates(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("lapsed");
  });

  vitest.it("of an earlier term must expire first", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    const first = await startRuns(fleet);
    await fleet.clock.advance(BEYOND_LEASE_MS);
    await fleet.kill(fleet.coordinator() ?? "");
    breakOrders(fleet, first.worker, StandIns.OrderOutcome.Lost);
    vitest.expect(await findDuplicates(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("lapsed");
  });

  vitest.it("must expire first if the endpoint is not listed", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    const first = await startRuns(fleet);
    await fleet.clock.advance(BEYOND_LEASE_MS);
    await fleet.kill(fleet.coordinator() ?? "");
    fleet.unlist(first.worker);
    vitest.expect(await findDuplicates(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("lapsed");
  });
});

vitest.describe("a connection that is refused", () => {
  vitest.it("ends nothing that is leased", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    const first = await startRuns(fleet);
    await fleet.clock.advance(500);
    const address = fleet.entryOf(first.worker)?.address ?? "";
    fleet.workers.removeListener(address);
    await fleet.clock.advance(2000);
    fleet.workers.setListener(address, first.worker);
    await fleet.clock.advance(BEYOND_LEASE_MS);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    vitest.expect(await endTest(fleet)).toEqual([]);
  });
});

vitest.describe("a takeover", () => {
  vitest.it("ends a delayed start by calling its endpoint", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    const previous = fleet.coordinator() ?? "";
    const token = fleet.token();
    let endpoint = "";
    fleet.workers.decideOutcome = (id, order) => {
      if (order !== "start" || fleet.coordinator() !== previous) {
        return StandIns.OrderOutcome.Delivered;
      }
      endpoint = id;
      return StandIns.OrderOutcome.Late;
    };
    const steps = [TestUtils.buildStep({ estimateMs: LONG_MS })];
    await fleet.submit("node-1", ID, { steps });
    await fleet.until(() => endpoint !== "");
    // Moves the next run to another endpoint, so that no start calls this one.
    const spec = { id: endpoint, accelerators: 1 };
    fleet.list(spec, fleet.indexOf(endpoint), { draining: true });
    await fleet.kill(previous);
    // In a test, orders under way outlive the box that sends them.
    const stop = fleet.workers.stop.bind(fleet.workers);
    fleet.workers.stop = (ref, order) =>
      order.fencingToken === token ? Effect.never : stop(ref, order);
    await fleet.clock.advance(BEYOND_LEASE_MS);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    vitest.expect(await endTest(fleet)).toEqual([]);
  });
});
