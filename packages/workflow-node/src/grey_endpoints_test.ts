/**
 * Endpoints that fail whatever they start, at once, for some seconds: what callers
 * get of wide gangs and of batches with few attempts. Answers the load of a day on
 * which a sixth of the endpoints does so for 5 s.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

/** Endpoints of the fleet, four to a rack. */
const ENDPOINTS = 48;
/** Each sixth endpoint fails what it starts. */
const FAILING_STRIDE = 6;
/** Time for which they do so, in ms. */
const FAILURE_PERIOD_MS = 5000;
/** Time from a start there to its failure, in ms. */
const FAILURE_DELAY_MS = 50;
/** Time of a run on an endpoint that is well, in ms. */
const RUN_MS = 3000;
/** Workflows of each kind that are handed in while endpoints fail. */
const WORKFLOWS_PER_KIND = 6;
/** Accelerators of an endpoint. */
const ACCELERATORS = 8;

interface Outcome {
  readonly completed: number;
  readonly failed: number;
}

async function runScenario(seed: number): Promise<Outcome> {
  const fleet = new TestUtils.TestFleet({
    seed,
    workers: Array.from({ length: ENDPOINTS }, () => ACCELERATORS),
  });
  const failingUntilMs = () => failingSinceMs + FAILURE_PERIOD_MS;
  let failingSinceMs = Number.NEGATIVE_INFINITY;
  const isFailing = (id: string) =>
    fleet.placeOf(id) % FAILING_STRIDE === seed % FAILING_STRIDE &&
    fleet.clock.monotonicMs() < failingUntilMs();
  fleet.workers.behave = (_, id) =>
    isFailing(id)
      ? { runMs: FAILURE_DELAY_MS, fails: true }
      : { runMs: RUN_MS, fails: false };
  await fleet.start();
  failingSinceMs = fleet.clock.monotonicMs();
  const gang = TestUtils.buildStep({
    count: 12,
    accelerators: ACCELERATORS,
    gang: true,
    estimateMs: RUN_MS,
  });
  const batch = TestUtils.buildStep({ count: 40, estimateMs: RUN_MS });
  const ids: string[] = [];
  const [box] = fleet.nodes.keys();
  for (let i = 0; i < WORKFLOWS_PER_KIND; i++) {
    for (const [kind, step] of [["a", gang], ["b", batch]] as const) {
      const id = `${kind}${String(i).padStart(15, "0")}`;
      const priority = kind === "a" ? 1 : 2;
      await fleet.submit(box, id, { steps: [step], priority });
      ids.push(id);
    }
    await fleet.clock.advance(400);
  }
  const isOver = (id: string) => {
    const state = fleet.state(id);
    return state !== null && Workflow.isFinal(state);
  };
  await fleet.until(() => ids.every(isOver), 120_000);
  const count = (state: Workflow.WorkflowState) =>
    ids.filter((id) => fleet.state(id) === state).length;
  await fleet.stop();
  return {
    completed: count(Workflow.WorkflowState.Completed),
    failed: count(Workflow.WorkflowState.Failed),
  };
}

vitest.describe("endpoints that fail what they start", () => {
  for (const seed of [1, 2, 3]) {
    vitest.it(`cost no caller its work, seed ${seed}`, async () => {
      const { completed, failed } = await runScenario(seed);
      vitest.expect({ completed, failed })
        .toEqual({ completed: 2 * WORKFLOWS_PER_KIND, failed: 0 });
    });
  }
});
