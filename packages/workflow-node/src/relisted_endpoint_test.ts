/**
 * Guards against repeating a run that completes while its endpoint is neither reachable
 * nor listed. Another box takes over meanwhile, and the endpoint returns before the
 * lease of the run expires, so the end of the run is still recorded.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

/** Duration of a run, in ms: it ends while its endpoint is cut off. */
const RUN_MS = 900;
/** Time from the start of the run to the cut, in ms. */
const CUT_DELAY_MS = 300;
/** Durations of the cut, in ms: beyond a takeover, within a lease of 6 s. */
const CUT_DURATIONS_MS: readonly number[] = [2500, 3500, 4500, 5000, 5400];
const TIMEOUT_MS = 30_000;
/** Network delay of an order, in ms; the smallest realistic one. */
const ORDER_DELAY_MS = 1;

/** Number of workflows, and the sizes of the endpoints that run them. */
interface Scenario {
  readonly workers: readonly number[];
  readonly workflows: number;
}

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  "one on one endpoint": { workers: [1], workflows: 1 },
  "two on one endpoint": { workers: [2], workflows: 2 },
  "four on one endpoint": { workers: [4], workflows: 4 },
  "eight on two endpoints": { workers: [4, 4], workflows: 8 },
};

async function replaceCoordinator(fleet: TestUtils.TestFleet): Promise<void> {
  const coordinator = fleet.coordinator();
  if (coordinator !== null) await fleet.kill(coordinator);
}

/** Cuts all endpoints off during a takeover; returns the outcome of the runs. */
async function runTakeover(endsMs: number, { workers, workflows }: Scenario) {
  const fleet = new TestUtils.TestFleet({ workers });
  const cuts = new TestUtils.EndpointCuts(fleet);
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  fleet.workers.decideOutcome = (id) =>
    cuts.outcomeOf(id) ?? StandIns.OrderOutcome.Delivered;
  fleet.workers.transitMs = ORDER_DELAY_MS;
  await fleet.start();
  const ids = Array.from(
    { length: workflows },
    (_, i) => `a${String(i).padStart(15, "0")}`,
  );
  await Promise.all(ids.map((id) => fleet.submit("node-1", id)));
  await fleet.until(() => fleet.workers.runs.length === workflows);
  await fleet.clock.advance(CUT_DELAY_MS);
  const outcome = StandIns.OrderOutcome.Lost;
  const schedule = {
    outcome,
    endsMs,
    entryRemovedMs: 0,
    entryRelistedMs: endsMs,
  };
  for (const id of fleet.workers.listRunning()) cuts.begin(id, schedule);
  await fleet.clock.advance(100);
  await replaceCoordinator(fleet);
  const { Completed } = Workflow.WorkflowState;
  const areDone = () => ids.every((id) => fleet.state(id) === Completed);
  const isDone = await fleet.until(areDone, TIMEOUT_MS);
  await fleet.clock.advance(RUN_MS * 2);
  const broken = TestUtils.findRunViolations(fleet);
  const runs = fleet.workers.runs.length;
  await fleet.stop();
  return { isDone, runs, broken };
}

vitest.describe(
  "runs that complete while their endpoints are unreachable",
  () => {
    for (const [name, scenario] of Object.entries(SCENARIOS)) {
      for (const endsMs of CUT_DURATIONS_MS) {
        vitest.it(
          `are not repeated after a takeover, ${name}, for ${endsMs} ms`,
          async () => {
            vitest.expect(await runTakeover(endsMs, scenario)).toEqual({
              isDone: true,
              runs: scenario.workflows,
              broken: [],
            });
          },
        );
      }
    }
  },
);
