/** Guards against a box that stands still for seconds without a trace in its log. */
import * as Metrics from "@cairngate/metrics";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as vitest from "vitest";
import * as stalls from "./stall_monitor.ts";

/** Duration of the stall, in ms; longer than the silence before a takeover. */
const STALL_MS = 4000;

vitest.describe("StallMonitor", () => {
  vitest.it("reports how long the box stood still, once", async () => {
    const time = new TestUtils.FakeClock();
    const clock = new TestUtils.PausableClock(time);
    const log = new TestUtils.RecordingLog();
    const monitor = new stalls.StallMonitor({
      clock,
      log,
      metrics: new Metrics.Metrics(),
    });
    const fiber = Effect.runFork(monitor.run());
    await time.advance(1000);
    vitest.expect(log.messages).toEqual([]);
    clock.pause();
    await time.advance(STALL_MS);
    clock.resume();
    await time.advance(1000);
    vitest.expect(log.messages).toEqual([
      vitest.expect.stringMatching(/stood still for (3[789]|40)\d\d ms/),
    ]);
    await Effect.runPromise(Fiber.interrupt(fiber));
  });
});
