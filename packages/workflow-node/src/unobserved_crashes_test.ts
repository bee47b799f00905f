/**
 * Tasks that crash their endpoints with little evidence: the start is not answered,
 * many endpoints crash together, the endpoint returns late, or orders to the ended
 * incarnation get no conclusive answer. The number of starts must be limited all the
 * same.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const TIMEOUT_MS = 180_000;

/** Finds tasks with more than two starts after their third crash. */
function findExcessStarts(fleet: TestUtils.TestFleet): string[] {
  return TestUtils.findRunViolations(fleet);
}

function crashingIds(count: number): string[] {
  return Array.from(
    { length: count },
    (_, i) => `c${String(i).padStart(15, "0")}`,
  );
}

vitest.describe("tasks that crash their endpoints", () => {
  /**
   * Tasks of one image behave alike, and jobs with that image arrive together. If the
   * endpoint answers neither the start nor a poll before its crash, nothing proves the
   * run; if three or more endpoints crash together, the crash is excused. Repeated
   * crashes of this kind must still be counted.
   */
  for (const crashesAfterMs of [0, 10]) {
    for (const taskCount of [3, 14]) {
      vitest.it(
        `fail if ${taskCount} crash at once, after ${crashesAfterMs} ms`,
        async () => {
          const sizes = Array.from({ length: 60 }, () => 1);
          const fleet = new TestUtils.TestFleet({ workers: sizes });
          // New incarnations are slow for a while, so others are preferred.
          fleet.coldAfterCrashMs = 60_000;
          fleet.workers.behave = () => ({
            runMs: 60_000,
            fails: false,
            crashesAfterMs,
          });
          await fleet.start();
          const ids = crashingIds(taskCount);
          await Promise.all(ids.map((id) => fleet.submit("node-1", id)));
          const { Failed } = Workflow.WorkflowState;
          const hasFailed = await fleet.until(
            () => ids.every((id) => fleet.state(id) === Failed),
            40_000,
          );
          vitest.expect(findExcessStarts(fleet)).toEqual([]);
          vitest.expect(hasFailed).toBe(true);
          await fleet.stop();
        },
        60_000,
      );
    }
  }

  /** Entries of endpoints expire after three heartbeats, as in the protocol. */
  for (const backMs of [3000, 12_000, 30_000, 90_000]) {
    vitest.it(
      `fail if endpoints are back after ${backMs} ms`,
      async () => {
        const sizes = Array.from({ length: 14 }, () => 1);
        const fleet = new TestUtils.TestFleet({ workers: sizes });
        fleet.workers.behave = () => ({
          runMs: 60_000,
          fails: false,
          crashesAfterMs: 10,
        });
        fleet.workers.onCrash = (spec) => {
          const later = (ms: number, what: () => void) =>
            Effect.runFork(
              Effect.andThen(fleet.clock.sleep(ms), Effect.sync(what)),
            );
          later(Math.min(backMs, 4500), () => fleet.unlist(spec.id));
          later(backMs, () => fleet.restartUnderNewId(spec));
        };
        await fleet.start();
        await fleet.submit("node-1", "c000000000000001");
        const hasFailed = await fleet.until(
          () =>
            fleet.state("c000000000000001") === Workflow.WorkflowState.Failed,
          TIMEOUT_MS,
        );
        await fleet.clock.advance(10_000);
        vitest.expect(findExcessStarts(fleet)).toEqual([]);
        vitest.expect(hasFailed).toBe(true);
        await fleet.stop();
      },
    );
  }

  /**
   * The next incarnation answers under its own id at the same address, which proves the
   * end of the previous one as well as a 421 would.
   */
  for (const atDeadAddress of Object.values(StandIns.DeadAddressOutcome)) {
    vitest.it(
      `fail if the address ${atDeadAddress}`,
      async () => {
        const sizes = Array.from({ length: 6 }, () => 1);
        const fleet = new TestUtils.TestFleet({ workers: sizes });
        fleet.workers.atDeadAddress = atDeadAddress;
        fleet.entryOverlapMs = 1500;
        fleet.workers.behave = () => ({
          runMs: 60_000,
          fails: false,
          crashesAfterMs: 10,
        });
        await fleet.start();
        Effect.runFork(
          fleet.clock.every(1500, Effect.sync(() => fleet.sendHeartbeats())),
        );
        await fleet.submit("node-1", "c000000000000001");
        const hasFailed = await fleet.until(
          () =>
            fleet.state("c000000000000001") === Workflow.WorkflowState.Failed,
          TIMEOUT_MS,
        );
        vitest.expect(findExcessStarts(fleet)).toEqual([]);
        vitest.expect(hasFailed).toBe(true);
        await fleet.stop();
      },
      60_000,
    );
  }
});
