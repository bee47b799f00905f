/**
 * Guards against a burst of calls when the store returns: a loop that waits for the
 * recovery, makes its call and waits again must not see the same recovery twice.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as healths from "./store_health.ts";

/** Bounds a loop that goes on without a pause. */
const MAX_WAKES = 100;
/** Longer than the shortest outage, in ms. */
const OUTAGE_MS = 400;

vitest.describe("StoreHealth", () => {
  vitest.it("wakes a waiting loop once for each recovery", async () => {
    const clock = new TestUtils.FakeClock();
    const health = new healths.StoreHealth(clock);
    let woken = 0;
    Effect.runFork(Effect.gen(function* () {
      while (woken < MAX_WAKES) {
        yield* health.awaitRecovery();
        woken++;
      }
    }));
    for (const outages of [1, 2]) {
      health.recordFailure();
      await clock.advance(OUTAGE_MS);
      health.recordAnswer();
      await clock.advance(1);
      vitest.expect(woken).toBe(outages);
    }
  });
});
