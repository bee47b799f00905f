/** A shutdown completes within its grace time, even if a step hangs. */
import * as Logger from "@cairngate/logger";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as stops from "./graceful_shutdown.ts";

/** Grace time of the users' sites (`grace_s` 6), in ms. */
const GRACE_MS = 6000;
/** Time until the load balancer notices, as set by platform/, in ms. */
const UNREADY_MS = 2300;

/** Runs a shutdown; returns the start times of its steps and the time of its end. */
async function runStop(changes: Partial<stops.ShutdownSteps>) {
  const clock = new TestUtils.FakeClock();
  const startedAtMs = clock.monotonicMs();
  const began: Record<string, number> = {};
  const note = (name: string) =>
    Effect.sync(() => {
      began[name] = clock.monotonicMs() - startedAtMs;
    });
  const step = (name: keyof stops.ShutdownSteps) =>
    Effect.andThen(note(name), changes[name] ?? Effect.void);
  let endedMs: number | null = null;
  const stop = stops.shutDownGracefully({
    handOver: step("handOver"),
    answer: step("answer"),
    end: step("end"),
  }, {
    graceMs: GRACE_MS,
    unreadyMs: UNREADY_MS,
    clock,
    log: Logger.silentLogger(),
  });
  Effect.runFork(Effect.andThen(
    stop,
    Effect.sync(() => {
      endedMs = clock.monotonicMs() - startedAtMs;
    }),
  ));
  await clock.advance(GRACE_MS * 2);
  return { began, endedMs };
}

vitest.describe("a graceful shutdown", () => {
  vitest.it(
    "serves until the load balancer sends no more requests",
    async () => {
      const { began, endedMs } = await runStop({});
      vitest.expect(began["answer"]).toBeGreaterThanOrEqual(UNREADY_MS);
      vitest.expect(endedMs).toBeLessThan(UNREADY_MS + 100);
    },
  );

  for (const name of ["handOver", "answer", "end"] as const) {
    vitest.it(`ends in time if ${name} never completes`, async () => {
      const { endedMs } = await runStop({ [name]: Effect.never });
      vitest.expect(endedMs).not.toBeNull();
      vitest.expect(endedMs).toBeLessThan(GRACE_MS);
    });
  }

  vitest.it(
    "reserves time for the last answers if every step hangs",
    async () => {
      const hangs = { handOver: Effect.never, answer: Effect.never };
      const { began, endedMs } = await runStop({ ...hangs, end: Effect.never });
      const { answersMs } = stops.splitGraceTime(GRACE_MS);
      vitest.expect(began["end"] - began["answer"])
        .toBeGreaterThanOrEqual(answersMs);
      vitest.expect(endedMs).toBeLessThan(GRACE_MS);
    },
  );

  vitest.it(
    "answers requests in the time that handing over has not used",
    async () => {
      const { began } = await runStop({ answer: Effect.never });
      const { handOverMs, answersMs } = stops.splitGraceTime(GRACE_MS);
      vitest.expect(began["end"]).toBeGreaterThanOrEqual(
        handOverMs + answersMs,
      );
    },
  );
});
