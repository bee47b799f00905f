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

const FIRST = "worker-0";
/** Accelerators of each of the two endpoints: all work fits at once. */
const ROOM = 4;
/** Workflows of one task: three on each endpoint, so that each entry meets some. */
const WORKFLOWS = 6;
/** Time of a run, in ms. */
const RUN_MS = 6000;
/** Foreign entries, one after another. */
const ENTRIES = 6;
/** Time from one to the next, in ms: a heartbeat, so that runs of 6 s meet four. */
const PAUSE_MS = 1500;
/** Time for which an entry is listed that goes again, in ms. */
const LISTED_MS = 750;
/** Time in which all ends, in ms: several runs one after another. */
const LIMIT_MS = 60_000;

/** What a play writes into the list. */
interface Play {
  /** What the foreign entry says; the rest is as in that of the first endpoint. */
  readonly says: Partial<Ports.EndpointListing>;
  /** Whether it stays from its first moment to the end of the play. */
  readonly stays: boolean;
  /** Whether each entry has an id of its own. */
  readonly changesId: boolean;
  readonly atDeadAddress: StandIns.DeadAddress;
  /** Whether a first entry is there before the work is handed in. */
  readonly comesFirst: boolean;
  /** Whether the endpoints write their own entries again meanwhile. */
  readonly beats: boolean;
}

const UNUSABLE: Partial<Ports.EndpointListing> = {
  service: "nobody-names-it",
  accelerators: 0,
};

const USUAL: Play = {
  says: UNUSABLE,
  stays: false,
  changesId: false,
  atDeadAddress: StandIns.DeadAddress.Answers,
  comesFirst: false,
  beats: false,
};

/** Takes the entry of the first endpoint for that of another id. */
function writeForeign(fleet: TestUtils.TestFleet, id: string, play: Play) {
  const own = fleet.entryOf(FIRST);
  if (own === null) throw new RangeError(`${FIRST} is not listed`);
  fleet.writeEntry({ ...own, ...play.says, id });
}

async function writeEntries(
  fleet: TestUtils.TestFleet,
  play: Play,
): Promise<void> {
  for (let i = 0; i < ENTRIES; i++) {
    const id = play.changesId ? `foreign-${i}` : "foreign";
    writeForeign(fleet, id, play);
    await fleet.clock.advance(LISTED_MS);
    if (play.beats) fleet.beat();
    if (!play.stays) fleet.unlist(id);
    await fleet.clock.advance(PAUSE_MS - LISTED_MS);
  }
}

/** Plays the entries over running work; returns what has become of it. */
async function playEntries(changes: Partial<Play>) {
  const play = { ...USUAL, ...changes };
  const fleet = new TestUtils.TestFleet({ workers: [ROOM, ROOM] });
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  fleet.workers.atDeadAddress = play.atDeadAddress;
  await fleet.start();
  if (play.comesFirst) writeForeign(fleet, "foreign-before", play);
  const ids = Array.from(
    { length: WORKFLOWS },
    (_, i) => `a${String(i).padStart(15, "0")}`,
  );
  const steps = [TestUtils.buildStep({ estimateMs: RUN_MS })];
  for (const id of ids) await fleet.submit("node-1", id, { steps });
  await fleet.until(() => fleet.workers.runs.length === WORKFLOWS);
  await writeEntries(fleet, play);
  const isOver = (id: string) => {
    const state = fleet.state(id);
    return state !== null && Workflow.isFinal(state);
  };
  await fleet.until(() => ids.every(isOver), LIMIT_MS);
  const outcome = {
    runs: fleet.workers.runs.length,
    states: ids.map((id) => fleet.state(id)),
    broken: TestUtils.findBrokenRuns(fleet),
  };
  await fleet.stop();
  return outcome;
}

/** What each variant changes in the play. */
const VARIANTS: Readonly<Record<string, Partial<Play>>> = {
  "that come and go": {},
  "of a new id each time": { changesId: true },
  "that stay": { stays: true },
  "that look usable": { says: {} },
  "that look usable and stay": { says: {}, stays: true },
  "that look usable, stay and are many": {
    says: {},
    stays: true,
    changesId: true,
  },
  "that look usable, where the other's answer can't be read": {
    says: {},
    atDeadAddress: StandIns.DeadAddress.Resets,
  },
  "that look usable and were there before the work": {
    says: {},
    comesFirst: true,
  },
  "that come and go beside heartbeats": { beats: true },
  "that stay beside heartbeats": { stays: true, beats: true },
};

vitest.describe("entries that name the address of another endpoint", () => {
  for (const [name, changes] of Object.entries(VARIANTS)) {
    vitest.it(`end nothing, ${name}`, async () => {
      const { Completed } = Workflow.WorkflowState;
      vitest.expect(await playEntries(changes)).toEqual({
        runs: WORKFLOWS,
        states: Array.from({ length: WORKFLOWS }, () => Completed),
        broken: [],
      });
    });
  }
});
