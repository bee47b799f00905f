/**
 * Random faults while the coordinator is stopped again and again and endpoints are cut
 * off. CAIRNGATE_FAULT_RUNS sets the number of seeds, CAIRNGATE_FAULT_FROM the first one.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const KINDS = TestUtils.SIMULATION_KINDS.handOvers;

vitest.describe("random faults and hand-overs", () => {
  for (const seed of TestUtils.faultSeeds()) {
    if (TestUtils.isUnresolvedFailure("handOvers", seed)) continue;
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      vitest.expect(await TestUtils.simulateRandomFaults(seed, KINDS)).toEqual(
        [],
      );
    });
  }
});
