/** Checks when alternatives are started, and which result is returned. */
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as attempts from "./first_success.ts";

interface Alternative {
  readonly afterMs: number;
  readonly fails?: boolean;
}

/** Runs alternatives; returns the result and when each of them was started, in ms. */
async function runAll(...alternatives: Alternative[]) {
  const clock = new TestUtils.FakeClock();
  const beganAtMs = clock.monotonicMs();
  const startTimes: number[] = [];
  const effects = alternatives.map(({ afterMs, fails }, i) =>
    Effect.gen(function* () {
      startTimes.push(clock.monotonicMs() - beganAtMs);
      yield* clock.sleep(afterMs);
      return fails === true ? yield* Effect.fail(`alternative ${i}`) : i;
    })
  );
  const options = { clock, staggerMs: 40 };
  const result = Effect.runPromise(
    Effect.result(attempts.firstSuccess(effects, options)),
  );
  await clock.advance(1000);
  return { result: await result, startTimes };
}

vitest.describe("firstSuccess", () => {
  vitest.it("starts only the first where it succeeds in time", async () => {
    const { result, startTimes } = await runAll({ afterMs: 9 }, { afterMs: 9 });
    vitest.expect(result).toMatchObject({ success: 0 });
    vitest.expect(startTimes).toEqual([0]);
  });

  vitest.it("starts the next at once where one fails", async () => {
    const { result, startTimes } = await runAll(
      { afterMs: 5, fails: true },
      { afterMs: 9 },
    );
    vitest.expect(result).toMatchObject({ success: 1 });
    vitest.expect(startTimes).toEqual([0, 5]);
  });

  vitest.it("starts the next beside one that is slow", async () => {
    const { result, startTimes } = await runAll({ afterMs: 500 }, {
      afterMs: 9,
    });
    vitest.expect(result).toMatchObject({ success: 1 });
    vitest.expect(startTimes).toEqual([0, 40]);
  });

  vitest.it("fails only when all have failed", async () => {
    const { result, startTimes } = await runAll(
      { afterMs: 70, fails: true },
      { afterMs: 5, fails: true },
      { afterMs: 200, fails: true },
    );
    vitest.expect(result).toMatchObject({
      failure: ["alternative 1", "alternative 0", "alternative 2"],
    });
    vitest.expect(startTimes).toEqual([0, 40, 45]);
  });
});
