/**
 * Random faults over several nodes: kills, outages of the store for one node or
 * all, or of some partitions, cut links, lost answers, connections that turn
 * silent, orders that are lost, unanswered or late, failing runs, endpoints that
 * crash, that fail all they start and are not heard then, tasks that crash their
 * endpoints, and data centres that are evacuated.
 * CAIRNGATE_FAULT_RUNS sets how many seeds are played, CAIRNGATE_FAULT_FROM the
 * first of them.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import process from "node:process";
import * as vitest from "vitest";

const SEEDS = Number(process.env["CAIRNGATE_FAULT_RUNS"] ?? 12);
const FIRST_SEED = Number(process.env["CAIRNGATE_FAULT_FROM"] ?? 1);
const ROUNDS = 12;
const ROUND_MS = 900;
/** Times from the start of a crashing task to its crash, in ms. */
const CRASH_AFTER_MS: readonly number[] = [0, 10, 400, 1500];
/** Share of the workflows whose tasks crash their endpoints. */
const CRASHER_SHARE = 0.15;
/** Shares of the orders that go astray in a round. */
const ORDER_SHARES: readonly number[] = [0, 0.1, 0.6];
const END_LIMIT_MS = 120_000;

/** Breaks one thing. */
async function breakSomething(
  fleet: TestUtils.TestFleet,
  random: TestUtils.SeededRandom,
  grey: TestUtils.GreyEndpoints,
): Promise<void> {
  const names = [...fleet.nodes.keys()];
  const name = random.choose(names);
  switch (random.between(0, 11)) {
    case 0: {
      const victim = fleet.coordinator() ?? name;
      if (!fleet.nodes.has(victim)) return;
      await fleet.kill(victim);
      fleet.startNode(`${victim}+`);
      return;
    }
    case 1:
      return fleet.faultsOf(name).set({ down: true });
    case 2:
      for (const each of names) fleet.faultsOf(each).set({ down: true });
      return;
    case 6:
      return fleet.faultsOf(name).set({ silent: true });
    case 7: {
      const cut = name;
      fleet.links.passes = (from, to) => from !== cut && to !== cut;
      return;
    }
    case 8:
      return fleet.silenceOpen();
    case 9:
      return fleet.workers.crash(random.choose(fleet.workers.listLives()));
    case 10:
      for (const id of fleet.workers.listLives()) fleet.workers.crash(id);
      return;
    case 11:
      return grey.add(random.choose(fleet.workers.listLives()));
    case 3:
      return fleet.faultsOf(name).set({ loseAnswers: 0.4 });
    case 4: {
      const isAway = () => random.next() < 0.35;
      const downPartitions = TableClient.Keys.PARTITIONS.filter(isAway);
      for (const each of names) fleet.faultsOf(each).set({ downPartitions });
      return;
    }
    default:
      return fleet.faultsOf(name).set({ delayMs: 120 });
  }
}

function mendNodes(fleet: TestUtils.TestFleet): void {
  fleet.links.passes = () => true;
  for (const name of fleet.nodes.keys()) {
    fleet.faultsOf(name).set({
      down: false,
      silent: false,
      downPartitions: [],
      loseAnswers: 0,
      delayMs: 0,
    });
  }
}

/** Lets some orders go astray. */
function breakOrders(
  fleet: TestUtils.TestFleet,
  random: TestUtils.SeededRandom,
  share: number,
  grey: TestUtils.GreyEndpoints,
): void {
  const fates = [
    StandIns.OrderFate.Lost,
    StandIns.OrderFate.AnswerLost,
    StandIns.OrderFate.Late,
  ];
  fleet.workers.carry = (endpoint) => {
    if (grey.isSilent(endpoint)) return StandIns.OrderFate.Lost;
    return random.next() < share
      ? random.choose(fates)
      : StandIns.OrderFate.Carried;
  };
}

/** Hands in somewhere; a refusal is tried again at other nodes. */
async function submitSomewhere(
  fleet: TestUtils.TestFleet,
  random: TestUtils.SeededRandom,
  id: string,
): Promise<boolean> {
  const steps = [
    TestUtils.buildStep({ count: random.between(1, 3) }),
    TestUtils.buildStep({ count: 2, gang: true, after: [0] }),
  ];
  for (const name of fleet.nodes.keys()) {
    // A call there would last as long as the box stands still.
    if (fleet.clocks.get(name)?.isSuspended === true) continue;
    const priority = random.between(0, 2);
    const done = await fleet.submit(name, id, { steps, priority })
      .then(() => true, () => false);
    if (done) return true;
  }
  return false;
}

/** Accelerators of the endpoints. */
const SIZES: readonly number[] = [2, 2, 1, 1];

/** Kinds of faults beside the usual ones. */
interface PlayKinds {
  readonly changesRooms?: boolean;
  readonly suspends?: boolean;
  readonly evacuates?: boolean;
}

/** Endpoints of each size stand in both data centres. */
const dataCentreOf = (place: number) => place % 2 === 0 ? "dc-1" : "dc-2";

async function play(seed: number, kinds: PlayKinds = {}): Promise<string[]> {
  const fleet = new TestUtils.TestFleet({
    seed,
    workers: SIZES,
    dataCentreOf,
  });
  const rooms = kinds.changesRooms
    ? new TestUtils.ChangingRooms(fleet, { seed, sizes: SIZES })
    : null;
  const suspensions = kinds.suspends
    ? new TestUtils.Suspensions(fleet, seed)
    : null;
  const evacuations = kinds.evacuates
    ? new TestUtils.Evacuations(fleet, { seed, dataCentres: ["dc-1", "dc-2"] })
    : null;
  const random = new TestUtils.SeededRandom(seed);
  const grey = new TestUtils.GreyEndpoints(fleet);
  fleet.workers.behave = (task, endpoint) => ({
    runMs: grey.has(endpoint)
      ? TestUtils.GREY_FAILS_MS
      : random.between(300, 2500),
    fails: grey.has(endpoint) || random.next() < 0.02,
    ...(task.startsWith(TestUtils.CRASHER)
      ? { runMs: END_LIMIT_MS, crashesAfterMs: random.choose(CRASH_AFTER_MS) }
      : {}),
  });
  await fleet.start();
  const accepted: string[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const kind = random.next() < CRASHER_SHARE ? TestUtils.CRASHER : "a";
    const id = `${kind}${String(round).padStart(15, "0")}`;
    if (await submitSomewhere(fleet, random, id)) accepted.push(id);
    breakOrders(fleet, random, random.choose(ORDER_SHARES), grey);
    rooms?.change();
    suspensions?.next();
    evacuations?.change();
    const faults = random.between(1, 3);
    for (let i = 0; i < faults; i++) {
      await breakSomething(fleet, random, grey);
      await fleet.clock.advance(ROUND_MS);
    }
    mendNodes(fleet);
    grey.clear();
    await fleet.clock.advance(ROUND_MS);
  }
  fleet.workers.carry = () => StandIns.OrderFate.Carried;
  rooms?.restore();
  suspensions?.end();
  evacuations?.endAll();
  const isOver = (id: string) => {
    const state = fleet.state(id);
    return state !== null && Workflow.isFinal(state);
  };
  const ended = await fleet.until(() => accepted.every(isOver), END_LIMIT_MS);
  const violations = TestUtils.findBrokenRuns(fleet);
  violations.push(...rooms?.findViolations() ?? []);
  violations.push(...evacuations?.findViolations() ?? []);
  violations.push(
    ...accepted.flatMap((id) => TestUtils.checkFailed(fleet, id)),
  );
  if (!ended) {
    violations.push(`not ended: ${accepted.filter((id) => !isOver(id))}`);
  }
  await fleet.stop();
  return violations;
}

/**
 * Seeds that have shown a fault: 1110 an older listing that ended the newest life
 * of its endpoint; 1129, 1230 and five like them work given up for crashes with
 * which it was not there; 1554 and below work started too often, because nobody
 * knew after a takeover that it had been there.
 */
const FAULTY_SEEDS: readonly number[] = [
  ...[1110, 1129, 1131, 1207, 1230, 1231, 1301, 1336],
  ...[1554, 2135, 2154, 2222, 2255, 2331, 3037, 3257, 3347],
];

vitest.describe("random faults that were found", () => {
  for (const seed of FAULTY_SEEDS) {
    vitest.it(`break nothing any more, seed ${seed}`, async () => {
      vitest.expect(await play(seed)).toEqual([]);
    });
  }
});

vitest.describe("random faults", () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      vitest.expect(await play(seed)).toEqual([]);
    });
  }
});

vitest.describe("random faults and rooms that change", () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    vitest.it(`start nothing without room, seed ${seed}`, async () => {
      vitest.expect(await play(seed, { changesRooms: true })).toEqual([]);
    });
  }
});

vitest.describe("random faults and boxes that stand still", () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      vitest.expect(await play(seed, { suspends: true })).toEqual([]);
    });
  }
});

vitest.describe("random faults and evacuations of data centres", () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    vitest.it(`start nothing there, seed ${seed}`, async () => {
      vitest.expect(await play(seed, { evacuates: true })).toEqual([]);
    });
  }
});

vitest.describe("evacuations and boxes that stand still", () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    vitest.it(`start nothing there, seed ${seed}`, async () => {
      const kinds = { evacuates: true, suspends: true };
      vitest.expect(await play(seed, kinds)).toEqual([]);
    });
  }
});
