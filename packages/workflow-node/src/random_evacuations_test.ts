/** Random faults while data centres are evacuated and taken back. */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Seeds of the kinds that are played beside others. */
const SEED_COUNT = 6;

vitest.describe("random faults and evacuations of data centres", () => {
  for (const seed of TestUtils.faultSeeds()) {
    vitest.it(`start nothing there, seed ${seed}`, async () => {
      const broken = TestUtils.playRandomFaults(seed, { evacuates: true });
      vitest.expect(await broken).toEqual([]);
    });
  }
});

vitest.describe("evacuations and boxes that stand still", () => {
  for (const seed of TestUtils.faultSeeds(SEED_COUNT)) {
    vitest.it(`start nothing there, seed ${seed}`, async () => {
      const kinds = { evacuates: true, suspends: true };
      vitest.expect(await TestUtils.playRandomFaults(seed, kinds)).toEqual([]);
    });
  }
});

vitest.describe("evacuations and data centres that lose power", () => {
  for (const seed of TestUtils.faultSeeds(SEED_COUNT)) {
    vitest.it(
      `lose nothing and start nothing there, seed ${seed}`,
      async () => {
        const kinds = { evacuates: true, losesPower: true };
        vitest.expect(await TestUtils.playRandomFaults(seed, kinds)).toEqual(
          [],
        );
      },
    );
  }
});
