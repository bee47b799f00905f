/**
 * Admission rejects only jobs that certainly can not be useful, and every larger
 * job as well.
 */
import * as Errors from "@cairngate/errors";
import * as Workflow from "@cairngate/workflow";
import * as fc from "fast-check";
import * as vitest from "vitest";
import * as decide from "./decide.ts";
import type * as forecasts from "./forecast.ts";
import * as shapes from "./job_shape.ts";

const { RejectReason } = Errors;
const { Verdict } = shapes;

function capacity(accelerators: number): Workflow.Resources {
  return { cpuMillis: 1e6, memoryMb: 1e6, accelerators };
}

/** A forecast of one service with the same capacity curve for all priorities. */
function forecastOf(
  free: readonly number[],
  changes: Partial<forecasts.ServiceForecast> = {},
  urgentUse: forecasts.Forecast["urgentUse"] = [],
): forecasts.Forecast {
  const curve = free.map(capacity);
  const ahead = { first: curve, last: curve, lastDueMs: 0 };
  const service: forecasts.ServiceForecast = {
    service: "analysis",
    largest: capacity(8),
    largestRack: capacity(32),
    total: capacity(64),
    fastest: 1,
    room: [0, 1, 2].map((priority) => ({ priority, ...ahead })),
    ...changes,
  };
  const common = { number: 1, boxes: 3, remotePenalty: 3, urgentUse };
  return { ...common, services: [service] };
}

function jobOf(
  step: Partial<Workflow.StepSpec>,
  changes: Partial<shapes.JobShape> = {},
): shapes.JobShape {
  const steps = [Workflow.createStep({ accelerators: 1, ...step })];
  const base = {
    service: "analysis",
    priority: 1,
    steps,
    hasNoDeadline: false,
  };
  return { ...base, dueInMs: 3000, deadlineInMs: 9000, ...changes };
}

const TEAM: shapes.TeamState = { team: "hana", guaranteed: 0 };

function decideFor(
  job: shapes.JobShape,
  forecast: forecasts.Forecast | null,
  ageMs = 0,
  team = TEAM,
): shapes.Decision {
  return decide.decideAdmission({
    job,
    knownForecast: { forecast, ageMs },
    team,
  });
}

const FULL_FOR_8_SECONDS = [0, 0, 0, 0, 0, 0, 16, 16, 16, 16, 16];

vitest.describe("a job is accepted", () => {
  vitest.it("if there is no forecast or it is stale", () => {
    const lateJob = jobOf({ estimateMs: 4000 });
    const forecast = forecastOf(FULL_FOR_8_SECONDS);
    vitest.expect(decideFor(lateJob, forecast).verdict).toBe(Verdict.Rejected);
    vitest.expect(decideFor(lateJob, null).verdict).toBe(Verdict.Accepted);
    vitest.expect(decideFor(lateJob, forecast, 3001)).toEqual({
      verdict: Verdict.Accepted,
      uncheckedReason: shapes.UncheckedReason.Stale,
    });
    const unknownService = { ...lateJob, service: "other" };
    vitest.expect(decideFor(unknownService, forecast).verdict).toBe(
      Verdict.Accepted,
    );
    const unknownPriority = { ...lateJob, priority: 5 };
    vitest.expect(decideFor(unknownPriority, forecast).verdict).toBe(
      Verdict.Accepted,
    );
  });

  vitest.it("if it runs on a schedule or until it is cancelled", () => {
    const scheduled = jobOf({ estimateMs: 99_000 }, { hasNoDeadline: true });
    const forecast = forecastOf(FULL_FOR_8_SECONDS);
    vitest.expect(decideFor(scheduled, forecast).verdict).toBe(
      Verdict.Accepted,
    );
  });

  vitest.it("if it is useful before or after the waiting work", () => {
    const forecast = forecastOf(FULL_FOR_8_SECONDS, {
      room: [{
        priority: 1,
        first: [capacity(8)],
        last: FULL_FOR_8_SECONDS.map(capacity),
        lastDueMs: 5000,
      }],
    });
    const job = jobOf({ estimateMs: 4000 });
    const verdictOf = (dueInMs: number) =>
      decideFor({ ...job, dueInMs }, forecast).verdict;
    vitest.expect(verdictOf(4999)).toBe(Verdict.Accepted);
    vitest.expect(verdictOf(5000)).toBe(Verdict.Rejected);
  });
});

vitest.describe("the shape of a job", () => {
  vitest.it(
    "allows for a run time of 1.5 times the estimate",
    () => {
      const policy = {
        queue: "q",
        service: "analysis",
        priority: 1,
        attempts: 1,
        stretch: 2,
        latencyMs: 500,
        advice: null,
      };
      const shape = shapes.toJobShape({
        id: "a",
        tenant: "hana",
        policy,
        payload: "",
        steps: [Workflow.createStep({ estimateMs: 1000 })],
        schedule: null,
        acceptedAtMs: 0,
      });
      vitest.expect(shape.dueInMs).toBe(2500);
      vitest.expect(shape.deadlineInMs).toBe(10_500);
    },
  );
});

vitest.describe("a job is rejected", () => {
  vitest.it(
    "if it would end too late, until the time when it would not",
    () => {
      const decision = decideFor(
        jobOf({ estimateMs: 4000 }),
        forecastOf(FULL_FOR_8_SECONDS),
      );
      vitest.expect(decision).toEqual({
        verdict: Verdict.Rejected,
        reason: RejectReason.TooLate,
        retryAfterMs: 1000,
      });
    },
  );

  vitest.it("if it exceeds the largest capacity seen", () => {
    const reasonOf = (step: Partial<Workflow.StepSpec>) => {
      const decision = decideFor(jobOf(step), forecastOf([64]));
      return decision.verdict === Verdict.Rejected ? decision.reason : null;
    };
    vitest.expect(reasonOf({ accelerators: 8 })).toBe(null);
    vitest.expect(reasonOf({ accelerators: 9 })).toBe(
      RejectReason.EndpointSize,
    );
    vitest.expect(reasonOf({ count: 65, gang: true }))
      .toBe(RejectReason.FleetSize);
    const wideGang = { count: 33, gang: true, sameRack: true };
    vitest.expect(reasonOf({ ...wideGang, estimateMs: 4000 })).toBe(null);
    vitest.expect(reasonOf({ ...wideGang, estimateMs: 8000 }))
      .toBe(RejectReason.RackSize);
  });
});

const steps = fc.record({
  count: fc.integer({ min: 1, max: 40 }),
  accelerators: fc.integer({ min: 0, max: 9 }),
  estimateMs: fc.integer({ min: 0, max: 20_000 }),
  gang: fc.boolean(),
  sameRack: fc.boolean(),
});
const free = fc.array(fc.integer({ min: 0, max: 64 }), {
  minLength: 1,
  maxLength: 11,
});
const ages = fc.integer({ min: 0, max: 3500 });
const priorities = fc.constantFrom(0, 1, 2);

vitest.describe("for any forecast", () => {
  vitest.it("nothing inside a guarantee is rejected", () => {
    const used = fc.integer({ min: 0, max: 40 });
    const spare = fc.integer({ min: 0, max: 40 });
    fc.assert(fc.property(
      steps,
      free,
      ages,
      used,
      spare,
      (step, curve, ageMs, inUse, more) => {
        const forecast = forecastOf(curve, {}, [["hana", inUse]]);
        const guaranteed = inUse + step.count * step.accelerators + more;
        const team = { team: "hana", guaranteed };
        const decision = decideFor(
          jobOf(step, { priority: 0 }),
          forecast,
          ageMs,
          team,
        );
        vitest.expect(decision.verdict).toBe(Verdict.Accepted);
      },
    ));
  });

  vitest.it("no job larger or longer than a rejected one is accepted", () => {
    const more = fc.record({
      count: fc.integer({ min: 0, max: 30 }),
      accelerators: fc.integer({ min: 0, max: 4 }),
      estimateMs: fc.integer({ min: 0, max: 10_000 }),
    });
    const guarantees = fc.integer({ min: 0, max: 100 });
    fc.assert(
      fc.property(
        steps,
        more,
        free,
        ages,
        priorities,
        guarantees,
        (step, extra, curve, ageMs, priority, guaranteed) => {
          const forecast = forecastOf(curve);
          const team = { team: "hana", guaranteed };
          const larger = {
            ...step,
            count: step.count + extra.count,
            accelerators: step.accelerators + extra.accelerators,
            estimateMs: step.estimateMs + extra.estimateMs,
          };
          const verdictOf = (spec: typeof step) =>
            decideFor(jobOf(spec, { priority }), forecast, ageMs, team).verdict;
          if (verdictOf(step) === Verdict.Accepted) return;
          vitest.expect(verdictOf(larger)).toBe(Verdict.Rejected);
        },
      ),
      { numRuns: 1000 },
    );
  });
});
