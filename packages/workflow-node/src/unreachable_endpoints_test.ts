/**
 * Endpoints become unreachable until their entries expire, and keep running. No
 * endpoint ends and no task fails in these scenarios, so no workflow may be reported
 * as failed, and all must complete once the endpoints are reachable again.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Seeds of variants known to expose wrongly failed workflows; others use fewer. */
const SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6, 7, 8];
const FEW_SEEDS = SEEDS.slice(0, 4);
/** Real-time limit for a variant, in ms: eight scenarios of a few seconds each. */
const TIMEOUT_MS = 120_000;

type ScenarioChanges = Partial<TestUtils.CutScenario>;

function withSchedule(
  schedule: Partial<TestUtils.CutSchedule>,
): ScenarioChanges {
  return { schedule: { ...TestUtils.DEFAULT_CUTS.schedule, ...schedule } };
}

const { Silent } = StandIns.OrderOutcome;

/** Changes of each variant to the usual scenario. */
const VARIANTS: Readonly<Record<string, ScenarioChanges>> = {
  "whose orders are lost": {},
  "whose orders are never answered": withSchedule({ outcome: Silent }),
  "under gangs": { gangs: true },
  "while coordinators change": { changesCoordinator: true },
};

/** Related variants, not known to expose such failures. */
const RELATED_VARIANTS: Readonly<Record<string, ScenarioChanges>> = {
  "under gangs while coordinators change": {
    gangs: true,
    changesCoordinator: true,
  },
  "and listed again before they are reached": withSchedule({
    entryRelistedMs: 4000,
  }),
  "and reached before they are listed again": withSchedule({ endsMs: 5000 }),
  "and reached while the run goes on": withSchedule({
    endsMs: 3500,
    entryRelistedMs: 3500,
  }),
};

vitest.describe("endpoints that are cut off and keep running", () => {
  const checkAll = (
    variants: Readonly<Record<string, ScenarioChanges>>,
    seeds: readonly number[],
  ) => {
    for (const [name, changes] of Object.entries(variants)) {
      vitest.it(`fail no workflow, ${name}`, async () => {
        vitest.expect(await TestUtils.simulateCuts(changes, seeds)).toEqual({
          failed: [],
          unfinished: [],
          violations: [],
        });
      }, TIMEOUT_MS);
    }
  };
  checkAll(VARIANTS, SEEDS);
  checkAll(RELATED_VARIANTS, FEW_SEEDS);
});
