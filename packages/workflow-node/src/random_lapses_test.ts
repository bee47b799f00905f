/**
 * Random faults while endpoints are cut off and their entries lapse, other writers
 * make entries, and endpoints end in groups that their entries outlast.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const KINDS = TestUtils.PLAY_KINDS.lapses;

/**
 * Seeds that have shown a fault: 1019 a run that an earlier coordinator had confirmed,
 * and that was done, counted as under way when its endpoint ended; 1055 a gang of
 * which another member failed each time, which users allow; 10 good work given up for
 * one sure crash and two likely ones; the others work that crashes its endpoints and was
 * started once too often, or good work given up.
 */
const REGRESSION_SEEDS: readonly number[] = [
  ...[1003, 1010, 1019, 1022, 1024, 1055, 1057, 1071, 1076],
  ...[1097, 1113, 1125, 1139, 10],
];

vitest.describe("random faults and entries that were found", () => {
  for (const seed of REGRESSION_SEEDS) {
    vitest.it(`break nothing any more, seed ${seed}`, async () => {
      vitest.expect(await TestUtils.playRandomFaults(seed, KINDS)).toEqual([]);
    });
  }
});

vitest.describe(
  "random faults and entries that do not tell who lives",
  () => {
    for (const seed of TestUtils.faultSeeds()) {
      if (TestUtils.isRed("lapses", seed)) continue;
      vitest.it(
        `lose nothing and run nothing twice, seed ${seed}`,
        async () => {
          vitest.expect(await TestUtils.playRandomFaults(seed, KINDS)).toEqual(
            [],
          );
        },
      );
    }
  },
);
