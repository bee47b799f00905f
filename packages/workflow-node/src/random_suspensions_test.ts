/** Random faults while boxes are suspended for some seconds. */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

vitest.describe("random faults and suspended boxes", () => {
  for (const seed of TestUtils.faultSeeds()) {
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      vitest.expect(
        await TestUtils.simulateRandomFaults(seed, { suspends: true }),
      )
        .toEqual([]);
    });
  }
});
