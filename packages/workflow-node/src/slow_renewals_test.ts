/**
 * Guards against running work that expires while the store acknowledges renewals late:
 * the coordinator grants leases only for a time after each renewal was sent.
 */
import * as Errors from "@cairngate/errors";
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 60_000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
/** Longer than three leases, in ms. */
const SLOW_MS = 20_000;
/** Durations of a call to the store, in ms. */
const CALLS_MS: readonly number[] = [500, 1000, 2000];

/** Longer than a lease, in ms. */
const UNANSWERED_MS = 9000;

/** Executes renewals, but answers neither them nor reads of their row. */
function leaveRenewalsUnanswered({ table }: TestUtils.TestFleet): void {
  const leaseKey = TableClient.Keys.COORDINATOR_LEASE_KEY;
  const transact = table.transact.bind(table);
  const read = table.read.bind(table);
  const unanswered = (operation: string) =>
    Effect.fail(new Errors.AnswerLostError({ operation }));
  table.transact = (tx) =>
    tx.writes.every(({ key }) => key === leaseKey)
      ? Effect.andThen(transact(tx), unanswered("write"))
      : transact(tx);
  table.read = (keys) =>
    keys.every((key) => key === leaseKey) ? unanswered("read") : read(keys);
}

vitest.describe("a store that is slow", () => {
  vitest.it.each(CALLS_MS)(
    "ends no run and no term with calls of %i ms",
    async (delayMs) => {
      const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
      fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
      await fleet.start();
      await fleet.submit("node-1", ID, { steps: STEPS });
      await fleet.until(() => fleet.workers.runs.length === 1);
      const token = fleet.token();
      for (const box of fleet.boxes.keys()) {
        fleet.faultsOf(box).set({ delayMs });
      }
      await fleet.clock.advance(SLOW_MS);
      fleet.workers.update();
      vitest.expect(fleet.workers.runs.map(({ how }) => how)).toEqual([null]);
      vitest.expect(fleet.token()).toBe(token);
      await fleet.stop();
    },
  );

  vitest.it("ends no run while it answers no renewal", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
    fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    const token = fleet.token();
    leaveRenewalsUnanswered(fleet);
    await fleet.clock.advance(UNANSWERED_MS);
    fleet.workers.update();
    vitest.expect(fleet.workers.runs.map(({ how }) => how)).toEqual([null]);
    vitest.expect(fleet.token()).toBe(token);
    await fleet.stop();
  });
});
