/** Endpoints are backed off after failures and receive work again later. */
import * as vitest from "vitest";
import * as healths from "./endpoint_health.ts";

vitest.describe("EndpointHealth", () => {
  vitest.it("backs off longer with each consecutive failure", () => {
    const health = new healths.EndpointHealth();
    const lengths = [1, 2, 3].map((i) => {
      const failedAtMs = i * 100_000;
      health.noteFailure(failedAtMs);
      let ms = 0;
      while (health.isInBackoff(failedAtMs + ms)) ms += 100;
      return ms;
    });
    vitest.expect(lengths[1]).toBeGreaterThan(lengths[0]);
    vitest.expect(lengths[2]).toBeGreaterThan(lengths[1]);
  });

  vitest.it("ends the backoff at once after a success", () => {
    const health = new healths.EndpointHealth();
    health.noteFailure(0);
    health.noteFailure(0);
    health.noteSuccess(0);
    vitest.expect(health.isInBackoff(1)).toBe(false);
  });

  vitest.it("backs off briefly after a refusal, longer when slow", () => {
    const refused = new healths.EndpointHealth();
    refused.noteRefusal(0);
    vitest.expect(refused.isInBackoff(200)).toBe(true);
    vitest.expect(refused.isInBackoff(400)).toBe(false);
    const slow = new healths.EndpointHealth();
    slow.noteSlow(0);
    vitest.expect(slow.isInBackoff(400)).toBe(true);
  });

  vitest.it("is suspect for a while after a run that failed early", () => {
    const health = new healths.EndpointHealth();
    health.noteRunFailure(1000, 50);
    vitest.expect(health.isUnreliable(4000)).toBe(true);
    vitest.expect(health.isUnreliable(9000)).toBe(false);
    const other = new healths.EndpointHealth();
    other.noteRunFailure(1000, 2000);
    vitest.expect(other.isUnreliable(1001)).toBe(false);
  });

  vitest.it("backs off for 2.5 s at most, then gets one run at a time", () => {
    const health = new healths.EndpointHealth();
    for (let failure = 0; failure < 8; failure++) health.noteFailure(1000);
    vitest.expect(health.isInBackoff(3400)).toBe(true);
    vitest.expect(health.isInBackoff(3500)).toBe(false);
    vitest.expect(health.isUnreliable(3500)).toBe(true);
    vitest.expect(health.isUnreliable(20_900)).toBe(true);
    vitest.expect(health.isUnreliable(21_000)).toBe(false);
  });

  vitest.it("may get several runs once one has lasted for 0.5 s", () => {
    const health = new healths.EndpointHealth();
    for (let failure = 0; failure < 8; failure++) health.noteFailure(1000);
    health.noteRunning(5000, 100);
    vitest.expect(health.isUnreliable(5000)).toBe(true);
    health.noteRunning(5000, 4500);
    vitest.expect(health.isUnreliable(5000)).toBe(true);
    health.noteRunning(5500, 600);
    vitest.expect(health.isUnreliable(5500)).toBe(false);
  });

  vitest.it("is proven by a run past 0.5 s, not by one just started", () => {
    const health = new healths.EndpointHealth();
    health.noteRunning(1000, 100);
    vitest.expect(health.isProven(1001)).toBe(false);
    health.noteRunning(1500, 600);
    vitest.expect(health.isProven(1501)).toBe(true);
    health.noteRunFailure(1600, 20);
    vitest.expect(health.isProven(1601)).toBe(false);
  });
});
