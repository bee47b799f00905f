/**
 * Entries that name a wrong address for a live endpoint. The endpoint at that address
 * answers that another one is meant. This does not prove the end of the named endpoint,
 * and its own next entry must bring it back into use.
 */
import * as Errors from "@cairngate/errors";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import type * as Ports from "@cairngate/ports";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 20_000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
/** Address at which no endpoint listens. */
const VACANT_ADDRESS = "10.0.9.9:80";

/** Delivers orders by address rather than by id, as a network does. */
function routeByAddress(fleet: TestUtils.TestFleet): void {
  const { workers } = fleet;
  const route = <A>(
    { id, address }: Ports.EndpointRef,
    order: Effect.Effect<A, Ports.OrderError>,
  ): Effect.Effect<A, Ports.OrderError> => {
    const worker = id;
    if (address === `10.0.0.${fleet.indexOf(id)}:80`) return order;
    return address === VACANT_ADDRESS
      ? Effect.fail(
        new Errors.WorkerLostError({
          worker,
          cause: "connection refused",
          neverSent: true,
        }),
      )
      : Effect.fail(new Errors.WorkerReplacedError({ worker }));
  };
  const start = workers.start.bind(workers);
  const stop = workers.stop.bind(workers);
  const renew = workers.renew.bind(workers);
  workers.start = (ref, order) => route(ref, start(ref, order));
  workers.stop = (ref, order) => route(ref, stop(ref, order));
  workers.renew = (ref, order) => route(ref, renew(ref, order));
}

vitest.describe("an entry that names another endpoint's address", () => {
  vitest.it("does not end runs if a takeover reads it", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
    routeByAddress(fleet);
    fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    await fleet.clock.advance(500);
    const { worker } = fleet.workers.runs[0];
    const other = (fleet.indexOf(worker) + 1) % 3;
    const place = fleet.indexOf(worker);
    const coordinator = fleet.coordinator() ?? "";
    fleet.list({ id: worker, accelerators: 1 }, place, {
      address: `10.0.0.${other}:80`,
    });
    await fleet.kill(coordinator);
    await fleet.until(() => {
      const now = fleet.coordinator();
      return now !== null && now !== coordinator;
    });
    await fleet.clock.advance(1500);
    // The next heartbeat of the endpoint itself.
    fleet.list({ id: worker, accelerators: 1 }, place);
    await fleet.clock.advance(10_000);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });

  vitest.it("keeps no healthy endpoint out of use", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1] });
    routeByAddress(fleet);
    fleet.list({ id: "worker-0", accelerators: 1 }, 0, {
      address: VACANT_ADDRESS,
    });
    await fleet.start();
    await fleet.submit("node-1", ID);
    await fleet.clock.advance(1500);
    fleet.list({ id: "worker-0", accelerators: 1 }, 0);
    vitest.expect(
      await fleet.until(() => fleet.workers.runs.length === 1, 60_000),
    ).toBe(true);
    await fleet.stop();
  });
});
