/** Long-running work survives defects. */
import * as Logger from "@cairngate/logger";
import * as Metrics from "@cairngate/metrics";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as restart from "./restart.ts";

vitest.describe("restartOnDefect", () => {
  vitest.it("restarts work after a defect and counts it", async () => {
    const clock = new TestUtils.FakeClock();
    const metrics = new Metrics.Metrics();
    let tries = 0;
    const work = Effect.sync(() => {
      tries++;
      if (tries < 3) throw new TypeError("unexpected");
      return tries;
    });
    const parts = { what: "The work", clock, log: Logger.silentLogger() };
    const done = Effect.runPromise(
      restart.restartOnDefect(work, { ...parts, metrics }),
    );
    await clock.advance(1000);
    vitest.expect(await done).toBe(3);
    const count = metrics.get("cairngate_defects_total", { what: "The work" });
    vitest.expect(count).toBe(2);
  });

  vitest.it("passes expected failures to the caller", async () => {
    const clock = new TestUtils.FakeClock();
    const parts = { what: "The work", clock, log: Logger.silentLogger() };
    const result = await Effect.runPromise(Effect.result(
      restart.restartOnDefect(Effect.fail("expected"), {
        ...parts,
        metrics: new Metrics.Metrics(),
      }),
    ));
    vitest.expect(result).toMatchObject({ failure: "expected" });
  });
});
