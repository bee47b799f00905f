/**
 * Guards against concurrent runs through unanswered starts for an incarnation that has
 * ended. The next incarnation under the id may carry one out seconds later, so the
 * coordinator first sends it stops for these runs. If the unanswered starts are dropped
 * with the session because the next incarnation is at another address, such a run
 * starts beside the next run of its task.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Longer than a test, in ms: no crashed endpoint returns by itself. */
const NEVER_MS = 600_000;
/** Longer than a late order takes to be delivered, in ms. */
const DELIVERY_MS = 5000;

/** Moves an endpoint under a task with this run time; returns the violations. */
async function runScenario(runMs: number): Promise<string[]> {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
  fleet.keepsIds = true;
  fleet.resetsClocks = true;
  fleet.restartDelayMs = NEVER_MS;
  fleet.workers.behave = () => ({ runMs, fails: false });
  await fleet.start();
  // The first start gets no answer and is carried out 2.5 s later; the second works.
  let starts = 0;
  fleet.workers.decideOutcome = (_, order) =>
    order === "start" && starts++ === 0
      ? StandIns.OrderOutcome.Late
      : StandIns.OrderOutcome.Delivered;
  const steps = [TestUtils.buildStep({ estimateMs: runMs })];
  await fleet.submit("node-1", ID, { steps });
  await fleet.until(() => fleet.workers.runs.length === 1);
  const [{ worker: id }] = fleet.workers.runs;
  await fleet.clock.advance(500);
  fleet.workers.crash(id);
  await fleet.clock.advance(400);
  const spec = { id, accelerators: 1 };
  fleet.workers.restart(spec);
  fleet.workers.removeListener(fleet.entryOf(id)?.address ?? "");
  fleet.list(spec, 7);
  await fleet.clock.advance(DELIVERY_MS);
  const violations = TestUtils.findRunViolations(fleet);
  await fleet.stop();
  return violations;
}

vitest.describe("an unanswered start", () => {
  vitest.describe("if the next incarnation has another address", () => {
    vitest.it("starts nothing beside the next run", async () => {
      vitest.expect(await runScenario(NEVER_MS)).toEqual([]);
    });

    vitest.it("starts nothing that is done", async () => {
      vitest.expect(await runScenario(100)).toEqual([]);
    });
  });
});
