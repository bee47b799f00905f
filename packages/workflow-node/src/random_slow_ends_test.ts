/**
 * Gangs on endpoints as slow as those of users, see TestUtils.simulateSlowEnds: stops are
 * slow, members end one after another, and faults occur meanwhile.
 * CAIRNGATE_FAULT_RUNS sets the number of seeds, CAIRNGATE_FAULT_FROM the first one.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Seeds that CI runs. */
const SEED_COUNT = 8;

/**
 * Seeds that once failed. 10, 22 and 23: a task ran twice at once, because one broken
 * member counted as the end of all members. The others: a gang failed too early,
 * because a failure of two members in one run was counted twice across a takeover.
 */
const REGRESSION_SEEDS: readonly number[] = [10, 22, 23, 47, 81, 618, 685];

vitest.describe("gangs on slow endpoints that once failed", () => {
  for (const seed of REGRESSION_SEEDS) {
    vitest.it(`break nothing, seed ${seed}`, async () => {
      vitest.expect(await TestUtils.simulateSlowEnds(seed)).toEqual([]);
    });
  }
});

vitest.describe("gangs on endpoints that end runs slowly", () => {
  for (const seed of TestUtils.faultSeeds(SEED_COUNT)) {
    vitest.it(`run nothing twice and lose nothing, seed ${seed}`, async () => {
      vitest.expect(await TestUtils.simulateSlowEnds(seed)).toEqual([]);
    });
  }
});
