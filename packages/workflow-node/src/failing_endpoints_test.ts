/**
 * Guards against failed workflows when some endpoints fail every run at once for some
 * seconds: wide gangs and batches with few attempts must still complete. Models a day's
 * load on which a sixth of the endpoints does so for 5 s.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

/** Number of endpoints, four to a rack. */
const ENDPOINTS = 48;
/** Every sixth endpoint fails its runs. */
const FAILING_STRIDE = 6;
/** Time during which these endpoints fail their runs, in ms. */
const FAILURE_PERIOD_MS = 5000;
/** Time from the start of a run there to its failure, in ms. */
const FAILURE_DELAY_MS = 50;
/** Duration of a run on a healthy endpoint, in ms. */
const RUN_MS = 3000;
/** Workflows of each kind, submitted while endpoints fail. */
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
    fleet.indexOf(id) % FAILING_STRIDE === seed % FAILING_STRIDE &&
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
  const [box] = fleet.boxes.keys();
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

vitest.describe("endpoints that fail every run", () => {
  for (const seed of [1, 2, 3]) {
    vitest.it(`fail no workflow, seed ${seed}`, async () => {
      const { completed, failed } = await runScenario(seed);
      vitest.expect({ completed, failed })
        .toEqual({ completed: 2 * WORKFLOWS_PER_KIND, failed: 0 });
    });
  }
});
