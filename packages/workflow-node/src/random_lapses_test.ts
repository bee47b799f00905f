/**
 * Random faults while endpoints are cut off and their entries lapse, other writers
 * make entries, and endpoints end in groups that their entries outlast.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const KINDS: TestUtils.PlayKinds = {
  cutsEndpoints: true,
  foreignEntries: true,
  crashesInGroups: true,
};

vitest.describe("random faults and entries that do not tell who lives", () => {
  for (const seed of TestUtils.faultSeeds()) {
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      vitest.expect(await TestUtils.playRandomFaults(seed, KINDS)).toEqual([]);
    });
  }
});
