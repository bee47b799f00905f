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
const GREY_EACH = 6;
/** Time for which they do so, in ms. */
const GREY_MS = 5000;
/** Time from a start there to its failure, in ms. */
const FAILS_AFTER_MS = 50;
/** Time of a run on an endpoint that is well, in ms. */
const RUN_MS = 3000;
/** Workflows of each kind that are handed in while endpoints fail. */
const EACH = 6;
/** Accelerators of an endpoint. */
const SIZE = 8;

interface Outcome {
  readonly completed: number;
  readonly failed: number;
}

async function playGrey(seed: number): Promise<Outcome> {
  const fleet = new TestUtils.TestFleet({
    seed,
    workers: Array.from({ length: ENDPOINTS }, () => SIZE),
  });
  const greyUntilMs = () => startMs + GREY_MS;
  let startMs = Number.NEGATIVE_INFINITY;
  const isGrey = (id: string) =>
    fleet.placeOf(id) % GREY_EACH === seed % GREY_EACH &&
    fleet.clock.monotonicMs() < greyUntilMs();
  fleet.workers.behave = (_, id) =>
    isGrey(id)
      ? { runMs: FAILS_AFTER_MS, fails: true }
      : { runMs: RUN_MS, fails: false };
  await fleet.start();
  startMs = fleet.clock.monotonicMs();
  const gang = TestUtils.buildStep({
    count: 12,
    accelerators: SIZE,
    gang: true,
    estimateMs: RUN_MS,
  });
  const batch = TestUtils.buildStep({ count: 40, estimateMs: RUN_MS });
  const ids: string[] = [];
  const [node] = fleet.nodes.keys();
  for (let i = 0; i < EACH; i++) {
    for (const [kind, step] of [["a", gang], ["b", batch]] as const) {
      const id = `${kind}${String(i).padStart(15, "0")}`;
      const priority = kind === "a" ? 1 : 2;
      await fleet.submit(node, id, { steps: [step], priority });
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
      const { completed, failed } = await playGrey(seed);
      vitest.expect({ completed, failed })
        .toEqual({ completed: 2 * EACH, failed: 0 });
    });
  }
});
