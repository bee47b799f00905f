/** Boxes that decide on one forecast do not promise the same room. */
import * as Workflow from "@cairngate/workflow";
import * as fc from "fast-check";
import * as vitest from "vitest";
import type * as forecasts from "./forecast.ts";
import type * as shapes from "./job_shape.ts";
import * as shares from "./share_book.ts";

function room(accelerators: number): Workflow.Resources {
  return { cpuMillis: 1e6, memoryMb: 1e6, accelerators };
}

let made = 0;

function forecastOf(free: number, boxes: number): forecasts.Forecast {
  const curve = [room(free)];
  const ahead = { priority: 1, first: curve, last: curve, lastDueMs: 0 };
  const sizes = { largest: room(8), largestRack: room(32), total: room(64) };
  const service = { service: "analysis", ...sizes, fastest: 1, room: [ahead] };
  const common = { number: ++made, boxes, remotePenalty: 3, urgentUse: [] };
  return { ...common, services: [service] };
}

function jobOf(accelerators: number): shapes.JobShape {
  const steps = [Workflow.createStep({ accelerators })];
  const base = { service: "analysis", priority: 1, steps, isTimed: false };
  return { ...base, dueInMs: 3000, usefulForMs: 9000 };
}

vitest.describe("the promises of boxes", () => {
  vitest.it("are within the room at any age of their forecast", () => {
    const calls = fc.array(fc.record({
      box: fc.nat({ max: 5 }),
      wants: fc.integer({ min: 1, max: 20 }),
      ageMs: fc.integer({ min: 0, max: 4000 }),
    }));
    const free = fc.integer({ min: 0, max: 100 });
    fc.assert(fc.property(calls, free, (asked, accelerators) => {
      const books = Array.from({ length: 6 }, () => new shares.ShareBook());
      const forecast = forecastOf(accelerators, books.length);
      let promised = 0;
      for (const { box, wants, ageMs } of asked) {
        const known = { forecast, ageMs };
        if (books[box].promise(jobOf(wants), known)) promised += wants;
      }
      vitest.expect(promised).toBeLessThanOrEqual(accelerators);
    }));
  });

  vitest.it("begin anew with each forecast, and end with a stale one", () => {
    const book = new shares.ShareBook();
    const first = { forecast: forecastOf(12, 3), ageMs: 0 };
    vitest.expect(book.promise(jobOf(4), first)).toBe(true);
    vitest.expect(book.promise(jobOf(1), first)).toBe(false);
    const again = { forecast: { ...first.forecast }, ageMs: 350 };
    vitest.expect(book.promise(jobOf(1), again)).toBe(false);
    const next = { forecast: forecastOf(12, 3), ageMs: 0 };
    vitest.expect(book.promise(jobOf(4), next)).toBe(true);
    const stale = { forecast: forecastOf(12, 3), ageMs: 3001 };
    vitest.expect(book.promise(jobOf(1), stale)).toBe(false);
  });
});
