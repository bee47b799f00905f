/**
 * Endpoints that are cut off while their entries lapse, and that live on. No
 * endpoint ends in these plays and no task fails, so nothing may be shown as
 * failed, and all has to be done once the cuts are over.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

/** Endpoints, of two accelerators each: some are whole while three are cut off. */
const ENDPOINTS = 8;
const WORKFLOWS = 6;
/** Time of a run, in ms: longer than the longest lease of the fleet, 6 s. */
const RUN_MS = 7000;
const CUTS = 16;
/** Time between two cuts, in ms. */
const PAUSE_MS = { least: 2500, most: 3000 };
/** Cuts after each of which another box coordinates, where a play changes it. */
const CUTS_PER_TERM = 3;
/** Seeds of the variants that have shown the fault, and of those beside them. */
const SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6, 7, 8];
const FEW_SEEDS = SEEDS.slice(0, 4);
/** Time in which all work ends after the last cut, in ms: some ten runs. */
const LIMIT_MS = 80_000;
/** Real time for the plays of one variant, in ms: eight of a few seconds each. */
const TIMEOUT_MS = 120_000;

interface Play {
  readonly shape: TestUtils.CutShape;
  readonly gangs: boolean;
  readonly changesCoordinator: boolean;
  readonly seeds: readonly number[];
}

const { Lost, Silent } = StandIns.OrderFate;

/** Three seconds longer than the longest lease; the entry returns with the link. */
const USUAL: Play = {
  shape: { fate: Lost, healsMs: 9000, entryGoesMs: 1500, entryBackMs: 9000 },
  gangs: false,
  changesCoordinator: false,
  seeds: SEEDS,
};

/** Workflows of a play that are shown as failed, or are not done at its end. */
interface Outcome {
  readonly failed: readonly string[];
  readonly undone: readonly string[];
  readonly broken: readonly string[];
}

async function handIn(
  fleet: TestUtils.TestFleet,
  gangs: boolean,
): Promise<string[]> {
  const ids = Array.from(
    { length: WORKFLOWS },
    (_, i) => `a${String(i).padStart(15, "0")}`,
  );
  const gang = gangs ? { count: 2, gang: true } : {};
  const steps = [TestUtils.buildStep({ estimateMs: RUN_MS, ...gang })];
  for (const id of ids) await fleet.submit("node-1", id, { steps });
  return ids;
}

/** An endpoint on which something runs and which is whole; null: there is none. */
function chooseVictim(
  fleet: TestUtils.TestFleet,
  cuts: TestUtils.EndpointCuts,
  random: TestUtils.SeededRandom,
): string | null {
  fleet.workers.settle();
  const busy = fleet.workers.runs.filter(({ how }) => how === null)
    .map(({ worker }) => worker).filter((id) => !cuts.has(id));
  return busy.length === 0 ? null : random.choose([...new Set(busy)]);
}

async function replaceCoordinator(fleet: TestUtils.TestFleet): Promise<void> {
  const coordinator = fleet.coordinator();
  if (coordinator === null || !fleet.nodes.has(coordinator)) return;
  await fleet.kill(coordinator);
  fleet.startNode(`${coordinator}+`);
}

async function cutEndpoints(
  fleet: TestUtils.TestFleet,
  play: Play,
  seed: number,
): Promise<void> {
  const random = new TestUtils.SeededRandom(seed);
  const cuts = new TestUtils.EndpointCuts(fleet);
  fleet.workers.carry = (id) => cuts.fateOf(id) ?? StandIns.OrderFate.Carried;
  for (let i = 1; i <= CUTS; i++) {
    await fleet.clock.advance(random.between(PAUSE_MS.least, PAUSE_MS.most));
    const victim = chooseVictim(fleet, cuts, random);
    if (victim !== null) cuts.begin(victim, play.shape);
    const isLastOfTerm = play.changesCoordinator && i % CUTS_PER_TERM === 0;
    if (isLastOfTerm) await replaceCoordinator(fleet);
  }
}

async function playSeed(play: Play, seed: number): Promise<Outcome> {
  const workers = Array.from({ length: ENDPOINTS }, () => 2);
  const fleet = new TestUtils.TestFleet({ workers, seed });
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  await fleet.start();
  const ids = await handIn(fleet, play.gangs);
  await cutEndpoints(fleet, play, seed);
  const { Completed, Failed } = Workflow.WorkflowState;
  const isDone = (id: string) => fleet.state(id) === Completed;
  const isFailed = (id: string) => fleet.state(id) === Failed;
  await fleet.until(
    () => ids.every((id) => isDone(id) || isFailed(id)),
    LIMIT_MS,
  );
  const name = (id: string) => `seed ${seed}: ${id}`;
  const outcome = {
    failed: ids.filter(isFailed).map(name),
    undone: ids.filter((id) => !isDone(id) && !isFailed(id)).map(name),
    broken: TestUtils.findBrokenRuns(fleet),
  };
  await fleet.stop();
  return outcome;
}

/** Plays all seeds; each list of what went wrong is empty if all is well. */
async function playAll(changes: Partial<Play>): Promise<Outcome> {
  const play = { ...USUAL, ...changes };
  const outcomes: Outcome[] = [];
  for (const seed of play.seeds) outcomes.push(await playSeed(play, seed));
  return {
    failed: outcomes.flatMap(({ failed }) => failed),
    undone: outcomes.flatMap(({ undone }) => undone),
    broken: outcomes.flatMap(({ broken }) => broken),
  };
}

function withShape(shape: Partial<TestUtils.CutShape>): Partial<Play> {
  return { shape: { ...USUAL.shape, ...shape }, seeds: FEW_SEEDS };
}

/** Each way in which endpoints are cut off, and what it changes in the play. */
const VARIANTS: Readonly<Record<string, Partial<Play>>> = {
  "whose orders are lost": {},
  "whose orders are never answered": {
    shape: { ...USUAL.shape, fate: Silent },
  },
  "under gangs": { gangs: true },
  "while coordinators change": { changesCoordinator: true },
  "under gangs while coordinators change": {
    gangs: true,
    changesCoordinator: true,
    seeds: FEW_SEEDS,
  },
  "and listed again before they are reached": withShape({ entryBackMs: 4000 }),
  "and reached before they are listed again": withShape({ healsMs: 5000 }),
  "and reached while the run goes on": withShape({
    healsMs: 3500,
    entryBackMs: 3500,
  }),
};

vitest.describe("endpoints that are cut off and live on", () => {
  for (const [name, changes] of Object.entries(VARIANTS)) {
    vitest.it(`fail no workflow, ${name}`, async () => {
      vitest.expect(await playAll(changes)).toEqual({
        failed: [],
        undone: [],
        broken: [],
      });
    }, TIMEOUT_MS);
  }
});
