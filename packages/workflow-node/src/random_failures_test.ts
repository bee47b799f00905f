/** Random faults while many runs fail and their endpoints are then unreachable. */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Seeds that CI runs of each kind. */
const SEED_COUNT = 6;

vitest.describe("random faults and many failures that once failed", () => {
  /** A late start reaches a restarted endpoint before any stop, which are all lost. */
  vitest.it("break nothing with rebirths, seed 50", async () => {
    const { failuresAndRebirths } = TestUtils.SIMULATION_KINDS;
    vitest.expect(
      await TestUtils.simulateRandomFaults(50, failuresAndRebirths),
    ).toEqual([]);
  });

  /** A harmless crash suspect waits while all endpoints are in backoff or crash. */
  vitest.it("let no work wait, seed 20090", async () => {
    const { failures } = TestUtils.SIMULATION_KINDS;
    vitest.expect(
      await TestUtils.simulateRandomFaults(20090, failures),
    ).toEqual([]);
  });
});

vitest.describe("random faults and many failures", () => {
  for (const seed of TestUtils.faultSeeds(SEED_COUNT)) {
    for (const kind of ["failures", "failuresAndRebirths"] as const) {
      vitest.it(
        `start nothing beyond its attempts, ${kind} ${seed}`,
        async () => {
          vitest.expect(
            await TestUtils.simulateRandomFaults(
              seed,
              TestUtils.SIMULATION_KINDS[kind],
            ),
          ).toEqual([]);
        },
      );
    }
  }
});
