/**
 * Random faults while uneven teams hand in more than endpoints of uneven speeds hold:
 * what is accepted is kept, and what every box has rejected never runs.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Seeds of the kinds that are played beside others. */
const SEED_COUNT = 6;

const { hardLoad, hardLoadAndCuts } = TestUtils.PLAY_KINDS;

vitest.describe("random faults under hard load", () => {
  for (const seed of TestUtils.faultSeeds()) {
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      const broken = TestUtils.playRandomFaults(seed, hardLoad);
      vitest.expect(await broken).toEqual([]);
    });
  }
});

vitest.describe("random faults, cuts and suspensions under hard load", () => {
  for (const seed of TestUtils.faultSeeds(SEED_COUNT)) {
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      const broken = TestUtils.playRandomFaults(seed, hardLoadAndCuts);
      vitest.expect(await broken).toEqual([]);
    });
  }
});
