/** Nothing may start in a data centre that the operator has evacuated. */
import type * as Coordinator from "@cairngate/coordinator";
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

/** Endpoints 0 to 3 are in one data centre, 4 to 7 in the other. */
const dataCentreOf = (index: number) => index < 4 ? "brno-a" : "brno-b";
const SIZES: readonly number[] = [2, 2, 2, 2, 2, 2, 2, 2];
/** Time within which a change by the operator reaches every box, in ms. */
const PROPAGATION_MS = 1500;
/** Duration of a run, in ms. */
const RUN_MS = 700;

const buildIds = (count: number, first = 0) =>
  Array.from(
    { length: count },
    (_, i) => `a${String(first + i).padStart(15, "0")}`,
  );

async function startFleet(runMs = RUN_MS) {
  const fleet = new TestUtils.TestFleet({ workers: SIZES, dataCentreOf });
  fleet.workers.behave = () => ({ runMs, fails: false });
  await fleet.start();
  const evacuations = new TestUtils.Evacuations(fleet, {
    seed: 1,
    dataCentres: ["brno-a", "brno-b"],
  });
  return { fleet, evacuations };
}

/** Returns the starts in a data centre from this time on. */
function findStartsIn(
  fleet: TestUtils.TestFleet,
  dataCentre: string,
  sinceMs: number,
): StandIns.TaskRunRecord[] {
  return fleet.workers.runs.filter((record) =>
    record.startedAtMs >= sinceMs &&
    dataCentreOf(fleet.indexOf(record.worker)) === dataCentre
  );
}

async function submitAll(
  fleet: TestUtils.TestFleet,
  submittedIds: readonly string[],
  estimateMs = RUN_MS,
): Promise<void> {
  const [box] = fleet.boxes.keys();
  const steps = [TestUtils.buildStep({ estimateMs })];
  for (const id of submittedIds) await fleet.submit(box, id, { steps });
}

function waitForAll(
  fleet: TestUtils.TestFleet,
  submittedIds: readonly string[],
): Promise<boolean> {
  const isDone = (id: string) =>
    fleet.state(id) === Workflow.WorkflowState.Completed;
  return fleet.until(() => submittedIds.every(isDone), 60_000);
}

vitest.describe("a data centre that is evacuated", () => {
  vitest.it("gets no new work and completes its running work", async () => {
    const { fleet, evacuations } = await startFleet(4000);
    const before = buildIds(16);
    await submitAll(fleet, before, 4000);
    await fleet.until(() => fleet.workers.runs.length === 16);
    evacuations.begin("brno-b");
    await fleet.clock.advance(PROPAGATION_MS);
    const sinceMs = fleet.clock.monotonicMs();
    const after = buildIds(20, 100);
    await submitAll(fleet, after, 4000);
    vitest.expect(await waitForAll(fleet, [...before, ...after])).toBe(true);
    vitest.expect(findStartsIn(fleet, "brno-b", sinceMs)).toEqual([]);
    const stopped = fleet.workers.runs.filter(({ how }) => how === "stopped");
    vitest.expect(stopped).toEqual([]);
    await fleet.stop();
  });

  vitest.it("is used again after the evacuation ends", async () => {
    const { fleet, evacuations } = await startFleet();
    evacuations.begin("brno-b");
    await fleet.clock.advance(PROPAGATION_MS);
    evacuations.end("brno-b");
    await fleet.clock.advance(PROPAGATION_MS);
    const sinceMs = fleet.clock.monotonicMs();
    await submitAll(fleet, buildIds(16));
    await waitForAll(fleet, buildIds(16));
    vitest.expect(findStartsIn(fleet, "brno-b", sinceMs).length)
      .toBeGreaterThan(0);
    await fleet.stop();
  });

  vitest.it(
    "stays empty if its row is removed and written again twice",
    async () => {
      const { fleet, evacuations } = await startFleet();
      evacuations.begin("brno-b");
      evacuations.end("brno-b");
      evacuations.begin("brno-b");
      evacuations.begin("brno-b");
      await fleet.clock.advance(PROPAGATION_MS);
      const sinceMs = fleet.clock.monotonicMs();
      await submitAll(fleet, buildIds(20));
      await waitForAll(fleet, buildIds(20));
      vitest.expect(findStartsIn(fleet, "brno-b", sinceMs)).toEqual([]);
      await fleet.stop();
    },
  );

  vitest.it("gets no work while all data centres are evacuated", async () => {
    const { fleet, evacuations } = await startFleet();
    evacuations.begin("brno-a");
    evacuations.begin("brno-b");
    evacuations.begin("nowhere");
    await fleet.clock.advance(PROPAGATION_MS);
    await submitAll(fleet, buildIds(3));
    await fleet.clock.advance(8000);
    vitest.expect(fleet.workers.runs).toEqual([]);
    evacuations.end("brno-a");
    vitest.expect(await waitForAll(fleet, buildIds(3))).toBe(true);
    await fleet.stop();
  });

  vitest.it(
    "stays empty if the boxes start after the evacuation",
    async () => {
      const fleet = new TestUtils.TestFleet({ workers: SIZES, dataCentreOf });
      fleet.evacuate("brno-b");
      await fleet.start();
      await submitAll(fleet, buildIds(20));
      await waitForAll(fleet, buildIds(20));
      vitest.expect(findStartsIn(fleet, "brno-b", 0)).toEqual([]);
      await fleet.stop();
    },
  );

  vitest.it("gets nothing from a coordinator that takes over", async () => {
    const { fleet, evacuations } = await startFleet(3000);
    await submitAll(fleet, buildIds(30));
    evacuations.begin("brno-b");
    await fleet.kill(fleet.coordinator() ?? "");
    await fleet.clock.advance(PROPAGATION_MS);
    const sinceMs = fleet.clock.monotonicMs();
    vitest.expect(await waitForAll(fleet, buildIds(30))).toBe(true);
    vitest.expect(findStartsIn(fleet, "brno-b", sinceMs)).toEqual([]);
    await fleet.stop();
  });

  vitest.it("gets no start whose record is still being written", async () => {
    const { fleet, evacuations } = await startFleet();
    for (const name of fleet.boxes.keys()) {
      fleet.faultsOf(name).set({ delayMs: 400 });
    }
    const submission = submitAll(fleet, buildIds(12));
    await fleet.until(() => fleet.table.rowsUnder("progress:").length > 0);
    evacuations.begin("brno-a");
    evacuations.begin("brno-b");
    // The evacuations reach the boxes before the record writes are answered.
    await fleet.clock.advance(900);
    const sinceMs = fleet.clock.monotonicMs();
    await submission;
    await fleet.clock.advance(3000);
    const starts = fleet.workers.runs.filter(({ startedAtMs }) =>
      startedAtMs >= sinceMs
    );
    vitest.expect(starts).toEqual([]);
    evacuations.endAll();
    vitest.expect(await waitForAll(fleet, buildIds(12))).toBe(true);
    await fleet.stop();
  });

  vitest.it("gets no retry of an unanswered start", async () => {
    const { fleet, evacuations } = await startFleet();
    let attempts = 0;
    fleet.workers.decideOutcome = (worker, order) => {
      if (order !== "start") return StandIns.OrderOutcome.Delivered;
      if (dataCentreOf(fleet.indexOf(worker)) !== "brno-b") {
        return StandIns.OrderOutcome.NoRoom;
      }
      attempts++;
      if (attempts === 1) evacuations.begin("brno-b");
      return StandIns.OrderOutcome.Silent;
    };
    await submitAll(fleet, buildIds(1));
    await fleet.until(() => attempts > 0);
    await fleet.clock.advance(5000);
    vitest.expect(attempts).toBe(1);
    await fleet.stop();
  });

  vitest.it(
    "is reported by a peer to a box that the store refuses",
    async () => {
      const { fleet, evacuations } = await startFleet();
      const name = fleet.coordinator() ?? "";
      fleet.faultsOf(name).set({ down: true });
      await fleet.clock.advance(3000);
      evacuations.begin("brno-b");
      await fleet.clock.advance(2 * PROPAGATION_MS);
      const dump = fleet.box(name).dump();
      vitest.expect(dump["evacuations"]).toMatchObject([
        { dataCentre: "brno-b" },
      ]);
      await fleet.stop();
    },
  );

  vitest.it(
    "gets nothing while the operator's rows cannot be read",
    async () => {
      const { fleet, evacuations } = await startFleet(1500);
      await submitAll(fleet, buildIds(60));
      // Only the operator's feed is silent; the store answers all other calls.
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ silentFeeds: ["test-operator/"] });
      }
      evacuations.begin("brno-b");
      await fleet.clock.advance(12_000);
      vitest.expect(evacuations.findViolations()).toEqual([]);
      const name = fleet.coordinator() ?? "";
      vitest.expect(fleet.box(name).dump()["mayMissEvacuations"]).toBe(true);
      for (const box of fleet.boxes.keys()) {
        fleet.faultsOf(box).set({ silentFeeds: [] });
      }
      vitest.expect(await waitForAll(fleet, buildIds(60))).toBe(true);
      vitest.expect(evacuations.findViolations()).toEqual([]);
      await fleet.stop();
    },
  );

  vitest.it(
    "gets nothing from a box that was suspended at the evacuation",
    async () => {
      const { fleet, evacuations } = await startFleet(1500);
      await submitAll(fleet, buildIds(40));
      const clocks = [...fleet.clocks.values()];
      for (const clock of clocks) clock.suspend();
      evacuations.begin("brno-b");
      await fleet.clock.advance(9000);
      for (const clock of clocks) clock.resume();
      vitest.expect(await waitForAll(fleet, buildIds(40))).toBe(true);
      vitest.expect(evacuations.findViolations()).toEqual([]);
      await fleet.stop();
    },
  );

  vitest.it(
    "gets no gang, whole or in part, and no reservation for one",
    async () => {
      const { fleet, evacuations } = await startFleet(2000);
      evacuations.begin("brno-b");
      await fleet.clock.advance(PROPAGATION_MS);
      const steps = [TestUtils.buildStep({ count: 6, gang: true })];
      const [box] = fleet.boxes.keys();
      await submitAll(fleet, buildIds(7));
      await fleet.submit(box, "b000000000000001", { steps });
      const submittedIds = [...buildIds(7), "b000000000000001"];
      vitest.expect(await waitForAll(fleet, submittedIds)).toBe(true);
      vitest.expect(findStartsIn(fleet, "brno-b", 0)).toEqual([]);
      await fleet.stop();
    },
  );

  vitest.it("is dumped with its runs and what is short", async () => {
    const config = TestUtils.buildAccess({ hana: 10 });
    const fleet = new TestUtils.TestFleet({
      workers: SIZES,
      dataCentreOf,
      config,
    });
    fleet.workers.behave = () => ({ runMs: 9000, fails: false });
    await fleet.start();
    await submitAll(fleet, buildIds(16), 9000);
    await fleet.until(() => fleet.workers.runs.length === 16);
    fleet.evacuate("brno-b");
    await fleet.clock.advance(PROPAGATION_MS);
    const dump = fleet.box(fleet.coordinator() ?? "").dump();
    const work = dump["work"] as Coordinator.CoordinatorDump;
    vitest.expect(work.evacuations).toMatchObject([
      { dataCentre: "brno-b", runs: 8 },
    ]);
    vitest.expect(work.guarantees).toEqual({ paidFor: 10, open: 8, short: 2 });
    await fleet.stop();
  });
});
