/** Several ways of doing the same. */
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as attempts from "./first_success.ts";

interface Alternative {
  readonly afterMs: number;
  readonly fails?: boolean;
}

/** Tries ways that answer after a time; tells the result and what was startTimes. */
async function runAll(...alternatives: Alternative[]) {
  const clock = new TestUtils.FakeClock();
  const beganAtMs = clock.monotonicMs();
  const startTimes: number[] = [];
  const effects = alternatives.map(({ afterMs, fails }, i) =>
    Effect.gen(function* () {
      startTimes.push(clock.monotonicMs() - beganAtMs);
      yield* clock.sleep(afterMs);
      return fails === true ? yield* Effect.fail(`way ${i}`) : i;
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
  vitest.it("takes the first way alone where it answers in time", async () => {
    const { result, startTimes } = await runAll({ afterMs: 9 }, { afterMs: 9 });
    vitest.expect(result).toMatchObject({ success: 0 });
    vitest.expect(startTimes).toEqual([0]);
  });

  vitest.it("tries the next at once where one fails", async () => {
    const { result, startTimes } = await runAll(
      { afterMs: 5, fails: true },
      { afterMs: 9 },
    );
    vitest.expect(result).toMatchObject({ success: 1 });
    vitest.expect(startTimes).toEqual([0, 5]);
  });

  vitest.it("tries the next beside one that lags", async () => {
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
      failure: ["way 1", "way 0", "way 2"],
    });
    vitest.expect(startTimes).toEqual([0, 40, 45]);
  });
});
