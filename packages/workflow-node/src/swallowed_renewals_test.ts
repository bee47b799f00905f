/**
 * The store loses answers for some seconds, and a share of the writes comes to nothing.
 *
 * Symptom: a term changes hands each two seconds while the holder is alive and the
 * store answers two writes of three. Work that waits stands still in each takeover.
 * Order: a renewal has no answer; the holder waits a second for it, and then until the
 * next one is due; the others have seen no renewal for 0.9 s by then and take the term.
 * The new holder meets the same.
 * Cause: one renewal at a time, each of them given up only with the time that any write
 * may take, which is longer than the silence that ends a term.
 * Evidence: tokens that rise while the holder is alive, with "the row has changed".
 */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** The pace of the renewals is known by then, and silence is judged by it, in ms. */
const WARM_UP_MS = 4000;
/** One renewal is due in this time, in ms. */
const RENEWAL_INTERVAL_MS = 370;
/** A term would have been taken over by then, in ms. */
const TAKEOVER_MS = 5000;
/** Share of writes that a store loses that loses answers. */
const LOST_WRITES_SHARE = 0.35;
const SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6];

async function startFleet(seed = 1): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ nodes: 4, seed });
  await fleet.start();
  await fleet.clock.advance(WARM_UP_MS);
  return fleet;
}

vitest.describe("a store that swallows writes", () => {
  vitest.it("costs no term where one renewal is swallowed", async () => {
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
    "costs no term by a third of them, seed %i",
    async (seed) => {
      const fleet = await startFleet(seed);
      const token = fleet.token();
      for (const name of fleet.nodes.keys()) {
        fleet.faultsOf(name).set({ swallowWrites: LOST_WRITES_SHARE });
      }
      await fleet.clock.advance(TAKEOVER_MS);
      vitest.expect(fleet.token()).toBe(token);
      await fleet.stop();
    },
  );

  vitest.it.each(SEEDS)(
    "changes hands once where the holder is killed meanwhile, seed %i",
    async (seed) => {
      const fleet = await startFleet(seed);
      const token = fleet.token();
      for (const name of fleet.nodes.keys()) {
        fleet.faultsOf(name).set({ swallowWrites: LOST_WRITES_SHARE });
      }
      await fleet.kill(fleet.coordinator() ?? "");
      await fleet.clock.advance(2 * TAKEOVER_MS);
      vitest.expect(fleet.token()).toBe(token + 1);
      await fleet.stop();
    },
  );

  vitest.it("keeps its term beside a renewal of another writer", async () => {
    const fleet = await startFleet();
    const token = fleet.token();
    // By its time no true renewal would be newer.
    fleet.write(TableClient.Keys.COORDINATOR_LEASE_KEY, 1e15);
    await fleet.clock.advance(TAKEOVER_MS);
    vitest.expect(fleet.token()).toBe(token);
    await fleet.stop();
  });

  vitest.it(
    "does not keep the term of a dead holder by late renewals",
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
