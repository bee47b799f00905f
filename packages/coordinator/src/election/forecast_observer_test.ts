/** How boxes decode the holder's forecast and compute its age. */
import * as Admission from "@cairngate/admission";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";
import * as observers from "./forecast_observer.ts";
import * as leases from "./lease_value.ts";

const FORECAST: Admission.Forecast = {
  number: 1,
  boxes: 3,
  remotePenalty: 3,
  services: [],
  urgentUse: [["hana", 4]],
};

function renewal(atMs: number, ageMs = 100): number | string {
  return leases.writeLease(atMs, { forecast: FORECAST, ageMs });
}

vitest.describe("the value of a renewal", () => {
  vitest.it("is a plain number without a forecast", () => {
    vitest.expect(leases.writeLease(12.4, null)).toBe(12);
    vitest.expect(leases.readLease(12)).toBe(null);
  });

  vitest.it("holds its send time, with and without a forecast", () => {
    vitest.expect(leases.renewedAtMs(renewal(1234.4))).toBe(1234);
    vitest.expect(leases.renewedAtMs(12)).toBe(12);
    for (const odd of [null, undefined, {}, "", "x 1 {}"]) {
      vitest.expect(leases.renewedAtMs(odd)).toBe(null);
    }
  });

  vitest.it("differs with each renewal, and compares by value", () => {
    vitest.expect(renewal(1)).not.toBe(renewal(2));
    vitest.expect(renewal(1)).toBe(renewal(1));
  });

  vitest.it("decodes to null where it is malformed", () => {
    for (const odd of [null, undefined, {}, "", "1", "1 x {}", "1 2 {}"]) {
      vitest.expect(leases.readLease(odd)).toBe(null);
    }
  });
});

vitest.describe("the age of a forecast", () => {
  vitest.it("counts from the feed request that returned it", async () => {
    const clock = new TestUtils.FakeClock();
    const observer = new observers.ForecastObserver(clock);
    observer.note(renewal(1), clock.monotonicMs());
    const requestedAtMs = clock.monotonicMs();
    await clock.advance(400);
    observer.note(renewal(2, 100), requestedAtMs);
    vitest.expect(observer.latest).toEqual({ forecast: FORECAST, ageMs: 500 });
  });

  vitest.it("is unknown for a row that was there before", async () => {
    const clock = new TestUtils.FakeClock();
    const observer = new observers.ForecastObserver(clock);
    observer.note(renewal(1), clock.monotonicMs());
    vitest.expect(observer.latest.ageMs).toBe(Number.POSITIVE_INFINITY);
    observer.note(renewal(2), clock.monotonicMs());
    vitest.expect(observer.latest.ageMs).toBe(100);
    // Disconnected for so long that the next row may be as old.
    await clock.advance(4000);
    observer.note(renewal(3), clock.monotonicMs());
    vitest.expect(observer.latest.ageMs).toBe(Number.POSITIVE_INFINITY);
  });

  vitest.it("is reset by a holder that publishes no forecast", () => {
    const clock = new TestUtils.FakeClock();
    const observer = new observers.ForecastObserver(clock);
    observer.note(renewal(1), clock.monotonicMs());
    observer.note(renewal(2), clock.monotonicMs());
    observer.note(7, clock.monotonicMs());
    vitest.expect(observer.latest.forecast).toBe(null);
  });
});
