/** Starts that endpoints reject for their ticket. */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const ID = "a000000000000001";
const VALIDITY_MS = 3000;

/** Starts that a test has seen; `accepts` decides on the ticket of each. */
function recordStarts(
  { workers }: TestUtils.TestFleet,
  accepts: (ticket: string | null) => boolean,
): Ports.StartOrder[] {
  const orders: Ports.StartOrder[] = [];
  const start = workers.start.bind(workers);
  workers.start = (ref, order) => {
    orders.push(order);
    if (accepts(order.ticket)) return start(ref, order);
    const reason = Errors.OrderRefusal.InvalidTicket;
    return Effect.fail(
      new Errors.OrderRefusedError({ worker: ref.id, reason }),
    );
  };
  return orders;
}

function isCompleted(fleet: TestUtils.TestFleet): boolean {
  return fleet.state(ID) === Workflow.WorkflowState.Completed;
}

/** Numbers its tickets. */
class NumberingAdvisor extends Ports.Advisor {
  #count = 0;

  override requestAdvice(_step: string, endpoints: readonly string[]) {
    const ticket = `ticket-${++this.#count}`;
    const tickets = endpoints.map((worker) => ({ worker, ticket }));
    return Effect.succeed({ tickets, validityMs: VALIDITY_MS });
  }
}

vitest.describe("a start whose ticket is rejected", () => {
  // Guards against starts that can't succeed and are repeated as fast as endpoints
  // answer.
  vitest.it("is repeated after a growing pause", async () => {
    const fleet = new TestUtils.TestFleet({
      workers: Array.from({ length: 16 }, () => 2),
    });
    await fleet.start();
    let requiresTicket = true;
    const orders = recordStarts(fleet, () => !requiresTicket);
    await fleet.submit("node-1", ID);
    await fleet.clock.advance(10_000);
    vitest.expect(orders.length).toBeLessThanOrEqual(10);
    requiresTicket = false;
    vitest.expect(await fleet.until(() => isCompleted(fleet), 5000)).toBe(true);
    await fleet.stop();
  });

  // Guards against starts with a rejected ticket until the end of its validity.
  vitest.it("is repeated with a new ticket", async () => {
    const access = TestUtils.buildAccess();
    const advice = { decisionMs: 0, perWorkerMs: 0, validityMs: VALIDITY_MS };
    const queues = access.queues.map((queue) => ({ ...queue, advice }));
    const fleet = new TestUtils.TestFleet({
      workers: [2],
      config: { ...access, queues },
      advisor: () => new NumberingAdvisor(),
    });
    await fleet.start();
    const orders = recordStarts(fleet, (ticket) => ticket !== "ticket-1");
    await fleet.submit("node-1", ID);
    vitest.expect(await fleet.until(() => isCompleted(fleet))).toBe(true);
    vitest.expect(orders.map(({ ticket }) => ticket))
      .toEqual(["ticket-1", "ticket-2"]);
    await fleet.stop();
  });
});
