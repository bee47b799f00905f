/**
 * Endpoints that are cut off while their entries lapse, and that live on. No
 * endpoint ends in these plays and no task fails, so nothing may be shown as
 * failed, and all has to be done once the cuts are over.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Seeds of the variants that have shown the fault, and of those beside them. */
const SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6, 7, 8];
const FEW_SEEDS = SEEDS.slice(0, 4);
/** Real time for the plays of one variant, in ms: eight of a few seconds each. */
const TIMEOUT_MS = 120_000;

type ScenarioChanges = Partial<TestUtils.CutPlay>;

function withShape(shape: Partial<TestUtils.CutShape>): ScenarioChanges {
  return { shape: { ...TestUtils.USUAL_CUTS.shape, ...shape } };
}

const { Silent } = StandIns.OrderFate;

/** What each variant changes in the play. */
const VARIANTS: Readonly<Record<string, ScenarioChanges>> = {
  "whose orders are lost": {},
  "whose orders are never answered": withShape({ fate: Silent }),
  "under gangs": { gangs: true },
  "while coordinators change": { changesCoordinator: true },
};

/** Variants in which the fault has not shown itself. */
const RELATED_VARIANTS: Readonly<Record<string, ScenarioChanges>> = {
  "under gangs while coordinators change": {
    gangs: true,
    changesCoordinator: true,
  },
  "and listed again before they are reached": withShape({ entryBackMs: 4000 }),
  "and reached before they are listed again": withShape({ healsMs: 5000 }),
  "and reached while the run goes on": withShape({
    healsMs: 3500,
    entryBackMs: 3500,
  }),
};

vitest.describe("endpoints that are cut off and live on", () => {
  const checkAll = (
    variants: Readonly<Record<string, ScenarioChanges>>,
    seeds: readonly number[],
  ) => {
    for (const [name, changes] of Object.entries(variants)) {
      vitest.it(`fail no workflow, ${name}`, async () => {
        vitest.expect(await TestUtils.playCuts(changes, seeds)).toEqual({
          failed: [],
          undone: [],
          broken: [],
        });
      }, TIMEOUT_MS);
    }
  };
  checkAll(VARIANTS, SEEDS);
  checkAll(RELATED_VARIANTS, FEW_SEEDS);
});
