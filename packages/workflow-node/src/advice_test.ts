/** Steps of queues with advice run only on endpoints that the advice allows. */
import * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const VALIDITY_MS = 2000;
const DECISION_MS = 100;

/** Allows every step to run on one endpoint only. */
class FixedAdvisor extends Ports.Advisor {
  readonly #clock: Ports.Clock;
  readonly #allowed: string;
  callCount = 0;
  concurrentCalls = 0;
  maxConcurrentCalls = 0;

  constructor(clock: Ports.Clock, allowed: string) {
    super();
    this.#clock = clock;
    this.#allowed = allowed;
  }

  override requestAdvice(step: string, workers: readonly string[]) {
    this.callCount++;
    this.concurrentCalls++;
    this.maxConcurrentCalls = Math.max(
      this.maxConcurrentCalls,
      this.concurrentCalls,
    );
    const tickets = workers.filter((id) => id === this.#allowed)
      .map((worker) => ({ worker, ticket: `${step}@${worker}` }));
    return Effect.map(this.#clock.sleep(DECISION_MS), () => {
      this.concurrentCalls--;
      return { tickets, validityMs: VALIDITY_MS };
    });
  }
}

vitest.describe("a queue with advice", () => {
  vitest.it("runs on advised endpoints and asks one by one", async () => {
    const access = TestUtils.buildAccess();
    const advice = {
      decisionMs: DECISION_MS,
      perWorkerMs: 0,
      validityMs: VALIDITY_MS,
    };
    const queues = access.queues.map((queue) => ({ ...queue, advice }));
    let advisor: FixedAdvisor | null = null;
    const fleet = new TestUtils.TestFleet({
      workers: [2, 2, 2],
      config: { ...access, queues },
      advisor: (
        clock,
      ) => (advisor = new FixedAdvisor(clock, "worker-2")),
    });
    await fleet.start();
    const ids = ["a000000000000001", "a000000000000002"];
    const steps = [TestUtils.buildStep({ count: 3 })];
    for (const id of ids) await fleet.submit("node-1", id, { steps });
    const isDone = await fleet.until(() =>
      ids.every((id) => fleet.state(id) === Workflow.WorkflowState.Completed)
    );
    vitest.expect(isDone).toBe(true);
    const workers = new Set(fleet.workers.runs.map(({ worker }) => worker));
    vitest.expect([...workers]).toEqual(["worker-2"]);
    const { maxConcurrentCalls } = advisor as unknown as FixedAdvisor;
    vitest.expect(maxConcurrentCalls).toBe(1);
    await fleet.stop();
  });
});
