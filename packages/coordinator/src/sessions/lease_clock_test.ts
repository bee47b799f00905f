import * as vitest from "vitest";
import * as leaseClocks from "./lease_clock.ts";

const LEASE_MS = 6000;
const SENT_AT_MS = 1000;

/** Confirms a lease that ends at 6000 on a clock that reads 0 at the time of sending. */
function confirm(answer: { clockMs: number; nowMs: number }) {
  const clock = new leaseClocks.LeaseClock(0);
  clock.confirmLease({
    leaseUntilMs: LEASE_MS,
    sentAtMs: SENT_AT_MS,
    leaseMs: LEASE_MS,
    ...answer,
  });
  return (atMs: number) => clock.isLeasedFor(0, atMs);
}

vitest.describe("a confirmed lease", () => {
  vitest.it("ends one lease after the poll was sent", () => {
    const isLeasedAt = confirm({ clockMs: 600, nowMs: 1600 });
    vitest.expect(isLeasedAt(7000)).toBe(true);
    vitest.expect(isLeasedAt(7001)).toBe(false);
  });

  vitest.it("does not end later if its answer is processed late", () => {
    const isLeasedAt = confirm({ clockMs: 600, nowMs: 4000 });
    vitest.expect(isLeasedAt(7001)).toBe(false);
  });

  vitest.it(
    "ends earlier if the endpoint's clock was ahead of its estimate",
    () => {
      const isLeasedAt = confirm({ clockMs: 2600, nowMs: 1600 });
      vitest.expect(isLeasedAt(5000)).toBe(true);
      vitest.expect(isLeasedAt(5001)).toBe(false);
    },
  );

  vitest.it("does not exceed the longest lease on a clock far behind", () => {
    const isLeasedAt = confirm({ clockMs: -90_000, nowMs: 1600 });
    vitest.expect(isLeasedAt(7001)).toBe(false);
  });

  vitest.it("is missing before an answer", () => {
    const clock = new leaseClocks.LeaseClock(0);
    clock.startLeaseEnd(SENT_AT_MS, LEASE_MS);
    vitest.expect(clock.isLeasedFor(0, SENT_AT_MS)).toBe(false);
  });
});
