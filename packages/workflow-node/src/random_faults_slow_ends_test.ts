/** Random faults while stops, and the ends of a gang's members, are slow. */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Seeds that CI runs of each kind; they take half a minute of one core. */
const SEED_COUNT = 6;
const { slowEnds, slowEndsAndCuts } = TestUtils.SIMULATION_KINDS;

vitest.describe("random faults and ends that take their time", () => {
  for (const seed of TestUtils.faultSeeds(SEED_COUNT)) {
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      vitest.expect(await TestUtils.simulateRandomFaults(seed, slowEnds))
        .toEqual(
          [],
        );
    });
    vitest.it(`do so beside cuts and rebirths, seed ${seed}`, async () => {
      vitest.expect(await TestUtils.simulateRandomFaults(seed, slowEndsAndCuts))
        .toEqual([]);
    });
  }
});
