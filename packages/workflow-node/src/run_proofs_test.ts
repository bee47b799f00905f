/**
 * When a run counts as over (docs/design/run-ends.md): each test takes one way in which
 * that is learned, and lets what is learned come early, late or twice while the run
 * goes on. It fails where the proof that the page names is taken out.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Longer than a test. */
const LONG_MS = 60_000;
/** Longer than a lease, in ms. */
const BEYOND_LEASE_MS = 8000;
/** Time in which a run whose lease is out begins again, in ms. */
const TIMEOUT_MS = 15_000;

/** A fleet that has run for longer than any lease of an earlier term. */
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

/** Hands in one workflow and waits for its first runs. */
async function startRuns(
  fleet: TestUtils.TestFleet,
  changes: Partial<Workflow.StepSpec> = {},
): Promise<StandIns.TaskRunNote> {
  const { count = 1 } = changes;
  const steps = [TestUtils.buildStep({ estimateMs: LONG_MS, ...changes })];
  await fleet.submit("node-1", ID, { steps });
  await fleet.until(() => fleet.workers.runs.length === count);
  return fleet.workers.runs[0];
}

/** Orders of these kinds to one endpoint meet a fate. */
function breakOrders(
  fleet: TestUtils.TestFleet,
  endpoint: string,
  fate: StandIns.OrderFate,
  kinds: readonly string[] = ["start", "stop", "renew"],
): void {
  fleet.workers.carry = (id, order) =>
    id === endpoint && kinds.includes(order)
      ? fate
      : StandIns.OrderFate.Carried;
}

/** What ran as it must not by the end of a test. */
async function endTest(fleet: TestUtils.TestFleet): Promise<string[]> {
  const found = TestUtils.findBrokenRuns(fleet);
  await fleet.stop();
  return found;
}

/** Waits until the task runs again; returns what ran twice. */
async function findDuplicates(fleet: TestUtils.TestFleet): Promise<string[]> {
  const runsAgain = () => fleet.workers.runs.length > 1;
  vitest.expect(await fleet.until(runsAgain, TIMEOUT_MS)).toBe(true);
  await fleet.clock.advance(1000);
  return await endTest(fleet);
}

vitest.describe("a look that does not show a run", () => {
  vitest.it("ends none whose start was answered after it left", async () => {
    const fleet = await startFleet([8, 8], LONG_MS);
    // Answers to looks are overtaken by those to starts.
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
  });

  vitest.it("ends none whose start may still arrive", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    let starts = 0;
    fleet.workers.carry = (_, order) =>
      order === "start" && starts++ < 2
        ? StandIns.OrderFate.Late
        : order === "stop" && fleet.workers.runs.length === 0
        ? StandIns.OrderFate.Lost
        : StandIns.OrderFate.Carried;
    await startRuns(fleet);
    await fleet.clock.advance(3000);
    vitest.expect(await endTest(fleet)).toEqual([]);
  });
});

vitest.describe("a stop that was answered", () => {
  vitest.it("ends nothing before the endpoint lists the end", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    fleet.workers.stopTakesMs = () => TestUtils.FLEET_BOUNDS.stopMs;
    const first = await startRuns(fleet);
    await fleet.clock.advance(500);
    const spec = { id: first.worker, accelerators: 1 };
    const leaves = { draining: true, leavesInMs: 500 };
    fleet.list(spec, fleet.placeOf(first.worker), leaves);
    vitest.expect(await findDuplicates(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("stopped");
  });
});

vitest.describe("a start that is refused", () => {
  vitest.it("as old may have run there: its end is asked for", async () => {
    const fleet = await startFleet([1, 1], 100);
    let starts = 0;
    let silentUntilMs = 0;
    // The answer to the first try is lost, and looks have none for a while.
    fleet.workers.carry = (_, order) => {
      const nowMs = fleet.clock.monotonicMs();
      if (order === "renew" && nowMs < silentUntilMs) {
        return StandIns.OrderFate.Lost;
      }
      if (order !== "start" || starts++ > 0) return StandIns.OrderFate.Carried;
      silentUntilMs = nowMs + 1000;
      return StandIns.OrderFate.AnswerLost;
    };
    await startRuns(fleet);
    await fleet.clock.advance(3000);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    vitest.expect(await endTest(fleet)).toEqual([]);
  });
});

vitest.describe("a lease", () => {
  vitest.it("of a start counts from that start", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    const first = await startRuns(fleet);
    breakOrders(fleet, first.worker, StandIns.OrderFate.Lost);
    vitest.expect(await findDuplicates(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("lapsed");
  });

  vitest.it("counts from looks whose answers are lost", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    const first = await startRuns(fleet);
    await fleet.clock.advance(BEYOND_LEASE_MS);
    breakOrders(fleet, first.worker, StandIns.OrderFate.AnswerLost, ["renew"]);
    vitest.expect(await findDuplicates(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("lapsed");
  });

  vitest.it("of an earlier term is waited for", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    const first = await startRuns(fleet);
    await fleet.clock.advance(BEYOND_LEASE_MS);
    await fleet.kill(fleet.coordinator() ?? "");
    breakOrders(fleet, first.worker, StandIns.OrderFate.Lost);
    vitest.expect(await findDuplicates(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("lapsed");
  });

  vitest.it("is waited for where the endpoint is not listed", async () => {
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
    fleet.workers.vacate(address);
    await fleet.clock.advance(2000);
    fleet.workers.livesAt(address, first.worker);
    await fleet.clock.advance(BEYOND_LEASE_MS);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    vitest.expect(await endTest(fleet)).toEqual([]);
  });
});

vitest.describe("a takeover", () => {
  vitest.it("ends a start on its way by calling its endpoint", async () => {
    const fleet = await startFleet([1, 1], LONG_MS);
    const previous = fleet.coordinator() ?? "";
    const token = fleet.token();
    let endpoint = "";
    fleet.workers.carry = (id, order) => {
      if (order !== "start" || fleet.coordinator() !== previous) {
        return StandIns.OrderFate.Carried;
      }
      endpoint = id;
      return StandIns.OrderFate.Late;
    };
    const steps = [TestUtils.buildStep({ estimateMs: LONG_MS })];
    await fleet.submit("node-1", ID, { steps });
    await fleet.until(() => endpoint !== "");
    // The next run begins elsewhere, so that no start of it calls this endpoint.
    const spec = { id: endpoint, accelerators: 1 };
    fleet.list(spec, fleet.placeOf(endpoint), { draining: true });
    await fleet.kill(previous);
    // Orders under way in a test outlast the box that makes them.
    const stop = fleet.workers.stop.bind(fleet.workers);
    fleet.workers.stop = (ref, order) =>
      order.fencingToken === token ? Effect.never : stop(ref, order);
    await fleet.clock.advance(BEYOND_LEASE_MS);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    vitest.expect(await endTest(fleet)).toEqual([]);
  });
});
