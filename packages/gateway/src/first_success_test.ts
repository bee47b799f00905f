/** Several ways of doing the same. */
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as attempts from "./first_success.ts";

interface Way {
  readonly afterMs: number;
  readonly fails?: boolean;
}

/** Tries ways that answer after a time; tells the result and what was begun. */
async function tryAll(...ways: Way[]) {
  const clock = new TestUtils.FakeClock();
  const beginMs = clock.monotonicMs();
  const begun: number[] = [];
  const effects = ways.map(({ afterMs, fails }, i) =>
    Effect.gen(function* () {
      begun.push(clock.monotonicMs() - beginMs);
      yield* clock.sleep(afterMs);
      return fails === true ? yield* Effect.fail(`way ${i}`) : i;
    })
  );
  const options = { clock, staggerMs: 40 };
  const result = Effect.runPromise(
    Effect.result(attempts.firstSuccess(effects, options)),
  );
  await clock.advance(1000);
  return { result: await result, begun };
}

vitest.describe("firstSuccess", () => {
  vitest.it("takes the first way alone where it answers in time", async () => {
    const { result, begun } = await tryAll({ afterMs: 9 }, { afterMs: 9 });
    vitest.expect(result).toMatchObject({ success: 0 });
    vitest.expect(begun).toEqual([0]);
  });

  vitest.it("tries the next at once where one fails", async () => {
    const { result, begun } = await tryAll(
      { afterMs: 5, fails: true },
      { afterMs: 9 },
    );
    vitest.expect(result).toMatchObject({ success: 1 });
    vitest.expect(begun).toEqual([0, 5]);
  });

  vitest.it("tries the next beside one that lags", async () => {
    const { result, begun } = await tryAll({ afterMs: 500 }, { afterMs: 9 });
    vitest.expect(result).toMatchObject({ success: 1 });
    vitest.expect(begun).toEqual([0, 40]);
  });

  vitest.it("fails only when all have failed", async () => {
    const { result, begun } = await tryAll(
      { afterMs: 70, fails: true },
      { afterMs: 5, fails: true },
      { afterMs: 200, fails: true },
    );
    vitest.expect(result).toMatchObject({
      failure: ["way 1", "way 0", "way 2"],
    });
    vitest.expect(begun).toEqual([0, 40, 45]);
  });
});
