/**
 * Guards against two concurrent runs of a task, and against repeating completed work:
 * an unanswered start is delivered seconds later, after its endpoint has restarted
 * under the same id and before the restarted endpoint has answered.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const TASK = `${ID}.0.0.0`;
/** Exceeds the duration of the test, in ms. */
const NEVER_MS = 600_000;
/** Delay between sending a late start and its delivery, in ms. */
const LATE_START_DELAY_MS = 2500;
/** Time from the restart of the endpoint to the delivery of the late start, in ms. */
const RESTART_LEAD_MS = 400;
/** Time after the restart within which all late orders are delivered, in ms. */
const SETTLED_MS = 5000;

const { AnswerLost, Delivered, Late, Silent } = StandIns.OrderOutcome;

/** Submits one task; returns the fleet and the time of its first start order. */
async function submitTask(
  runMs: number,
  isLate: (endpoint: string) => boolean,
): Promise<{ fleet: TestUtils.TestFleet; firstSentAtMs: number }> {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
  fleet.keepsIds = true;
  fleet.resetsClocks = true;
  fleet.restartDelayMs = NEVER_MS;
  fleet.workers.behave = () => ({ runMs, fails: false });
  await fleet.start();
  let firstSentAtMs: number | null = null;
  fleet.workers.decideOutcome = (endpoint, order) => {
    if (order !== "start") return Delivered;
    firstSentAtMs ??= fleet.clock.monotonicMs();
    return isLate(endpoint) ? Late : Delivered;
  };
  const steps = [TestUtils.buildStep({ estimateMs: runMs })];
  await fleet.submit("node-1", ID, { steps });
  await fleet.until(() => fleet.workers.runs.length === 1);
  return { fleet, firstSentAtMs: firstSentAtMs ?? 0 };
}

/** Crashes an endpoint; restarts it under its id shortly before a late start arrives. */
async function crashAndBeginAgain(
  fleet: TestUtils.TestFleet,
  id: string,
  arrivesAtMs: number,
): Promise<void> {
  fleet.workers.crash(id);
  const bornAtMs = arrivesAtMs - RESTART_LEAD_MS;
  await fleet.clock.advance(bornAtMs - fleet.clock.monotonicMs());
  fleet.restartUnderSameId({ id, accelerators: 1 });
  await fleet.clock.advance(SETTLED_MS);
}

vitest.describe("a late start delivered after a restart", () => {
  vitest.it("does not repeat completed work", async () => {
    let starts = 0;
    const { fleet, firstSentAtMs } = await submitTask(
      100,
      () => starts++ === 0,
    );
    const { workers } = fleet;
    const [first] = workers.runs;
    await fleet.until(() => first.acknowledgedAtMs !== null);
    workers.decideOutcome = (_, order) =>
      order === "renew" ? AnswerLost : Delivered;
    await crashAndBeginAgain(
      fleet,
      first.worker,
      firstSentAtMs + LATE_START_DELAY_MS,
    );
    vitest.expect(workers.runsOf(TASK).length).toBe(1);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });

  vitest.it("does not run concurrently with the next run", async () => {
    let lateEndpointId: string | null = null;
    const { fleet, firstSentAtMs } = await submitTask(
      NEVER_MS,
      (id) => id === (lateEndpointId ??= id),
    );
    const { workers } = fleet;
    workers.decideOutcome = (id, order) =>
      id === lateEndpointId && order === "renew" ? AnswerLost : Delivered;
    await crashAndBeginAgain(
      fleet,
      lateEndpointId ?? "",
      firstSentAtMs + LATE_START_DELAY_MS,
    );
    vitest.expect(workers.runsOf(TASK).length).toBe(1);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });
});

vitest.describe("a coordinator that has ended", () => {
  vitest.it("sends no more stops of unanswered starts", async () => {
    let lateEndpointId: string | null = null;
    const { fleet } = await submitTask(
      NEVER_MS,
      (id) => id === (lateEndpointId ??= id),
    );
    let stops = 0;
    fleet.workers.decideOutcome = (_, order) => {
      if (order === "stop") stops++;
      return Delivered;
    };
    fleet.workers.crash(lateEndpointId ?? "");
    await fleet.until(() => stops > 0);
    await fleet.stop();
    const stopsAtEnd = stops;
    await fleet.clock.advance(SETTLED_MS);
    vitest.expect(stops).toBe(stopsAtEnd);
  });
});

vitest.describe("a late start from an earlier coordinator", () => {
  vitest.it("is refused by an endpoint that has restarted", async () => {
    let lateEndpointId: string | null = null;
    const { fleet, firstSentAtMs } = await submitTask(
      NEVER_MS,
      (id) => id === (lateEndpointId ??= id),
    );
    const { workers } = fleet;
    const previousToken = fleet.token();
    // The new coordinator's first poll of the endpoint gets no answer.
    let hasHung = false;
    workers.decideOutcome = (id, order) => {
      const isHanging = !hasHung && fleet.token() > previousToken &&
        id === lateEndpointId && order === "renew";
      hasHung ||= isHanging;
      return isHanging ? Silent : Delivered;
    };
    await fleet.kill(fleet.coordinator() ?? "");
    await crashAndBeginAgain(
      fleet,
      lateEndpointId ?? "",
      firstSentAtMs + LATE_START_DELAY_MS,
    );
    vitest.expect(workers.runsOf(TASK).length).toBe(1);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    vitest.expect(hasHung).toBe(true);
    await fleet.stop();
  });
});

vitest.describe("a late start at an idle endpoint of a new term", () => {
  vitest.it("does not run before the entry shows the restart", async () => {
    let lateEndpointId: string | null = null;
    const { fleet, firstSentAtMs } = await submitTask(
      NEVER_MS,
      (id) => id === (lateEndpointId ??= id),
    );
    const { workers } = fleet;
    const previousToken = fleet.token();
    let isPolled = false;
    workers.decideOutcome = (id, order) => {
      isPolled ||= id === lateEndpointId && order === "renew" &&
        fleet.token() > previousToken;
      return Delivered;
    };
    await fleet.kill(fleet.coordinator() ?? "");
    await fleet.until(() => isPolled);
    await fleet.clock.advance(1);
    const id = lateEndpointId ?? "";
    vitest.expect(fleet.clock.monotonicMs())
      .toBeLessThan(firstSentAtMs + LATE_START_DELAY_MS);
    // The entry of the previous incarnation stays as it is.
    workers.crash(id);
    workers.restart({ id, accelerators: 1 });
    await fleet.clock.advance(SETTLED_MS);
    vitest.expect(workers.runsOf(TASK).length).toBe(1);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });
});
