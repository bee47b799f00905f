/**
 * Guards against workflows that fail because of stale entries. Several endpoints crash
 * at once and return within a second under other ids, while the entries of the earlier
 * incarnations stay listed for up to three seconds. Such an entry looks like an idle
 * endpoint. A start sent to it gets a 421 without a body from the next incarnation,
 * which must not count as a crash caused by the task.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const { DeadAddressOutcome } = StandIns;

/** Endpoints, of four accelerators each. */
const ENDPOINTS = 12;
/** Waves of simultaneous crashes; four wrongly counted ones would fail a task. */
const CRASH_WAVES = 6;
/** Time between waves, in ms: endpoints are back, and their stale entries expired. */
const WAVE_INTERVAL_MS = 5000;
/** Endpoints that crash in each wave. */
const CRASHES_PER_WAVE = 4;
/** Duration of a run, in ms. */
const RUN_MS = 4000;
/** Starts allowed for a task that crashes each endpoint: two after the third crash. */
const MAX_STARTS = 5;
const COMPLETION_TIMEOUT_MS = 120_000;
/** Real time for one test, in ms; it takes 11 s alone, three times that under load. */
const TEST_TIMEOUT_MS = 120_000;

/** Time between two heartbeats of an endpoint, in ms. */
const HEARTBEAT_MS = 500;

/** Advances the clock while all live endpoints send heartbeats. */
async function advance(
  fleet: TestUtils.TestFleet,
  forMs: number,
): Promise<void> {
  for (let ms = 0; ms < forMs; ms += HEARTBEAT_MS) {
    await fleet.clock.advance(HEARTBEAT_MS);
    fleet.sendHeartbeats();
  }
}

/** Submits workflows while endpoints crash in groups; returns their ids. */
async function runCrashWaves(fleet: TestUtils.TestFleet): Promise<string[]> {
  const ids: string[] = [];
  for (let wave = 0; wave < CRASH_WAVES; wave++) {
    const endpoints = fleet.workers.listRunning();
    const first = wave * CRASHES_PER_WAVE;
    for (let i = 0; i < CRASHES_PER_WAVE; i++) {
      fleet.workers.crash(endpoints[(first + i) % endpoints.length]);
    }
    for (let i = 0; i < 5; i++) {
      await advance(fleet, WAVE_INTERVAL_MS / 5);
      const id = `a${String(ids.length).padStart(15, "0")}`;
      const step = { count: 8, estimateMs: RUN_MS, gang: i % 2 === 0 };
      const steps = [TestUtils.buildStep(step)];
      await fleet.submit("node-1", id, { steps });
      ids.push(id);
    }
  }
  return ids;
}

/**
 * Whether five endpoints did crash during runs of one task. No further start is allowed
 * then, so the workflow may fail. It can happen by chance, as four of twelve endpoints
 * crash in each wave.
 */
function hasUsedAllStarts(fleet: TestUtils.TestFleet, id: string): boolean {
  const crashes = new Map<string, number>();
  for (const { task, how } of fleet.workers.runs) {
    if (!task.startsWith(`${id}.`) || how !== "crashed") continue;
    crashes.set(task, (crashes.get(task) ?? 0) + 1);
  }
  return [...crashes.values()].some((count) => count >= MAX_STARTS);
}

vitest.describe("entries that outlive their endpoints", () => {
  for (const atDeadAddress of Object.values(DeadAddressOutcome)) {
    vitest.it(
      `fail no workflow if the address ${atDeadAddress}`,
      async () => {
        const workers = Array.from({ length: ENDPOINTS }, () => 4);
        const fleet = new TestUtils.TestFleet({ workers });
        fleet.restartDelayMs = 1000;
        fleet.entryOverlapMs = 3000;
        fleet.workers.atDeadAddress = atDeadAddress;
        fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
        await fleet.start();
        const ids = await runCrashWaves(fleet);
        const isOver = (id: string) => {
          const state = fleet.state(id);
          return state !== null && Workflow.isFinal(state);
        };
        for (
          let ms = 0;
          ms < COMPLETION_TIMEOUT_MS && !ids.every(isOver);
          ms += 1000
        ) {
          await advance(fleet, 1000);
        }
        vitest.expect(
          ids.flatMap((id) => TestUtils.checkFailedWorkflow(fleet, id)),
        )
          .toEqual([]);
        const states = ids.filter((id) => !hasUsedAllStarts(fleet, id))
          .map((id) => fleet.state(id));
        vitest.expect(new Set(states)).toEqual(
          new Set([Workflow.WorkflowState.Completed]),
        );
        await fleet.stop();
      },
      TEST_TIMEOUT_MS,
    );
  }
});
