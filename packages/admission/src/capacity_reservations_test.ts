/** Boxes that use the same forecast do not reserve the same capacity twice. */
import * as Workflow from "@cairngate/workflow";
import * as fc from "fast-check";
import * as vitest from "vitest";
import type * as forecasts from "./forecast.ts";
import type * as shapes from "./job_shape.ts";
import * as reservations from "./capacity_reservations.ts";

function capacity(accelerators: number): Workflow.Resources {
  return { cpuMillis: 1e6, memoryMb: 1e6, accelerators };
}

let made = 0;

function forecastOf(free: number, boxes: number): forecasts.Forecast {
  const curve = [capacity(free)];
  const ahead = { priority: 1, first: curve, last: curve, lastDueMs: 0 };
  const sizes = {
    largest: capacity(8),
    largestRack: capacity(32),
    total: capacity(64),
  };
  const service = { service: "analysis", ...sizes, fastest: 1, room: [ahead] };
  const common = { number: ++made, boxes, remotePenalty: 3, urgentUse: [] };
  return { ...common, services: [service] };
}

function jobOf(accelerators: number): shapes.JobShape {
  const steps = [Workflow.createStep({ accelerators })];
  const base = {
    service: "analysis",
    priority: 1,
    steps,
    hasNoDeadline: false,
  };
  return { ...base, dueInMs: 3000, deadlineInMs: 9000 };
}

vitest.describe("the reservations of boxes", () => {
  vitest.it("stay within the free capacity at any age of the forecast", () => {
    const calls = fc.array(fc.record({
      box: fc.nat({ max: 5 }),
      wants: fc.integer({ min: 1, max: 20 }),
      ageMs: fc.integer({ min: 0, max: 4000 }),
    }));
    const free = fc.integer({ min: 0, max: 100 });
    fc.assert(fc.property(calls, free, (requests, accelerators) => {
      const boxes = Array.from(
        { length: 6 },
        () => new reservations.CapacityReservations(),
      );
      const forecast = forecastOf(accelerators, boxes.length);
      let reserved = 0;
      for (const { box, wants, ageMs } of requests) {
        const known = { forecast, ageMs };
        if (boxes[box].reserve(jobOf(wants), known)) reserved += wants;
      }
      vitest.expect(reserved).toBeLessThanOrEqual(accelerators);
    }));
  });

  vitest.it("are reset by each forecast and refused with a stale one", () => {
    const boxReservations = new reservations.CapacityReservations();
    const first = { forecast: forecastOf(12, 3), ageMs: 0 };
    vitest.expect(boxReservations.reserve(jobOf(4), first)).toBe(true);
    vitest.expect(boxReservations.reserve(jobOf(1), first)).toBe(false);
    const again = { forecast: { ...first.forecast }, ageMs: 350 };
    vitest.expect(boxReservations.reserve(jobOf(1), again)).toBe(false);
    const next = { forecast: forecastOf(12, 3), ageMs: 0 };
    vitest.expect(boxReservations.reserve(jobOf(4), next)).toBe(true);
    const stale = { forecast: forecastOf(12, 3), ageMs: 3001 };
    vitest.expect(boxReservations.reserve(jobOf(1), stale)).toBe(false);
  });
});
