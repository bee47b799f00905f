/** Rejected callers come back in order, and to hammer gains nothing. */
import * as Workflow from "@cairngate/workflow";
import * as fc from "fast-check";
import * as vitest from "vitest";
import type * as forecasts from "./forecast.ts";
import type * as shapes from "./job_shape.ts";
import * as returns from "./return_book.ts";

const TOTAL = { cpuMillis: 1e6, memoryMb: 1e6, accelerators: 30 };
const FORECAST: forecasts.Forecast = {
  number: 1,
  boxes: 3,
  remotePenalty: 3,
  services: [{
    service: "analysis",
    largest: TOTAL,
    largestRack: TOTAL,
    total: TOTAL,
    fastest: 1,
    room: [],
  }],
  urgentUse: [],
};

/** Its work keeps the share of one box, 10 accelerators, busy for 500 ms. */
const JOB: shapes.JobShape = {
  service: "analysis",
  priority: 1,
  steps: [
    Workflow.createStep({ count: 5, accelerators: 1, estimateMs: 1000 }),
  ],
  isTimed: false,
  dueInMs: 3000,
  usefulForMs: 9000,
};

function note(
  book: returns.ReturnBook,
  id: string,
  returnInMs: number,
  nowMs = 0,
): number {
  return book.note({ id, job: JOB }, returnInMs, { nowMs, forecast: FORECAST });
}

vitest.describe("the order of return", () => {
  vitest.it("spreads callers over the time in which room gets free", () => {
    const book = new returns.ReturnBook();
    const times = ["a", "b", "c"].map((id) => note(book, id, 2000));
    vitest.expect(times).toEqual([2000, 2500, 3000]);
    vitest.expect(note(book, "a", 1000, 500)).toBe(1500);
  });

  vitest.it("makes who comes early wait for its time", () => {
    const book = new returns.ReturnBook();
    for (const id of ["a", "b"]) note(book, id, 2000);
    vitest.expect(book.waitOf("a", 1000)).toBe(1000);
    vitest.expect(book.waitOf("b", 1000)).toBe(1500);
    vitest.expect(book.waitOf("b", 2500)).toBe(0);
    vitest.expect(book.waitOf("new", 1000)).toBe(0);
    book.forget("b");
    vitest.expect(book.waitOf("b", 1000)).toBe(0);
  });

  vitest.it("keeps nobody back for longer than its work may take", () => {
    const book = new returns.ReturnBook();
    const ids = Array.from({ length: 50 }, (_, i) => `job-${i}`);
    const times = ids.map((id) => note(book, id, 2000));
    vitest.expect(Math.max(...times)).toBe(2000 + JOB.dueInMs);
  });

  vitest.it("serves no later who does as told than who hammers", () => {
    const callers = fc.array(fc.boolean(), { minLength: 2, maxLength: 8 });
    const times = fc.integer({ min: 100, max: 8000 });
    const pauses = fc.integer({ min: 20, max: 900 });
    fc.assert(
      fc.property(callers, times, pauses, (hammers, freeAtMs, pause) => {
        const play = (who: readonly boolean[]) =>
          servedAt(who, freeAtMs, pause);
        const mixed = play(hammers);
        hammers.forEach((isHammering, i) => {
          if (!isHammering) return;
          const calm = play(hammers.map((one, j) => j === i ? false : one));
          vitest.expect(calm[i]).toBeLessThanOrEqual(mixed[i]);
        });
      }),
    );
  });
});

/**
 * When each of some equal callers is accepted at one box whose room gets free at one
 * moment. All are rejected first; then they come as told, or again and again.
 */
function servedAt(
  hammers: readonly boolean[],
  freeAtMs: number,
  pauseMs: number,
): readonly number[] {
  const book = new returns.ReturnBook();
  const served = hammers.map(() => Number.POSITIVE_INFINITY);
  const next = hammers.map((isHammering, i) => {
    const inMs = note(book, `job-${i}`, freeAtMs);
    return isHammering ? Math.min(pauseMs, inMs) : inMs;
  });
  for (;;) {
    const nowMs = Math.min(...next);
    if (!Number.isFinite(nowMs)) return served;
    const i = next.indexOf(nowMs);
    const id = `job-${i}`;
    const leftMs = Math.max(0, freeAtMs - nowMs);
    const inMs = leftMs > 0
      ? note(book, id, leftMs, nowMs)
      : book.waitOf(id, nowMs);
    if (inMs <= 0) {
      served[i] = nowMs;
      next[i] = Number.POSITIVE_INFINITY;
      book.forget(id);
      continue;
    }
    next[i] = nowMs + (hammers[i] ? Math.min(pauseMs, inMs) : inMs);
  }
}
