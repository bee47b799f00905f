/**
 * Rows of the scheduler's own tables that hold valid JSON in another format. Each may
 * cost only its own workflow: not the coordination, nor a second run.
 */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const OVERWRITTEN_ID = "a000000000000001";
const OTHER_ID = "a000000000000002";
const LATER_ID = "a000000000000003";
/** Duration of a run, in ms: longer than a takeover. */
const RUN_MS = 6000;
/** Time in which a node takes over and a few terms would fail, in ms. */
const TAKEOVER_MS = 5000;
/** Time within which all work ends, in ms. */
const TIMEOUT_MS = 30_000;

const STEP = Workflow.createStep({ accelerators: 1, estimateMs: 100 });
const SPEC: Workflow.WorkflowSpec = {
  id: OVERWRITTEN_ID,
  tenant: "",
  policy: {
    queue: "q",
    service: "s",
    priority: 0,
    attempts: 1,
    stretch: 1,
    latencyMs: 1,
    advice: null,
  },
  payload: "",
  steps: [STEP],
  schedule: null,
  acceptedAtMs: 1,
};

const INVALID_SPECS: Readonly<Record<string, unknown>> = {
  "a number": 5,
  "no fields": {},
  "no policy": { ...SPEC, policy: undefined },
  "the id of another workflow": { ...SPEC, id: LATER_ID },
  "steps that are a number": { ...SPEC, steps: 5 },
  "a step that is null": { ...SPEC, steps: [null] },
  "a count too large": { ...SPEC, steps: [{ ...STEP, count: 1e308 }] },
  "a negative count": { ...SPEC, steps: [{ ...STEP, count: -1 }] },
  "nested lists": { ...SPEC, steps: [{ ...STEP, after: [[[0]]] }] },
  "rounds too many": {
    ...SPEC,
    schedule: { firstAtMs: 1, everyMs: 1, rounds: 1e308 },
  },
};

const RECORD = {
  state: Workflow.WorkflowState.Running,
  done: {},
  runs: {},
  tasks: {},
  workers: [],
};

const INVALID_RECORDS: Readonly<Record<string, unknown>> = {
  "a text": "running",
  "a list": [RECORD],
  "no fields": {},
  "an unknown state": { ...RECORD, state: "odd" },
  "done tasks that are null": { ...RECORD, done: null },
  "done tasks that are a number": { ...RECORD, done: { "0.0": 5 } },
  "a run that is too large": { ...RECORD, runs: { "0.0": 1e308 } },
  "a run that is nested": { ...RECORD, runs: { "0.0": [[[1]]] } },
  "a task that is null": { ...RECORD, tasks: { "0.0.0": null } },
  "a task of objects": { ...RECORD, tasks: { "0.0.0": [{}, {}, {}] } },
  "a checkpoint that is a number": {
    ...RECORD,
    tasks: { "0.0.0": [1, -1, 0, 5] },
  },
  "endpoints that are null": { ...RECORD, workers: null },
  "an endpoint that is an object": { ...RECORD, workers: [{}] },
  "open ends that are numbers": { ...RECORD, openEnds: [5] },
  "failures that are null": { ...RECORD, failures: null },
  "histories that are null": { ...RECORD, histories: null },
  "a give-up that is null": { ...RECORD, giveUp: null },
};

const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];

async function startFleet(): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  await fleet.start();
  return fleet;
}

/** Kills the coordinator; returns the name of another box. */
async function killCoordinator(fleet: TestUtils.TestFleet): Promise<string> {
  await fleet.kill(fleet.coordinator() ?? "");
  await fleet.clock.advance(TAKEOVER_MS);
  const [name] = fleet.boxes.keys();
  return name;
}

function areCompleted(
  fleet: TestUtils.TestFleet,
  ids: readonly string[],
): boolean {
  return ids.every((id) =>
    fleet.state(id) === Workflow.WorkflowState.Completed
  );
}

function keyOf(fleet: TestUtils.TestFleet, prefix: string): string {
  const found = fleet.table.rowsUnder(prefix).find(({ key }) =>
    key.includes(OVERWRITTEN_ID)
  );
  return found?.key ?? "";
}

function runsOf(fleet: TestUtils.TestFleet, id: string): readonly number[] {
  return fleet.workers.runs.filter(({ task }) => task.startsWith(id))
    .map(({ run }) => run);
}

vitest.describe("a workflow row that is valid JSON but no workflow", () => {
  for (const [what, spec] of Object.entries(INVALID_SPECS)) {
    vitest.it(`with ${what} ends no term and delays no other`, async () => {
      const fleet = await startFleet();
      const token = fleet.token();
      fleet.write(TableClient.Keys.workflowKey("0", OVERWRITTEN_ID), spec);
      await fleet.clock.advance(TAKEOVER_MS);
      await fleet.submit("node-1", OTHER_ID);
      await fleet.until(() => fleet.workers.runs.length === 1);
      vitest.expect(fleet.token()).toBe(token);
      await fleet.submit(await killCoordinator(fleet), LATER_ID);
      const ids = [OTHER_ID, LATER_ID];
      const isDone = () => areCompleted(fleet, ids);
      vitest.expect(await fleet.until(isDone, TIMEOUT_MS)).toBe(true);
      vitest.expect(fleet.token()).toBe(token + 1);
      vitest.expect(runsOf(fleet, OVERWRITTEN_ID)).toEqual([]);
      await fleet.stop();
    });
  }
});

vitest.describe("a progress row that is valid JSON but no record", () => {
  for (const [what, record] of Object.entries(INVALID_RECORDS)) {
    vitest.it(
      `with ${what} ends no term and starts no second run`,
      async () => {
        const fleet = await startFleet();
        await fleet.submit("node-1", OVERWRITTEN_ID, { steps: STEPS });
        await fleet.submit("node-1", OTHER_ID);
        await fleet.until(() => fleet.workers.runs.length === 2);
        await fleet.clock.advance(500);
        const token = fleet.token();
        fleet.write(keyOf(fleet, "progress:"), record);
        const name = await killCoordinator(fleet);
        const answer = fleet.requestState(name, OVERWRITTEN_ID);
        await vitest.expect(answer).rejects
          .toMatchObject({ _tag: "StoreUnavailableError" });
        await fleet.submit(name, LATER_ID);
        const isDone = () => areCompleted(fleet, [OTHER_ID, LATER_ID]);
        vitest.expect(await fleet.until(isDone, TIMEOUT_MS)).toBe(true);
        vitest.expect(fleet.token()).toBe(token + 1);
        vitest.expect(runsOf(fleet, OVERWRITTEN_ID)).toEqual([1]);
        vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
        await fleet.stop();
      },
    );
  }
});

vitest.describe("rows that other writers change back", () => {
  vitest.it("neither lose a running workflow nor run it twice", async () => {
    const fleet = await startFleet();
    await fleet.submit("node-1", OVERWRITTEN_ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    await fleet.clock.advance(500);
    const key = keyOf(fleet, "intake:");
    const [spec] = fleet.table.rowsUnder(key).map(({ value }) => value);
    fleet.write(key, { ...SPEC, steps: [null] });
    await fleet.clock.advance(1000);
    fleet.write(key, spec);
    const isDone = () => areCompleted(fleet, [OVERWRITTEN_ID]);
    vitest.expect(await fleet.until(isDone, TIMEOUT_MS)).toBe(true);
    vitest.expect(runsOf(fleet, OVERWRITTEN_ID)).toEqual([1]);
    await fleet.stop();
  });

  vitest.it("repeat no recorded task after a takeover", async () => {
    const fleet = await startFleet();
    fleet.workers.behave = (task) => ({
      runMs: task.includes(".0.0.") ? 500 : RUN_MS,
      fails: false,
    });
    const steps = [STEPS[0], TestUtils.buildStep({ after: [0] })];
    await fleet.submit("node-1", OVERWRITTEN_ID, { steps });
    await fleet.until(() => fleet.workers.runs.length === 2);
    await fleet.clock.advance(500);
    const key = keyOf(fleet, "intake:");
    const [spec] = fleet.table.rowsUnder(key).map(({ value }) => value);
    fleet.write(key, { ...SPEC, steps: [null] });
    await killCoordinator(fleet);
    fleet.write(key, spec);
    const isDone = () => areCompleted(fleet, [OVERWRITTEN_ID]);
    vitest.expect(await fleet.until(isDone, TIMEOUT_MS)).toBe(true);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });
});
