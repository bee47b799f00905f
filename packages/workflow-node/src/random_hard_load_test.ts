/**
 * Random faults while teams of different sizes submit more work than endpoints of
 * different speeds can run. Accepted workflows are kept, and a workflow that every box
 * has rejected never runs.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Seeds that CI runs with cuts and suspensions. */
const SEED_COUNT = 6;

const { hardLoad, hardLoadAndCuts } = TestUtils.SIMULATION_KINDS;

vitest.describe("random faults under overload", () => {
  for (const seed of TestUtils.faultSeeds()) {
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      const broken = TestUtils.simulateRandomFaults(seed, hardLoad);
      vitest.expect(await broken).toEqual([]);
    });
  }
});

vitest.describe("random faults, cuts and suspensions under overload", () => {
  for (const seed of TestUtils.faultSeeds(SEED_COUNT)) {
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      const broken = TestUtils.simulateRandomFaults(seed, hardLoadAndCuts);
      vitest.expect(await broken).toEqual([]);
    });
  }
});
