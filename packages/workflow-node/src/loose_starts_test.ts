/**
 * Starts that had no answer, for a life of an endpoint that has ended. The next life
 * under the id may carry one out seconds later: it is told to stop such runs first.
 * The coordinator forgot them with its session where the next life stood at another
 * address. Then a run began there beside the next run of its task.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** No endpoint is back within a test but by its own hand. */
const NEVER_MS = 600_000;
/** Longer than a late order takes to arrive, in ms. */
const DELIVERY_MS = 5000;

/** Returns what ran as it must not, of a task whose run takes this time. */
async function runScenario(runMs: number): Promise<string[]> {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
  fleet.keepsIds = true;
  fleet.crashBackMs = NEVER_MS;
  fleet.workers.behave = () => ({ runMs, fails: false });
  await fleet.start();
  // The first try has no answer and is carried out 2.5 s later; the second works.
  let starts = 0;
  fleet.workers.carry = (_, order) =>
    order === "start" && starts++ === 0
      ? StandIns.OrderFate.Late
      : StandIns.OrderFate.Carried;
  const steps = [TestUtils.buildStep({ estimateMs: runMs })];
  await fleet.submit("node-1", ID, { steps });
  await fleet.until(() => fleet.workers.runs.length === 1);
  const [{ worker: id }] = fleet.workers.runs;
  await fleet.clock.advance(500);
  fleet.workers.crash(id);
  await fleet.clock.advance(400);
  const spec = { id, accelerators: 1 };
  fleet.workers.beginAgain(spec);
  fleet.workers.vacate(fleet.entryOf(id)?.address ?? "");
  fleet.list(spec, 7);
  await fleet.clock.advance(DELIVERY_MS);
  const violations = TestUtils.findBrokenRuns(fleet);
  await fleet.stop();
  return violations;
}

vitest.describe("a start without an answer", () => {
  vitest.describe("where the next life stands at another address", () => {
    vitest.it("begins nothing beside the next run", async () => {
      vitest.expect(await runScenario(NEVER_MS)).toEqual([]);
    });

    vitest.it("begins nothing that is done", async () => {
      vitest.expect(await runScenario(100)).toEqual([]);
    });
  });
});
