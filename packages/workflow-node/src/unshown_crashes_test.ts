/**
 * Tasks that crash their endpoints where little shows it: the start is not answered,
 * many fall together, the endpoint is back late, or orders for the ended life meet
 * no answer that tells. Their starts have to be bounded all the same.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const TIMEOUT_MS = 180_000;

/** Tasks that break the rule of two starts after three crashes. */
function findExcessStarts(fleet: TestUtils.TestFleet): string[] {
  return TestUtils.findBrokenRuns(fleet);
}

function crashingIds(count: number): string[] {
  return Array.from(
    { length: count },
    (_, i) => `c${String(i).padStart(15, "0")}`,
  );
}

vitest.describe("tasks that crash their endpoints", () => {
  /**
   * Tasks of one image behave alike, and jobs with it come together. Where a start
   * is not answered before the crash, and the endpoint was not heard just before,
   * nothing shows the run; where three or more fall together the crash is excused.
   * Both together must not count nothing, as often as it happens.
   */
  for (const crashesAfterMs of [0, 10]) {
    for (const taskCount of [3, 14]) {
      vitest.it(
        `are given up where ${taskCount} crash at once, ${crashesAfterMs} ms on`,
        async () => {
          const sizes = Array.from({ length: 60 }, () => 1);
          const fleet = new TestUtils.TestFleet({ workers: sizes });
          // New lives are slow for a while, so others are taken first.
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

  /** Their entries lapse after three heartbeats, as the protocol says. */
  for (const backMs of [3000, 12_000, 30_000, 90_000]) {
    vitest.it(
      `are given up where endpoints come back after ${backMs} ms`,
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
          later(backMs, () => fleet.bringBack(spec));
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
   * The next life answers under its own id at the same address. That it does shows
   * the end of the life before it as well as a 421 would.
   */
  for (const atDeadAddress of Object.values(StandIns.DeadAddress)) {
    vitest.it(
      `are given up where the address ${atDeadAddress}`,
      async () => {
        const sizes = Array.from({ length: 6 }, () => 1);
        const fleet = new TestUtils.TestFleet({ workers: sizes });
        fleet.workers.atDeadAddress = atDeadAddress;
        fleet.entryOutlastsMs = 1500;
        fleet.workers.behave = () => ({
          runMs: 60_000,
          fails: false,
          crashesAfterMs: 10,
        });
        await fleet.start();
        Effect.runFork(
          fleet.clock.every(1500, Effect.sync(() => fleet.beat())),
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
