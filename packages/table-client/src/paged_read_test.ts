/** Paged reads adapt the size of pages and keep the pages that have arrived. */
import type * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as pagedReads from "./paged_read.ts";

/** Reads the numbers below `count`, each of which takes `rowMs` to arrive. */
function readNumbers(count: number, rowMs: number) {
  const clock = new TestUtils.FakeClock();
  const requests: Ports.PageRequest[] = [];
  const read = new pagedReads.PagedRead({
    clock,
    read: (request: Ports.PageRequest) =>
      Effect.gen(function* () {
        requests.push(request);
        const begin = Number(request.from ?? 0);
        const end = Math.min(count, begin + request.most);
        yield* clock.sleep((end - begin) * rowMs);
        const items = Array.from({ length: end - begin }, (_, i) => begin + i);
        return { items, next: end < count ? String(end) : null };
      }),
  });
  const step = async () => {
    const result = Effect.runPromise(Effect.result(read.readPage()));
    await clock.advance(2000);
    return await result;
  };
  return { read, requests, step };
}

async function readAll(
  { step }: ReturnType<typeof readNumbers>,
  maxSteps: number,
): Promise<number> {
  for (let steps = 1; steps <= maxSteps; steps++) {
    const result = await step();
    if (result._tag === "Success" && result.success) return steps;
  }
  return Number.POSITIVE_INFINITY;
}

vitest.describe("PagedRead", () => {
  vitest.it("reads larger pages while they are fast", async () => {
    const numbers = readNumbers(1000, 0);
    vitest.expect(await readAll(numbers, 6)).toBe(5);
    const all = Array.from({ length: 1000 }, (_, i) => i);
    vitest.expect(numbers.read.items).toEqual(all);
    vitest.expect(numbers.requests.map(({ most }) => most))
      .toEqual([50, 100, 200, 400, 500]);
  });

  vitest.it("requests fewer rows after a page timed out", async () => {
    const numbers = readNumbers(40, 100);
    const first = await numbers.step();
    vitest.expect(first._tag).toBe("Failure");
    vitest.expect(await readAll(numbers, 4)).toBe(4);
    vitest.expect(numbers.requests.map(({ from }) => from))
      .toEqual([null, null, "12", "24", "36"]);
    vitest.expect(numbers.read.items.length).toBe(40);
  });

  vitest.it("keeps earlier pages when a page fails", async () => {
    const numbers = readNumbers(120, 12);
    const readCount = () => numbers.read.items.length;
    await numbers.step();
    vitest.expect(readCount()).toBe(50);
    vitest.expect(await readAll(numbers, 8)).toBeLessThan(8);
    vitest.expect(numbers.requests.filter(({ from }) => from === null).length)
      .toBe(1);
  });
});
