/**
 * Entries of other writers that name the address of an endpoint which lives on.
 * Such an entry proves no end: only the life that answers at the address can.
 * Orders to the foreign id are answered there as by another life.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import type * as Ports from "@cairngate/ports";
import * as vitest from "vitest";

const FIRST_ENDPOINT = "worker-0";
/** Accelerators of each of the two endpoints: all work fits at once. */
const ACCELERATORS = 4;
/** Workflows of one task: three on each endpoint, so that each entry meets some. */
const WORKFLOWS = 6;
/** Time of a run, in ms. */
const RUN_MS = 6000;
/** Foreign entries, one after another. */
const ENTRY_COUNT = 6;
/** Time from one to the next, in ms: a heartbeat, so that runs of 6 s meet four. */
const ENTRY_INTERVAL_MS = 1500;
/** Time for which an entry is listed that goes again, in ms. */
const LISTING_DURATION_MS = 750;
/** Time in which all ends, in ms: several runs one after another. */
const TIMEOUT_MS = 60_000;

/** What a play writes into the list. */
interface Scenario {
  /** What the foreign entry says; the rest is as in that of the first endpoint. */
  readonly overrides: Partial<Ports.EndpointListing>;
  /** Whether it stays from its first moment to the end of the play. */
  readonly isPermanent: boolean;
  /** Whether each entry has an id of its own. */
  readonly hasUniqueIds: boolean;
  readonly atDeadAddress: StandIns.DeadAddress;
  /** Whether a first entry is there before the work is handed in. */
  readonly isEarly: boolean;
  /** Whether the endpoints write their own entries again meanwhile. */
  readonly hasHeartbeats: boolean;
}

const UNUSABLE: Partial<Ports.EndpointListing> = {
  service: "nobody-names-it",
  accelerators: 0,
};

const DEFAULT_SCENARIO: Scenario = {
  overrides: UNUSABLE,
  isPermanent: false,
  hasUniqueIds: false,
  atDeadAddress: StandIns.DeadAddress.Answers,
  isEarly: false,
  hasHeartbeats: false,
};

/** Takes the entry of the first endpoint for that of another id. */
function writeForeign(
  fleet: TestUtils.TestFleet,
  id: string,
  scenario: Scenario,
) {
  const own = fleet.entryOf(FIRST_ENDPOINT);
  if (own === null) throw new RangeError(`${FIRST_ENDPOINT} is not listed`);
  fleet.writeEntry({ ...own, ...scenario.overrides, id });
}

async function writeEntries(
  fleet: TestUtils.TestFleet,
  scenario: Scenario,
): Promise<void> {
  for (let i = 0; i < ENTRY_COUNT; i++) {
    const id = scenario.hasUniqueIds ? `foreign-${i}` : "foreign";
    writeForeign(fleet, id, scenario);
    await fleet.clock.advance(LISTING_DURATION_MS);
    if (scenario.hasHeartbeats) fleet.beat();
    if (!scenario.isPermanent) fleet.unlist(id);
    await fleet.clock.advance(ENTRY_INTERVAL_MS - LISTING_DURATION_MS);
  }
}

/** Plays the entries over running work; returns what has become of it. */
async function runScenario(changes: Partial<Scenario>) {
  const scenario = { ...DEFAULT_SCENARIO, ...changes };
  const fleet = new TestUtils.TestFleet({
    workers: [ACCELERATORS, ACCELERATORS],
  });
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  fleet.workers.atDeadAddress = scenario.atDeadAddress;
  await fleet.start();
  if (scenario.isEarly) writeForeign(fleet, "foreign-before", scenario);
  const ids = Array.from(
    { length: WORKFLOWS },
    (_, i) => `a${String(i).padStart(15, "0")}`,
  );
  const steps = [TestUtils.buildStep({ estimateMs: RUN_MS })];
  for (const id of ids) await fleet.submit("node-1", id, { steps });
  await fleet.until(() => fleet.workers.runs.length === WORKFLOWS);
  await writeEntries(fleet, scenario);
  const isOver = (id: string) => {
    const state = fleet.state(id);
    return state !== null && Workflow.isFinal(state);
  };
  await fleet.until(() => ids.every(isOver), TIMEOUT_MS);
  const outcome = {
    runs: fleet.workers.runs.length,
    states: ids.map((id) => fleet.state(id)),
    broken: TestUtils.findBrokenRuns(fleet),
  };
  await fleet.stop();
  return outcome;
}

/** What each variant changes in the play. */
const VARIANTS: Readonly<Record<string, Partial<Scenario>>> = {
  "that come and go": {},
  "of a new id each time": { hasUniqueIds: true },
  "that stay": { isPermanent: true },
  "that look usable": { overrides: {} },
  "that look usable and stay": { overrides: {}, isPermanent: true },
  "that look usable, stay and are many": {
    overrides: {},
    isPermanent: true,
    hasUniqueIds: true,
  },
  "that look usable, where the other's answer can't be read": {
    overrides: {},
    atDeadAddress: StandIns.DeadAddress.Resets,
  },
  "that look usable and were there before the work": {
    overrides: {},
    isEarly: true,
  },
  "that come and go beside heartbeats": { hasHeartbeats: true },
  "that stay beside heartbeats": { isPermanent: true, hasHeartbeats: true },
};

vitest.describe("entries that name the address of another endpoint", () => {
  for (const [name, changes] of Object.entries(VARIANTS)) {
    vitest.it(`end nothing, ${name}`, async () => {
      const { Completed } = Workflow.WorkflowState;
      vitest.expect(await runScenario(changes)).toEqual({
        runs: WORKFLOWS,
        states: Array.from({ length: WORKFLOWS }, () => Completed),
        broken: [],
      });
    });
  }
});
