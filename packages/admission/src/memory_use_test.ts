/** Checks which workflows find memory, and when rejected ones may return. */
import * as vitest from "vitest";
import * as memory from "./memory_use.ts";

const LIMIT_BYTES = 50_000_000;
const SMALL_BYTES = 3500;
const LARGE_BYTES = 180_000;

function findWaitMs(
  neededBytes: number,
  fields: Partial<memory.MemoryRequest> = {},
): number | null {
  return memory.findMemoryWaitMs({
    neededBytes,
    limitBytes: LIMIT_BYTES,
    use: null,
    reservedBytes: 0,
    ...fields,
  });
}

const used = (heldShare: number, freedShare = 0) => ({
  use: { heldShare, freedShare },
});

vitest.describe("memory for a workflow", () => {
  vitest.it("is found for the largest one while little is in use", () => {
    vitest.expect(findWaitMs(LARGE_BYTES)).toBeNull();
  });

  vitest.it("is found for small ones when large ones find none", () => {
    vitest.expect(findWaitMs(LARGE_BYTES, used(0.9))).not.toBeNull();
    vitest.expect(findWaitMs(SMALL_BYTES, used(0.9))).toBeNull();
    vitest.expect(findWaitMs(SMALL_BYTES, used(1))).not.toBeNull();
  });

  vitest.it("is not taken twice by workflows that are not counted yet", () => {
    const reservedBytes = LIMIT_BYTES * 0.7;
    vitest.expect(findWaitMs(LARGE_BYTES, { reservedBytes })).not.toBeNull();
  });

  vitest.it("is expected by the pace at which it is freed", () => {
    const slow = findWaitMs(SMALL_BYTES, used(1, 0.01)) ?? 0;
    const fast = findWaitMs(SMALL_BYTES, used(1, 0.1)) ?? 0;
    vitest.expect(slow).toBeCloseTo(10 * fast);
    vitest.expect(findWaitMs(SMALL_BYTES, used(1))).toBe(60_000);
    vitest.expect(findWaitMs(SMALL_BYTES, used(1, 100))).toBe(1000);
  });
});
