/**
 * Gangs on endpoints as slow as those of users, see TestUtils.playSlowEnds: stops that
 * take their time, members that end one after another, and faults in the middle of it.
 * CAIRNGATE_FAULT_RUNS sets how many seeds are played, CAIRNGATE_FAULT_FROM the first.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Seeds that CI plays. */
const SEED_COUNT = 8;

/**
 * Seeds in which a task runs twice at once as soon as one member's break stands for
 * the ends of all others: 10, 22, 23. The others showed a gang given up too early, as
 * a run that failed in two members was counted twice across a takeover.
 */
const REGRESSION_SEEDS: readonly number[] = [10, 22, 23, 47, 81, 618, 685];

vitest.describe("gangs on endpoints that take their time, as found", () => {
  for (const seed of REGRESSION_SEEDS) {
    vitest.it(`break nothing any more, seed ${seed}`, async () => {
      vitest.expect(await TestUtils.playSlowEnds(seed)).toEqual([]);
    });
  }
});

vitest.describe("gangs on endpoints that take their time to end runs", () => {
  for (const seed of TestUtils.faultSeeds(SEED_COUNT)) {
    vitest.it(`run nothing twice and lose nothing, seed ${seed}`, async () => {
      vitest.expect(await TestUtils.playSlowEnds(seed)).toEqual([]);
    });
  }
});
