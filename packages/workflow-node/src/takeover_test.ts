/** Boxes die, lose the store or leave; work goes on and runs once. */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";

function isCompleted(fleet: TestUtils.TestFleet, id = ID): boolean {
  return fleet.state(id) === Workflow.WorkflowState.Completed;
}

/** Finds a box that is not the coordinator. */
function otherNode(fleet: TestUtils.TestFleet): string {
  const coordinator = fleet.coordinator();
  const others = [...fleet.boxes.keys()].filter((n) => n !== coordinator);
  return others[0];
}

vitest.describe("takeover", () => {
  vitest.it("keeps running tasks when the coordinator dies", async () => {
    const fleet = new TestUtils.TestFleet();
    fleet.workers.behave = () => ({ runMs: 5000, fails: false });
    await fleet.start();
    const steps = [TestUtils.buildStep({ count: 3, estimateMs: 5000 })];
    await fleet.submit(otherNode(fleet), ID, { steps });
    await fleet.until(() => fleet.workers.runs.length === 3);
    const first = fleet.coordinator();
    await fleet.kill(first ?? "");
    vitest.expect(await fleet.until(() => isCompleted(fleet))).toBe(true);
    vitest.expect(fleet.workers.runs.length).toBe(3);
    vitest.expect(fleet.coordinator()).not.toBe(first);
    await fleet.stop();
  });

  vitest.it("hands over at once when the coordinator leaves", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    const first = fleet.coordinator() ?? "";
    await fleet.run(fleet.box(first).leave());
    const leftAtMs = fleet.clock.monotonicMs();
    await fleet.until(() => ![null, first].includes(fleet.coordinator()));
    vitest.expect(fleet.clock.monotonicMs() - leftAtMs).toBeLessThan(500);
    await fleet.stop();
  });

  vitest.it("happens once if many boxes could take over", async () => {
    const fleet = new TestUtils.TestFleet({ boxes: 6 });
    await fleet.start();
    const before = fleet.token();
    // Slow calls let all boxes try to take over at the same time.
    for (const [i, name] of [...fleet.boxes.keys()].entries()) {
      fleet.faultsOf(name).set({ delayMs: 5 + 9 * i });
    }
    const first = fleet.coordinator() ?? "";
    await fleet.run(fleet.box(first).leave());
    await fleet.clock.advance(1500);
    vitest.expect(fleet.token()).toBe(before + 1);
    await fleet.stop();
  });

  vitest.it(
    "replaces a coordinator that is cut off from the store and peers",
    async () => {
      const fleet = new TestUtils.TestFleet();
      await fleet.start();
      const first = fleet.coordinator() ?? "";
      fleet.faultsOf(first).set({ down: true });
      fleet.links.isReachable = (from) => from !== first;
      const moved = await fleet.until(() => fleet.coordinator() !== first);
      vitest.expect(moved).toBe(true);
      await fleet.submit(fleet.coordinator() ?? "", ID);
      vitest.expect(await fleet.until(() => isCompleted(fleet))).toBe(true);
      vitest.expect(fleet.workers.runs.length).toBe(1);
      await fleet.stop();
    },
  );

  vitest.it("does not happen if only the feeds fall behind", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    const before = fleet.token();
    for (const name of fleet.boxes.keys()) {
      fleet.faultsOf(name).set({ hideChanges: true });
    }
    await fleet.clock.advance(6000);
    for (const name of fleet.boxes.keys()) {
      fleet.faultsOf(name).set({ hideChanges: false });
    }
    await fleet.clock.advance(3000);
    vitest.expect(fleet.token()).toBe(before);
    await fleet.stop();
  });

  vitest.it(
    "does not happen while the store is unavailable to all boxes",
    async () => {
      const fleet = new TestUtils.TestFleet();
      await fleet.start();
      const first = fleet.coordinator();
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ down: true });
      }
      await fleet.clock.advance(6000);
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ down: false });
      }
      await fleet.clock.advance(3000);
      vitest.expect(fleet.coordinator()).toBe(first);
      await fleet.stop();
    },
  );

  vitest.it("recovers all state after all boxes were killed", async () => {
    const fleet = new TestUtils.TestFleet();
    fleet.workers.behave = () => ({ runMs: 3000, fails: false });
    await fleet.start();
    const steps = [
      TestUtils.buildStep({ estimateMs: 3000 }),
      TestUtils.buildStep({ after: [0], estimateMs: 3000 }),
    ];
    await fleet.submit("node-1", ID, { steps });
    await fleet.until(() => fleet.workers.runs.length === 1);
    for (const name of [...fleet.boxes.keys()]) await fleet.kill(name);
    await fleet.clock.advance(1000);
    for (const name of ["node-4", "node-5"]) fleet.startBox(name);
    vitest.expect(await fleet.until(() => isCompleted(fleet))).toBe(true);
    vitest.expect(fleet.workers.runs.length).toBe(2);
    await fleet.stop();
  });

  vitest.it(
    "stops the runs of a workflow that is cancelled",
    async () => {
      const fleet = new TestUtils.TestFleet();
      fleet.workers.behave = () => ({ runMs: 30_000, fails: false });
      await fleet.start();
      const steps = [TestUtils.buildStep({ estimateMs: 30_000 })];
      await fleet.submit("node-1", ID, { steps });
      await fleet.until(() => fleet.workers.runs.length === 1);
      await fleet.kill(fleet.coordinator() ?? "");
      const name = otherNode(fleet);
      const node = fleet.box(name);
      const path = `/p1/${ID}`;
      const host = "jobs.example";
      const key = "key-of-hana";
      const allowed = await fleet.run(node.access.check({ host, path, key }));
      await fleet.run(node.submissions.cancel(allowed, ID));
      const stopped = await fleet.until(() =>
        fleet.workers.runs[0].how === "stopped"
      );
      vitest.expect(stopped).toBe(true);
      vitest.expect(fleet.workers.runs.length).toBe(1);
      const state = await fleet.run(node.submissions.state(allowed, ID));
      vitest.expect(state).toBe(Workflow.WorkflowState.Cancelled);
      await fleet.stop();
    },
  );
});

vitest.describe("orders without an answer", () => {
  vitest.it("start a run once if the answer is lost", async () => {
    const fleet = new TestUtils.TestFleet();
    let lost = 0;
    fleet.workers.decideOutcome = (_, order) => {
      const isFirst = order === "start" && lost === 0;
      if (isFirst) lost++;
      return isFirst
        ? StandIns.OrderOutcome.AnswerLost
        : StandIns.OrderOutcome.Delivered;
    };
    await fleet.start();
    await fleet.submit("node-1", ID);
    vitest.expect(await fleet.until(() => isCompleted(fleet))).toBe(true);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    await fleet.stop();
  });

  vitest.it(
    "never run a task twice if a start arrives after a refusal",
    async () => {
      const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
      fleet.workers.behave = () => ({ runMs: 4000, fails: false });
      let firstAtMs: number | null = null;
      fleet.workers.decideOutcome = (_, order) => {
        if (order !== "start") return StandIns.OrderOutcome.Delivered;
        const nowMs = fleet.clock.monotonicMs();
        if (firstAtMs === null) {
          firstAtMs = nowMs;
          return StandIns.OrderOutcome.Late;
        }
        return nowMs < firstAtMs + 3000
          ? StandIns.OrderOutcome.NoRoom
          : StandIns.OrderOutcome.Delivered;
      };
      await fleet.start();
      const steps = [TestUtils.buildStep({ estimateMs: 4000 })];
      await fleet.submit("node-1", ID, { steps });
      vitest.expect(await fleet.until(() => isCompleted(fleet))).toBe(true);
      await fleet.clock.advance(3000);
      vitest.expect(fleet.workers.runs.length).toBe(1);
      await fleet.stop();
    },
  );
});
