/** Accepted workflows follow their queue to another service and to other advice. */
import * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const ID = "a000000000000001";
const LASTING_ID = "a000000000000002";
const STEP = TestUtils.buildStep({ count: 2, estimateMs: 1500 });
/** Longer than each test. */
const LASTING_RUN_MS = 600_000;
const ADVICE = { decisionMs: 50, perWorkerMs: 0, validityMs: 3000 };

/** A configuration whose queue of priority 1 has other settings. */
function buildConfig(
  version: number,
  changes: Partial<Ports.QueueRoute>,
): Ports.AccessConfig {
  const access = TestUtils.buildAccess({ hana: 4 }, version);
  const queues = access.queues.map((queue) =>
    queue.priority === 1 ? { ...queue, ...changes } : queue
  );
  return { ...access, queues };
}

/** Endpoints 0 and 1 serve "analysis", 2 and 3 the service "later". */
async function startFleet(
  options: { advisor?: (clock: Ports.Clock) => Ports.Advisor } = {},
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ ...options, workers: [2, 2, 2, 2] });
  for (const index of [2, 3]) {
    const spec = { id: `worker-${index}`, accelerators: 2 };
    fleet.list(spec, index, { service: "later" });
  }
  fleet.workers.behave = (task) => {
    const isLasting = fleet.stepsOf(task.split(".")[0])[0].lasting;
    return { runMs: isLasting ? LASTING_RUN_MS : 1000, fails: false };
  };
  await fleet.start();
  return fleet;
}

/** Fills the endpoints of "analysis" with tasks of another queue that last. */
async function fillFirstService(fleet: TestUtils.TestFleet): Promise<void> {
  const steps = [TestUtils.buildStep({
    count: 2,
    accelerators: 2,
    lasting: true,
    estimateMs: 60_000,
  })];
  await fleet.submit("node-1", LASTING_ID, { priority: 2, steps });
  await fleet.until(() => fleet.workers.runs.length === 2);
}

function endpointsOf(fleet: TestUtils.TestFleet, id: string): string[] {
  const runs = fleet.workers.runs.filter(({ task }) => task.startsWith(id));
  return [...new Set(runs.map(({ worker }) => worker))].sort();
}

function isCompleted(fleet: TestUtils.TestFleet): boolean {
  return fleet.state(ID) === Workflow.WorkflowState.Completed;
}

/** Allows all endpoints. */
class OpenAdvisor extends Ports.Advisor {
  override requestAdvice(step: string, endpoints: readonly string[]) {
    const tickets = endpoints.map((worker) => ({ worker, ticket: step }));
    return Effect.succeed({ tickets, validityMs: ADVICE.validityMs });
  }
}

vitest.describe("accepted work of a queue that changes", () => {
  // Guards against accepted work that never starts, because it waits for the service
  // that its queue had when it was accepted.
  vitest.it("starts in the service to which its queue moves", async () => {
    const fleet = await startFleet();
    await fillFirstService(fleet);
    await fleet.submit("node-1", ID, { steps: [STEP] });
    await fleet.clock.advance(1000);
    vitest.expect(endpointsOf(fleet, ID)).toEqual([]);
    fleet.applyConfig(buildConfig(2, { service: "later" }));
    vitest.expect(await fleet.until(() => isCompleted(fleet))).toBe(true);
    vitest.expect(endpointsOf(fleet, ID).every((one) => one >= "worker-2"))
      .toBe(true);
    await fleet.stop();
  });

  vitest.it("follows its queue under a new coordinator", async () => {
    const fleet = await startFleet();
    await fillFirstService(fleet);
    await fleet.submit("node-1", ID, { steps: [STEP] });
    fleet.applyConfig(buildConfig(2, { service: "later" }));
    await fleet.kill(fleet.coordinator() ?? "");
    vitest.expect(await fleet.until(() => isCompleted(fleet))).toBe(true);
    await fleet.stop();
  });

  vitest.it("follows a queue that moves twice", async () => {
    const fleet = await startFleet();
    const chain = [STEP, { ...STEP, after: [0] }, { ...STEP, after: [1] }];
    await fleet.submit("node-1", ID, { steps: chain });
    await fleet.until(() => fleet.workers.runs.length === 2);
    fleet.applyConfig(buildConfig(2, { service: "later" }));
    await fleet.until(() => fleet.workers.runs.length === 4);
    fleet.applyConfig(buildConfig(3, { service: "analysis" }));
    vitest.expect(await fleet.until(() => isCompleted(fleet))).toBe(true);
    const services = fleet.workers.runs.map(({ task, worker }) =>
      `step ${task.split(".")[2]}: ${worker >= "worker-2" ? "later" : "first"}`
    );
    vitest.expect([...new Set(services)])
      .toEqual(["step 0: first", "step 1: later", "step 2: first"]);
    await fleet.stop();
  });

  vitest.it("leaves running tasks where they are", async () => {
    const fleet = await startFleet();
    await fleet.submit("node-1", ID, { steps: [STEP] });
    await fleet.until(() => fleet.workers.runs.length === 2);
    fleet.applyConfig(buildConfig(2, { service: "later" }));
    await fleet.kill(fleet.coordinator() ?? "");
    vitest.expect(await fleet.until(() => isCompleted(fleet))).toBe(true);
    vitest.expect(fleet.workers.runs.length).toBe(2);
    await fleet.stop();
  });

  vitest.it("starts a lasting task again in the new service", async () => {
    const fleet = await startFleet();
    const steps = [TestUtils.buildStep({ lasting: true, estimateMs: 60_000 })];
    await fleet.submit("node-1", ID, { steps });
    await fleet.until(() => fleet.workers.runs.length === 1);
    fleet.applyConfig(buildConfig(2, { service: "later" }));
    await fleet.clock.advance(2000);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    fleet.workers.crash(fleet.workers.runs[0].worker);
    const isBack = await fleet.until(() =>
      endpointsOf(fleet, ID).some((one) => one >= "worker-2")
    );
    vitest.expect(isBack).toBe(true);
    await fleet.stop();
  });

  // Guards against the loss of work whose queue a later version does not have.
  vitest.it("ends although its queue is removed", async () => {
    const fleet = await startFleet();
    const chain = [STEP, { ...STEP, after: [0] }];
    await fleet.submit("node-1", ID, { steps: chain });
    await fleet.until(() => fleet.workers.runs.length === 2);
    const access = TestUtils.buildAccess({ hana: 4 }, 2);
    const queues = access.queues.filter(({ priority }) => priority !== 1);
    fleet.applyConfig({ ...access, queues });
    vitest.expect(await fleet.until(() => isCompleted(fleet))).toBe(true);
    await fleet.stop();
  });

  // Guards against starts without the ticket that endpoints of the queue now require.
  vitest.it("brings tickets once its queue has advice", async () => {
    const fleet = await startFleet({ advisor: () => new OpenAdvisor() });
    const tickets = new Map<string, string | null>();
    const start = fleet.workers.start.bind(fleet.workers);
    fleet.workers.start = (ref, order) => {
      tickets.set(order.task, order.ticket);
      return start(ref, order);
    };
    const chain = [STEP, { ...STEP, after: [0] }];
    await fleet.submit("node-1", ID, { steps: chain });
    await fleet.until(() => fleet.workers.runs.length === 2);
    fleet.applyConfig(buildConfig(2, { advice: ADVICE }));
    vitest.expect(await fleet.until(() => isCompleted(fleet))).toBe(true);
    vitest.expect(tickets.get(`${ID}.0.0.0`)).toBeNull();
    vitest.expect(tickets.get(`${ID}.0.1.0`)).toBe(`${ID}.0.1`);
    await fleet.stop();
  });
});
