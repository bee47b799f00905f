/**
 * Guards against endpoints that are put aside because this box may grant no lease: polls
 * then leave them without one, which looks like an endpoint that does not answer.
 */
import * as Metrics from "@cairngate/metrics";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as assignments from "./assignment.ts";
import * as endpointStarts from "./endpoint_starts.ts";
import * as starters from "./run_starter.ts";

function createAssignment(): assignments.Assignment {
  const workflow = new Workflow.Workflow({
    id: "w",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps: [TestUtils.buildStep({})],
    schedule: null,
    acceptedAtMs: 0,
  });
  const [task] = workflow.tasks;
  task.place("i-1", 1, 0);
  return assignments.createAssignment(task, null);
}

/** Starts a run at an endpoint without a lease; returns the outcomes reported. */
async function startWithoutLease(
  mayGrant: boolean,
): Promise<readonly starters.StartOutcome[]> {
  const outcomes: starters.StartOutcome[] = [];
  const parts = {
    options: {
      ports: {
        clock: new TestUtils.FakeClock(),
        metrics: new Metrics.Metrics(),
        evacuations: { mayStart: () => true },
      },
      term: { token: 1, grants: { mayGrant: () => mayGrant } },
      mayHold: () => true,
    },
    state: { incarnation: { bornMs: null }, wake: () => {} },
    runs: { tracked: { sent: [], holds: () => true } },
    polls: { ensureLease: () => Effect.succeed(false) },
    reports: {
      handle: (_: unknown, { outcome }: starters.StartReport) =>
        Effect.sync(() => outcomes.push(outcome)),
    },
  } as unknown as endpointStarts.EndpointStartsOptions;
  const starts = new endpointStarts.EndpointStarts(parts);
  await Effect.runPromise(starts.start(createAssignment()));
  return outcomes;
}

vitest.describe("a start at an endpoint without a lease", () => {
  vitest.it("is withheld while no lease may be granted", async () => {
    vitest.expect(await startWithoutLease(false))
      .toEqual([starters.StartOutcome.Withheld]);
  });

  vitest.it("counts against the endpoint otherwise", async () => {
    vitest.expect(await startWithoutLease(true))
      .toEqual([starters.NEVER_SENT.outcome]);
  });
});
