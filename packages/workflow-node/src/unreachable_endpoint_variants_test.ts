/**
 * Unreachable endpoints as in cut_endpoints_test.ts, under other conditions: late
 * answers, two endpoints cut off at once, gangs with one member per endpoint, and
 * work that yields to guaranteed work.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const SEEDS: readonly number[] = [1, 2, 3, 4];
/** Real-time limit for a variant, in ms: four scenarios of a few seconds each. */
const TIMEOUT_MS = 120_000;
/** Sixteen endpoints of one accelerator, so that gang members never share one. */
const SINGLES: readonly number[] = Array.from({ length: 16 }, () => 1);

const { schedule } = TestUtils.DEFAULT_CUTS;
const { Late, AnswerLost } = StandIns.OrderOutcome;

/** Changes of each variant to the usual scenario. */
const VARIANTS: Readonly<Record<string, Partial<TestUtils.CutScenario>>> = {
  "that carry orders out late": { schedule: { ...schedule, outcome: Late } },
  "whose answers are lost": { schedule: { ...schedule, outcome: AnswerLost } },
  "two at once": { endpointsPerCut: 2 },
  "two at once, under gangs": { endpointsPerCut: 2, gangs: true },
  "each with one member of a gang": { workers: SINGLES, gangs: true },
  "each with one member of a gang, while coordinators change": {
    workers: SINGLES,
    gangs: true,
    changesCoordinator: true,
  },
  "under work that yields to guaranteed work": {
    workflows: 16,
    addsUrgentWork: true,
  },
};

vitest.describe("endpoints that are cut off under other work", () => {
  for (const [name, changes] of Object.entries(VARIANTS)) {
    vitest.it(`fail no workflow, ${name}`, async () => {
      vitest.expect(await TestUtils.simulateCuts(changes, SEEDS)).toEqual({
        failed: [],
        unfinished: [],
        violations: [],
      });
    }, TIMEOUT_MS);
  }
});
