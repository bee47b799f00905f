/**
 * Guards against needless takeovers while the store loses a third of the writes without
 * an answer. A lost renewal must not delay the next one: the others take over after 0.9
 * s without a renewal, which is less than the time limit of a write, so a coordinator
 * that sends one renewal at a time loses its term although it is alive.
 */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Time until the boxes have learned the interval of the renewals, in ms. */
const WARM_UP_MS = 4000;
/** Time in which one renewal is due, in ms. */
const RENEWAL_INTERVAL_MS = 370;
/** Time in which a takeover would be complete, in ms. */
const TAKEOVER_MS = 5000;
/** Share of the writes that the store loses. */
const LOST_WRITES_SHARE = 0.35;
const SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6];

async function startFleet(seed = 1): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ boxes: 4, seed });
  await fleet.start();
  await fleet.clock.advance(WARM_UP_MS);
  return fleet;
}

vitest.describe("a store that loses writes", () => {
  vitest.it("causes no takeover after one lost renewal", async () => {
    const fleet = await startFleet();
    const token = fleet.token();
    const faults = fleet.faultsOf(fleet.coordinator() ?? "");
    faults.set({ swallowWrites: 1 });
    await fleet.clock.advance(RENEWAL_INTERVAL_MS);
    faults.set({ swallowWrites: 0 });
    await fleet.clock.advance(TAKEOVER_MS);
    vitest.expect(fleet.token()).toBe(token);
    await fleet.stop();
  });

  vitest.it.each(SEEDS)(
    "causes no takeover after a third of the renewals, seed %i",
    async (seed) => {
      const fleet = await startFleet(seed);
      const token = fleet.token();
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ swallowWrites: LOST_WRITES_SHARE });
      }
      await fleet.clock.advance(TAKEOVER_MS);
      vitest.expect(fleet.token()).toBe(token);
      await fleet.stop();
    },
  );

  vitest.it.each(SEEDS)(
    "causes one takeover after the coordinator is killed, seed %i",
    async (seed) => {
      const fleet = await startFleet(seed);
      const token = fleet.token();
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ swallowWrites: LOST_WRITES_SHARE });
      }
      await fleet.kill(fleet.coordinator() ?? "");
      await fleet.clock.advance(2 * TAKEOVER_MS);
      vitest.expect(fleet.token()).toBe(token + 1);
      await fleet.stop();
    },
  );

  vitest.it(
    "causes no takeover after a renewal of another writer",
    async () => {
      const fleet = await startFleet();
      const token = fleet.token();
      // By this time stamp no genuine renewal would be newer.
      fleet.write(TableClient.Keys.COORDINATOR_LEASE_KEY, 1e15);
      await fleet.clock.advance(TAKEOVER_MS);
      vitest.expect(fleet.token()).toBe(token);
      await fleet.stop();
    },
  );

  vitest.it(
    "does not extend the term of a dead coordinator by late renewals",
    async () => {
      const fleet = await startFleet();
      const token = fleet.token();
      const key = TableClient.Keys.COORDINATOR_LEASE_KEY;
      const [{ value: newest }] = await fleet.run(fleet.table.read([key]));
      await fleet.kill(fleet.coordinator() ?? "");
      for (let late = 1; late <= 6; late++) {
        const value = Number(newest) - late;
        const write = { key, value };
        const writeId = `late-${late}`;
        const tx = { conditions: [], writes: [write], writeId };
        await fleet.run(fleet.table.transact(tx));
        await fleet.clock.advance(400);
      }
      vitest.expect(fleet.token()).toBe(token + 1);
      await fleet.stop();
    },
  );
});
