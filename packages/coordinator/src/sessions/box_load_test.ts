/** A box measures its own delay and limits its calls accordingly. */
import * as Metrics from "@cairngate/metrics";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as loads from "./box_load.ts";

function createLoad(clock = new TestUtils.FakeClock()): loads.BoxLoad {
  return new loads.BoxLoad({ clock, metrics: new Metrics.Metrics() });
}

function noteAll(load: loads.BoxLoad, lateMs: number, answers: number): void {
  for (let i = 0; i < answers; i++) load.addSample(lateMs);
}

vitest.describe("BoxLoad", () => {
  vitest.it("uses the median delay of the answers", () => {
    const load = createLoad();
    noteAll(load, 4, 40);
    vitest.expect(load.delayMs).toBe(4);
    noteAll(load, 900, 16);
    vitest.expect(load.delayMs).toBe(4);
    noteAll(load, 900, 48);
    vitest.expect(load.delayMs).toBe(900);
  });

  vitest.it("spaces polls further apart while it is late", () => {
    const load = createLoad();
    noteAll(load, 4, 48);
    const wellMs = load.pollSpacingMs;
    noteAll(load, 100, 48);
    vitest.expect(load.pollSpacingMs).toBeGreaterThan(wellMs * 10);
    noteAll(load, 10_000, 48);
    vitest.expect(load.pollSpacingMs).toBe(10);
  });

  vitest.it("extends limits by its own delay, up to a maximum", () => {
    const load = createLoad();
    noteAll(load, 100, 48);
    vitest.expect(load.extendLimit(450)).toBe(750);
    noteAll(load, 10_000, 48);
    vitest.expect(load.extendLimit(450)).toBe(1950);
  });

  vitest.it(
    "limits calls in flight and does not wait for a silent one",
    async () => {
      const clock = new TestUtils.FakeClock();
      const load = createLoad(clock);
      let begun = 0;
      const silent = Effect.suspend(() => {
        begun++;
        return Effect.never;
      });
      const calls = Array.from({ length: 60 }, () => load.withSlot(silent));
      Effect.runFork(Effect.all(calls, { concurrency: "unbounded" }));
      await clock.advance(10);
      vitest.expect(begun).toBe(24);
      await clock.advance(200);
      vitest.expect(begun).toBe(48);
      await clock.advance(200);
      vitest.expect(begun).toBe(60);
    },
  );

  vitest.it("starts a call as soon as another is answered", async () => {
    const clock = new TestUtils.FakeClock();
    const load = createLoad(clock);
    const calls = Array.from(
      { length: 48 },
      () => load.withSlot(clock.sleep(30)),
    );
    const all = Effect.runPromise(
      Effect.all(calls, { concurrency: "unbounded" }),
    );
    await clock.advance(61);
    vitest.expect((await all).length).toBe(48);
  });
});
