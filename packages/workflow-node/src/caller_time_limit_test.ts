/** A caller that gives a time limit gets its answer within the limit. */
import type * as Errors from "@cairngate/errors";
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

/** Duration of a call to a store 75 times slower than usual, in ms. */
const STORE_DELAY_MS = 700;

/** Submits with this time limit; returns the error and the time taken, in ms. */
async function submit(
  fleet: TestUtils.TestFleet,
  timeoutMs: number,
): Promise<{ err: Errors.StoreUnavailableError | null; tookMs: number }> {
  const box = fleet.box("node-1");
  const id = "a000000000000009";
  const allowed = await fleet.run(
    box.access.check({
      host: "jobs.example",
      path: `/p1/${id}`,
      key: "key-of-hana",
    }),
  );
  const startedAtMs = fleet.clock.monotonicMs();
  const steps = [TestUtils.buildStep()];
  const job = { id, payload: "work", steps, schedule: null };
  const result = await fleet.run(
    Effect.result(box.submissions.accept(allowed, job, timeoutMs)),
  );
  const tookMs = fleet.clock.monotonicMs() - startedAtMs;
  const err = result._tag === "Failure" ? result.failure : null;
  return { err: err as Errors.StoreUnavailableError | null, tookMs };
}

vitest.describe("a caller with a time limit", () => {
  vitest.it("gets an uncertain answer if the store is silent", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    fleet.faultsOf("node-1").set({ silent: true });
    const { err, tookMs } = await submit(fleet, 300);
    vitest.expect(err?.perhapsDone).toBe(true);
    vitest.expect(tookMs).toBeLessThan(300);
    await fleet.stop();
  });

  vitest.it("is refused at once if the store takes longer", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    for (const name of fleet.boxes.keys()) {
      fleet.faultsOf(name).set({ delayMs: STORE_DELAY_MS });
    }
    // The box estimates the delay of the store from its own writes.
    for (let i = 0; i < 6; i++) await fleet.submit("node-1", `b${i}`);
    const { err, tookMs } = await submit(fleet, STORE_DELAY_MS / 2);
    vitest.expect(err?._tag).toBe("StoreUnavailableError");
    vitest.expect(err?.perhapsDone).not.toBe(true);
    vitest.expect(tookMs).toBeLessThan(50);
    await fleet.stop();
  });

  vitest.it("is served if there is enough time", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    const { err } = await submit(fleet, 300);
    vitest.expect(err).toBe(null);
    await fleet.stop();
  });
});

vitest.describe("an overloaded store that refuses writes", () => {
  vitest.it("gets few writes for one submission", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    // Every call takes 300 ms, as in a store with a queue, and writes are refused.
    const downPartitions = TableClient.Keys.PARTITIONS;
    for (const name of fleet.boxes.keys()) {
      fleet.faultsOf(name).set({ delayMs: 300, downPartitions });
    }
    await fleet.clock.advance(3000);
    const before = fleet.faultsOf("node-1").writes;
    await submit(fleet, 3000);
    const writes = fleet.faultsOf("node-1").writes - before;
    vitest.expect(writes).toBeLessThanOrEqual(3);
    await fleet.stop();
  });
});
