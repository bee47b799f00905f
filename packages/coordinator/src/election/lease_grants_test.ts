/**
 * Guards against leases that are granted after another box may have taken over, and
 * against running work that expires because a slow store acknowledges renewals late.
 */
import * as Metrics from "@cairngate/metrics";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";
import * as leaseGrants from "./lease_grants.ts";
import * as reports from "./outage_reports.ts";

class FakeReports extends reports.OutageReports {
  isOutage = false;

  override isUnavailableToAll(): boolean {
    return this.isOutage;
  }
}

function createGrants() {
  const fakeClock = new TestUtils.FakeClock();
  const clock = new TestUtils.SuspendableClock(fakeClock);
  const outageReports = new FakeReports();
  const log = new TestUtils.RecordingLog();
  const metrics = new Metrics.Metrics();
  const begunAt = clock.now();
  const options = { clock, outageReports, log, metrics, token: 1, begunAt };
  const grants = new leaseGrants.LeaseGrants(options);
  return { clock: fakeClock, boxClock: clock, outageReports, log, grants };
}

vitest.describe("LeaseGrants", () => {
  vitest.it(
    "counts from the sending of a renewal, not its answer",
    async () => {
      const { clock, grants } = createGrants();
      const renewal = grants.announce();
      await clock.advance(4000);
      grants.noteRenewed(renewal);
      vitest.expect(grants.mayGrant()).toBe(false);
      grants.noteRenewed(grants.announce());
      vitest.expect(grants.mayGrant()).toBe(true);
    },
  );

  vitest.it("ends with the window of the newest renewal", async () => {
    const { clock, grants } = createGrants();
    await clock.advance(350);
    grants.noteRenewed(grants.announce());
    await clock.advance(899);
    vitest.expect(grants.mayGrant()).toBe(true);
    await clock.advance(1);
    vitest.expect(grants.mayGrant()).toBe(false);
  });

  vitest.it("pauses after a suspension until the next renewal", async () => {
    const { clock, boxClock, grants } = createGrants();
    boxClock.suspend();
    await clock.advance(2000);
    boxClock.resume();
    vitest.expect(grants.mayGrant()).toBe(false);
    grants.noteRenewed(grants.announce());
    vitest.expect(grants.mayGrant()).toBe(true);
  });

  vitest.it("ends in time if the wall clock is set back", async () => {
    const { clock, boxClock, grants } = createGrants();
    boxClock.wallAheadMs = -2000;
    await clock.advance(899);
    vitest.expect(grants.mayGrant()).toBe(true);
    await clock.advance(1);
    vitest.expect(grants.mayGrant()).toBe(false);
  });

  vitest.it("goes on while no box can reach the store", async () => {
    const { clock, grants, outageReports } = createGrants();
    outageReports.isOutage = true;
    await clock.advance(5000);
    vitest.expect(grants.mayGrant()).toBe(true);
    grants.end();
    vitest.expect(grants.mayGrant()).toBe(false);
  });

  vitest.it("announces longer windows while renewals are slow", async () => {
    const { clock, grants } = createGrants();
    const slow = grants.announce();
    vitest.expect(slow.windowMs).toBe(900);
    await clock.advance(800);
    grants.noteRenewed(slow);
    vitest.expect(grants.announce().windowMs).toBe(1200);
  });

  vitest.it("announces the longest window once none is open", async () => {
    const { clock, grants } = createGrants();
    await clock.advance(1000);
    const renewal = grants.announce();
    vitest.expect(renewal.windowMs).toBe(4000);
    await clock.advance(2500);
    grants.noteRenewed(renewal);
    vitest.expect(grants.mayGrant()).toBe(true);
  });

  vitest.it(
    "never announces a window that ends before an earlier one",
    async () => {
      const { clock, grants } = createGrants();
      let endMs = 0;
      for (const ageMs of [1300, 10, 10, 10, 10, 10, 10]) {
        const renewal = grants.announce();
        const renewalEndMs = renewal.sentAt.monotonicMs + renewal.windowMs;
        vitest.expect(renewalEndMs).toBeGreaterThanOrEqual(endMs);
        endMs = renewalEndMs;
        await clock.advance(ageMs);
        grants.noteRenewed(renewal);
      }
    },
  );

  vitest.it("logs when grants pause and how old the renewal is", async () => {
    const { clock, grants, log } = createGrants();
    await clock.advance(4000);
    grants.mayGrant();
    grants.mayGrant();
    grants.noteRenewed(grants.announce());
    grants.mayGrant();
    vitest.expect(log.messages).toEqual([
      vitest.expect.stringContaining("sent 4000 ms ago"),
      vitest.expect.stringContaining("again after 0 ms"),
    ]);
  });

  vitest.it(
    "counts a renewal without an answer that the feed shows",
    async () => {
      const { clock, grants } = createGrants();
      await clock.advance(4000);
      const { sentAt: { monotonicMs: sentAtMs } } = grants.announce();
      await clock.advance(100);
      grants.noteApplied(sentAtMs + 1e12);
      vitest.expect(grants.mayGrant()).toBe(false);
      grants.noteApplied(Math.round(sentAtMs));
      vitest.expect(grants.mayGrant()).toBe(true);
    },
  );
});
