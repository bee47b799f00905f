/**
 * Guards against starts that leave after a stall of this box: a start carries a lease,
 * at an endpoint that a later coordinator may not reach.
 */
import * as Errors from "@cairngate/errors";
import * as Metrics from "@cairngate/metrics";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import type * as terms from "../election/term.ts";
import type * as ports from "../ports.ts";
import * as assignments from "./assignment.ts";
import * as loads from "./box_load.ts";
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

/**
 * Sends a start whose copies get no answer. Returns the number of copies sent and the
 * outcome.
 * @param mayGrant whether the holder may grant a lease, before each copy
 */
async function sendStart(mayGrant: readonly boolean[]) {
  const clock = new TestUtils.FakeClock();
  const metrics = new Metrics.Metrics();
  const answers = [...mayGrant];
  let copies = 0;
  const start = () => {
    copies++;
    const lost = { worker: "i-1", cause: "reset", neverSent: false };
    return Effect.fail(new Errors.WorkerLostError(lost));
  };
  const starter = new starters.RunStarter({
    ports: {
      clock,
      metrics,
      endpoints: { start },
    } as unknown as ports.CoordinatorPorts,
    term: {
      token: 1,
      grants: { mayGrant: () => answers.shift() ?? false },
    } as unknown as terms.Term,
    ref: { id: "i-1", address: "10.0.0.1:80" },
    load: new loads.BoxLoad({ clock, metrics }),
    leaseEnd: () => 0,
    onUnanswered: () => {},
    poll: () => Effect.succeed(true),
    isWanted: () => true,
  });
  const report = Effect.runPromise(starter.send(createAssignment()));
  await clock.advance(2000);
  return { copies, outcome: (await report).outcome };
}

vitest.describe("RunStarter", () => {
  vitest.it("sends nothing while no lease may be granted", async () => {
    const withheld = starters.StartOutcome.Withheld;
    vitest.expect(await sendStart([false])).toEqual({
      copies: 0,
      outcome: withheld,
    });
  });

  vitest.it("sends no second copy once no lease may be granted", async () => {
    const mayBeDelivered = starters.StartOutcome.MayBeDelivered;
    vitest.expect(await sendStart([true, false])).toEqual({
      copies: 1,
      outcome: mayBeDelivered,
    });
  });
});
