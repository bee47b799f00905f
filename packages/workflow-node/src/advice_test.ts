/** Steps of queues with advice run only on endpoints that the advice allows. */
import * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const VALIDITY_MS = 2000;
const DECISION_MS = 100;

/** Allows every step to run on given endpoints only. */
class FixedAdvisor extends Ports.Advisor {
  readonly #clock: Ports.Clock;
  readonly #allowed: ReadonlySet<string>;
  callCount = 0;
  concurrentCalls = 0;
  maxConcurrentCalls = 0;

  constructor(clock: Ports.Clock, allowed: Iterable<string>) {
    super();
    this.#clock = clock;
    this.#allowed = new Set(allowed);
  }

  override requestAdvice(step: string, workers: readonly string[]) {
    this.callCount++;
    this.concurrentCalls++;
    this.maxConcurrentCalls = Math.max(
      this.maxConcurrentCalls,
      this.concurrentCalls,
    );
    const tickets = workers.filter((id) => this.#allowed.has(id))
      .map((worker) => ({ worker, ticket: `${step}@${worker}` }));
    return Effect.map(this.#clock.sleep(DECISION_MS), () => {
      this.concurrentCalls--;
      return { tickets, validityMs: VALIDITY_MS };
    });
  }
}

function buildAdvisedAccess(): Ports.AccessConfig {
  const access = TestUtils.buildAccess();
  const advice = {
    decisionMs: DECISION_MS,
    perWorkerMs: 0,
    validityMs: VALIDITY_MS,
  };
  const queues = access.queues.map((queue) => ({ ...queue, advice }));
  return { ...access, queues };
}

vitest.describe("a queue with advice", () => {
  vitest.it("runs on advised endpoints and asks one by one", async () => {
    let advisor: FixedAdvisor | null = null;
    const fleet = new TestUtils.TestFleet({
      workers: [2, 2, 2],
      config: buildAdvisedAccess(),
      advisor: (
        clock,
      ) => (advisor = new FixedAdvisor(clock, ["worker-2"])),
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

  // Guards against an accepted workflow that never continues: once all tickets had
  // expired, endpoints that a cut had hidden were not named to the adviser again.
  vitest.it("continues on its endpoints after a cut", async () => {
    const id = "a000000000000001";
    const allowed = new Set(["worker-38", "worker-39"]);
    const fleet = new TestUtils.TestFleet({
      workers: Array.from({ length: 40 }, () => 1),
      config: buildAdvisedAccess(),
      advisor: (clock) => new FixedAdvisor(clock, allowed),
    });
    await fleet.start();
    let isCut = false;
    TestUtils.filterOrders(
      fleet,
      (endpoint) => !isCut || !allowed.has(endpoint),
    );
    const steps = [TestUtils.buildStep({ count: 6, estimateMs: 1500 })];
    await fleet.submit("node-1", id, { steps });
    await fleet.until(() => fleet.workers.runs.length > 0);
    isCut = true;
    await fleet.clock.advance(5000);
    isCut = false;
    const isDone = await fleet.until(() =>
      fleet.state(id) === Workflow.WorkflowState.Completed
    );
    vitest.expect(isDone).toBe(true);
    await fleet.stop();
  });
});
