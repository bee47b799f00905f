/**
 * Entries by other writers that name the address of a running endpoint. Such an entry
 * does not prove that the endpoint has ended; only an answer of another incarnation at
 * the address does. Orders to the foreign id are refused there as meant for another
 * incarnation.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import type * as Ports from "@cairngate/ports";
import * as vitest from "vitest";

const FIRST_ENDPOINT = "worker-0";
/** Accelerators of each of the two endpoints; all work fits at once. */
const ACCELERATORS = 4;
/** Workflows of one task: three per endpoint, so that every entry affects some. */
const WORKFLOWS = 6;
/** Duration of a run, in ms. */
const RUN_MS = 6000;
/** Number of foreign entries, written one after another. */
const ENTRY_COUNT = 6;
/** Time between entries, in ms: one heartbeat, so that a run of 6 s sees four. */
const ENTRY_INTERVAL_MS = 1500;
/** Time for which a temporary entry is listed, in ms. */
const LISTING_DURATION_MS = 750;
/** Time within which all work ends, in ms: several runs in sequence. */
const TIMEOUT_MS = 60_000;

/** The foreign entries of a test and their circumstances. */
interface Scenario {
  /** Fields in which the foreign entry differs from that of the first endpoint. */
  readonly overrides: Partial<Ports.EndpointListing>;
  /** Whether the entry is listed until the end of the test. */
  readonly isPermanent: boolean;
  /** Whether each entry has an id of its own. */
  readonly hasUniqueIds: boolean;
  readonly atDeadAddress: StandIns.DeadAddressOutcome;
  /** Whether a first entry is written before the work is submitted. */
  readonly isEarly: boolean;
  /** Whether the endpoints write their own entries again in between. */
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
  atDeadAddress: StandIns.DeadAddressOutcome.Answers,
  isEarly: false,
  hasHeartbeats: false,
};

/** Writes a copy of the first endpoint's entry under another id. */
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
    if (scenario.hasHeartbeats) fleet.sendHeartbeats();
    if (!scenario.isPermanent) fleet.unlist(id);
    await fleet.clock.advance(ENTRY_INTERVAL_MS - LISTING_DURATION_MS);
  }
}

/** Writes the entries while work is running; returns the outcome of the work. */
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
    broken: TestUtils.findRunViolations(fleet),
  };
  await fleet.stop();
  return outcome;
}

/** Changes of each variant to the default scenario. */
const VARIANTS: Readonly<Record<string, Partial<Scenario>>> = {
  "that are removed again": {},
  "with a new id each time": { hasUniqueIds: true },
  "that remain": { isPermanent: true },
  "that look usable": { overrides: {} },
  "that look usable and remain": { overrides: {}, isPermanent: true },
  "that look usable, remain and are many": {
    overrides: {},
    isPermanent: true,
    hasUniqueIds: true,
  },
  "that look usable, at an address that resets connections": {
    overrides: {},
    atDeadAddress: StandIns.DeadAddressOutcome.Resets,
  },
  "that look usable and are listed before the work": {
    overrides: {},
    isEarly: true,
  },
  "that are removed again, between heartbeats": { hasHeartbeats: true },
  "that remain, between heartbeats": { isPermanent: true, hasHeartbeats: true },
};

vitest.describe("entries that name the address of another endpoint", () => {
  for (const [name, changes] of Object.entries(VARIANTS)) {
    vitest.it(`end no run, ${name}`, async () => {
      const { Completed } = Workflow.WorkflowState;
      vitest.expect(await runScenario(changes)).toEqual({
        runs: WORKFLOWS,
        states: Array.from({ length: WORKFLOWS }, () => Completed),
        broken: [],
      });
    });
  }
});
