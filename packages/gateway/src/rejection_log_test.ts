/** Checks that rejections are logged, and that the number of lines is limited. */
import * as Errors from "@cairngate/errors";
import * as Metrics from "@cairngate/metrics";
import * as TestUtils from "@cairngate/test-utils";
import type * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as logs from "./rejection_log.ts";

const REASON = Errors.RejectReason.TooLate;

function buildDetails(id: string): logs.RejectionDetails {
  const [route] = TestUtils.buildAccess().queues;
  const steps = [
    TestUtils.buildStep({ count: 3, accelerators: 2, gang: true }),
  ];
  const spec: Workflow.WorkflowSpec = {
    id,
    tenant: "hana",
    policy: route,
    payload: "work",
    steps,
    schedule: null,
    acceptedAtMs: 0,
  };
  const rejected = new Errors.RejectedError({
    jobId: id,
    reason: REASON,
    retryAfterMs: 2500,
  });
  return { spec, rejected, forecast: null, ageMs: 740.2 };
}

vitest.describe("RejectionLog", () => {
  vitest.it("logs five per second, and how many more there were", async () => {
    const clock = new TestUtils.FakeClock();
    const log = new TestUtils.RecordingLog();
    const metrics = new Metrics.Metrics();
    const rejectionLog = new logs.RejectionLog({ clock, log, metrics });
    for (let i = 0; i < 7; i++) rejectionLog.add(buildDetails(`job-${i}`));
    vitest.expect(log.messages).toHaveLength(5);
    vitest.expect(log.messages[0]).toBe(
      "Workflow job-0 of team hana in queue-0 is rejected: too-late; it may be " +
        "submitted again in 2500 ms. It requests 3 x 2 (gang) accelerators; " +
        "expected free: not known, forecast 740 ms old.",
    );
    await clock.advance(1000);
    rejectionLog.add(buildDetails("job-7"));
    vitest.expect(log.messages[5])
      .toMatch(/ 2 more rejections were not logged\.$/);
    const labels = { reason: REASON };
    vitest.expect(metrics.get("cairngate_rejected_total", labels)).toBe(8);
    vitest.expect(rejectionLog.last[0].id).toBe("job-7");
  });
});
