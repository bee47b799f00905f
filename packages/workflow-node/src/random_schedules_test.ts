/**
 * Random faults while many workflows run their steps in several rounds and the
 * coordinator is stopped again and again. CAIRNGATE_FAULT_RUNS sets the number of
 * seeds, CAIRNGATE_FAULT_FROM the first one.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const KINDS = TestUtils.SIMULATION_KINDS.schedules;

vitest.describe("random faults and workflows of several rounds", () => {
  for (const seed of TestUtils.faultSeeds()) {
    if (TestUtils.isUnresolvedFailure("schedules", seed)) continue;
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      vitest.expect(await TestUtils.simulateRandomFaults(seed, KINDS)).toEqual(
        [],
      );
    });
  }
});
