/** Rejected callers retry in order, and an early retry gains nothing. */
import * as Workflow from "@cairngate/workflow";
import * as fc from "fast-check";
import * as vitest from "vitest";
import type * as forecasts from "./forecast.ts";
import type * as shapes from "./job_shape.ts";
import * as retrySchedules from "./retry_schedule.ts";

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

/** A job that occupies the share of one box, 10 accelerators, for 500 ms. */
const JOB: shapes.JobShape = {
  service: "analysis",
  priority: 1,
  steps: [
    Workflow.createStep({ count: 5, accelerators: 1, estimateMs: 1000 }),
  ],
  hasNoDeadline: false,
  dueInMs: 3000,
  deadlineInMs: 9000,
};

function reject(
  schedule: retrySchedules.RetrySchedule,
  id: string,
  retryAfterMs: number,
  nowMs = 0,
): number {
  return schedule.assignRetry({ id, job: JOB }, retryAfterMs, {
    nowMs,
    forecast: FORECAST,
  });
}

vitest.describe("the retry schedule", () => {
  vitest.it(
    "spreads retries over the time in which capacity becomes free",
    () => {
      const schedule = new retrySchedules.RetrySchedule();
      const times = ["a", "b", "c"].map((id) => reject(schedule, id, 2000));
      vitest.expect(times).toEqual([2000, 2500, 3000]);
      vitest.expect(reject(schedule, "a", 1000, 500)).toBe(1500);
    },
  );

  vitest.it("makes an early caller wait for its assigned time", () => {
    const schedule = new retrySchedules.RetrySchedule();
    for (const id of ["a", "b"]) reject(schedule, id, 2000);
    vitest.expect(schedule.remainingWaitMs("a", 1000)).toBe(1000);
    vitest.expect(schedule.remainingWaitMs("b", 1000)).toBe(1500);
    vitest.expect(schedule.remainingWaitMs("b", 2500)).toBe(0);
    vitest.expect(schedule.remainingWaitMs("new", 1000)).toBe(0);
    schedule.forget("b");
    vitest.expect(schedule.remainingWaitMs("b", 1000)).toBe(0);
  });

  vitest.it(
    "delays no caller for longer than the objective of its work",
    () => {
      const schedule = new retrySchedules.RetrySchedule();
      const ids = Array.from({ length: 50 }, (_, i) => `job-${i}`);
      const times = ids.map((id) => reject(schedule, id, 2000));
      vitest.expect(Math.max(...times)).toBe(2000 + JOB.dueInMs);
    },
  );

  vitest.it(
    "accepts a punctual caller no later than one that retries early",
    () => {
      const callers = fc.array(fc.boolean(), { minLength: 2, maxLength: 8 });
      const times = fc.integer({ min: 100, max: 8000 });
      const pauses = fc.integer({ min: 20, max: 900 });
      fc.assert(
        fc.property(callers, times, pauses, (earlyRetries, freeAtMs, pause) => {
          const acceptedAt = (retriesEarly: readonly boolean[]) =>
            simulateRetries(retriesEarly, freeAtMs, pause);
          const mixed = acceptedAt(earlyRetries);
          earlyRetries.forEach((isEarly, i) => {
            if (!isEarly) return;
            const punctual = acceptedAt(
              earlyRetries.map((isOtherEarly, j) =>
                j === i ? false : isOtherEarly
              ),
            );
            vitest.expect(punctual[i]).toBeLessThanOrEqual(mixed[i]);
          });
        }),
      );
    },
  );
});

/**
 * Simulates equal callers at one box whose capacity becomes free at one moment and
 * returns when each is accepted. All are rejected first; then each retries at its
 * assigned time or early, again and again.
 */
function simulateRetries(
  earlyRetries: readonly boolean[],
  freeAtMs: number,
  pauseMs: number,
): readonly number[] {
  const schedule = new retrySchedules.RetrySchedule();
  const acceptedAtMs = earlyRetries.map(() => Number.POSITIVE_INFINITY);
  const next = earlyRetries.map((isEarly, i) => {
    const inMs = reject(schedule, `job-${i}`, freeAtMs);
    return isEarly ? Math.min(pauseMs, inMs) : inMs;
  });
  for (;;) {
    const nowMs = Math.min(...next);
    if (!Number.isFinite(nowMs)) return acceptedAtMs;
    const i = next.indexOf(nowMs);
    const id = `job-${i}`;
    const leftMs = Math.max(0, freeAtMs - nowMs);
    const inMs = leftMs > 0
      ? reject(schedule, id, leftMs, nowMs)
      : schedule.remainingWaitMs(id, nowMs);
    if (inMs <= 0) {
      acceptedAtMs[i] = nowMs;
      next[i] = Number.POSITIVE_INFINITY;
      schedule.forget(id);
      continue;
    }
    next[i] = nowMs + (earlyRetries[i] ? Math.min(pauseMs, inMs) : inMs);
  }
}
