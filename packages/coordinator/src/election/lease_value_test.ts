/** Guards against takeovers within the window in which the holder may grant leases. */
import type * as Admission from "@cairngate/admission";
import * as vitest from "vitest";
import * as leases from "./lease_value.ts";

const FORECAST: Admission.Forecast = {
  number: 1,
  boxes: 3,
  remotePenalty: 3,
  services: [],
  urgentUse: [],
};

vitest.describe("the value of a renewal", () => {
  vitest.it("names a window that is longer than usual", () => {
    const value = leases.writeLease(1000, null, 1500);
    vitest.expect(leases.windowMs(value)).toBe(1500);
    vitest.expect(leases.renewedAtMs(value)).toBe(1000);
    vitest.expect(leases.readLease(value)).toBeNull();
  });

  vitest.it("holds the forecast beside the window", () => {
    const aged = { forecast: FORECAST, ageMs: 100 };
    const value = leases.writeLease(1000, aged, 1500);
    vitest.expect(leases.windowMs(value)).toBe(1500);
    vitest.expect(leases.readLease(value)).toEqual(aged);
  });

  vitest.it("is a plain number with the usual window, as before", () => {
    const value = leases.writeLease(1000, null, 900);
    vitest.expect(value).toBe(1000);
    vitest.expect(leases.windowMs(value)).toBe(900);
  });

  vitest.it("holds the use of memory beside the window and a forecast", () => {
    const aged = { forecast: FORECAST, ageMs: 100 };
    const use = { heldShare: 0.437, freedShare: 0.02 };
    for (const forecast of [null, aged]) {
      const value = leases.writeLease(1000, forecast, 900, use);
      vitest.expect(leases.readMemoryUse(value)).toEqual(use);
      vitest.expect(leases.readLease(value)).toEqual(forecast);
      vitest.expect(leases.windowMs(value)).toBe(900);
      vitest.expect(leases.renewedAtMs(value)).toBe(1000);
    }
  });

  vitest.it("has no use of memory where none is published", () => {
    const aged = { forecast: FORECAST, ageMs: 100 };
    for (const forecast of [null, aged]) {
      const value = leases.writeLease(1000, forecast, 1500);
      vitest.expect(leases.readMemoryUse(value)).toBeNull();
    }
    vitest.expect(leases.readMemoryUse("1000+900+x+y")).toBeNull();
  });

  vitest.it("bounds the window of a value that another writer left", () => {
    vitest.expect(leases.windowMs("1000+999999")).toBe(4000);
    vitest.expect(leases.windowMs("1000+x")).toBe(900);
    vitest.expect(leases.windowMs(null)).toBe(900);
  });
});
