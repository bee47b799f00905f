/** Random faults while data centres are evacuated and put back into use. */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Seeds that CI runs of each combined kind. */
const SEED_COUNT = 6;

vitest.describe("random faults and evacuations of data centres", () => {
  for (const seed of TestUtils.faultSeeds()) {
    vitest.it(
      `start nothing in an evacuated data centre, seed ${seed}`,
      async () => {
        const broken = TestUtils.simulateRandomFaults(seed, {
          evacuates: true,
        });
        vitest.expect(await broken).toEqual([]);
      },
    );
  }
});

vitest.describe("random faults, evacuations and suspended boxes", () => {
  for (const seed of TestUtils.faultSeeds(SEED_COUNT)) {
    vitest.it(
      `start nothing in an evacuated data centre, seed ${seed}`,
      async () => {
        const kinds = { evacuates: true, suspends: true };
        vitest.expect(await TestUtils.simulateRandomFaults(seed, kinds))
          .toEqual(
            [],
          );
      },
    );
  }
});

vitest.describe(
  "random faults, evacuations and data centres that lose power",
  () => {
    for (const seed of TestUtils.faultSeeds(SEED_COUNT)) {
      vitest.it(
        `lose nothing and start nothing evacuated, seed ${seed}`,
        async () => {
          const kinds = { evacuates: true, losesPower: true };
          vitest.expect(await TestUtils.simulateRandomFaults(seed, kinds))
            .toEqual(
              [],
            );
        },
      );
    }
  },
);
