/**
 * Random faults over several nodes: kills, outages of the store for one node or
 * all, or of some partitions, cut links, lost answers, connections that turn
 * silent, orders that are lost, unanswered or late, failing runs.
 * CAIRNGATE_FAULT_RUNS sets how many seeds are played.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import process from "node:process";
import * as vitest from "vitest";

const SEEDS = Number(process.env["CAIRNGATE_FAULT_RUNS"] ?? 12);
const ROUNDS = 12;
const ROUND_MS = 900;
/** Shares of the orders that go astray in a round. */
const ORDER_SHARES: readonly number[] = [0, 0.1, 0.6];
const END_LIMIT_MS = 120_000;

/** What went wrong, in words. */
function findViolations(fleet: TestUtils.TestFleet): string[] {
  fleet.workers.settle();
  const byTask = new Map<string, StandIns.TaskRunNote[]>();
  for (const note of fleet.workers.runs) {
    byTask.set(note.task, [...byTask.get(note.task) ?? [], note]);
  }
  return [...byTask.values()].flatMap(checkRuns);
}

function checkRuns(runs: readonly StandIns.TaskRunNote[]): string[] {
  const found: string[] = [];
  for (const first of runs) {
    for (const second of runs) {
      if (first === second || second.startedAtMs < first.startedAtMs) continue;
      const endedAtMs = first.endedAtMs ?? Number.POSITIVE_INFINITY;
      const pair = `${first.task} runs ${first.run} and ${second.run}`;
      if (second.startedAtMs < endedAtMs) found.push(`${pair} at once`);
      if (isNotedDone(first)) found.push(`${pair}: the first was done`);
    }
  }
  return found;
}

/** An end that is noted stands, unless the lease ran out before it was. */
function isNotedDone(note: StandIns.TaskRunNote): boolean {
  const { how, acknowledgedAtMs, hasLapsedMeanwhile } = note;
  return how === "done" && acknowledgedAtMs !== null && !hasLapsedMeanwhile;
}

/** Breaks one thing. */
async function breakSomething(
  fleet: TestUtils.TestFleet,
  random: TestUtils.SeededRandom,
): Promise<void> {
  const names = [...fleet.nodes.keys()];
  const name = random.choose(names);
  switch (random.between(0, 8)) {
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
): void {
  const fates = [
    StandIns.OrderFate.Lost,
    StandIns.OrderFate.AnswerLost,
    StandIns.OrderFate.Late,
  ];
  fleet.workers.carry = () =>
    random.next() < share ? random.choose(fates) : StandIns.OrderFate.Carried;
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
    const priority = random.between(0, 2);
    const done = await fleet.submit(name, id, { steps, priority })
      .then(() => true, () => false);
    if (done) return true;
  }
  return false;
}

async function play(seed: number): Promise<string[]> {
  const fleet = new TestUtils.TestFleet({ seed, workers: [2, 2, 1, 1] });
  const random = new TestUtils.SeededRandom(seed);
  fleet.workers.behave = () => ({
    runMs: random.between(300, 2500),
    fails: random.next() < 0.02,
  });
  await fleet.start();
  const accepted: string[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const id = `a${String(round).padStart(15, "0")}`;
    if (await submitSomewhere(fleet, random, id)) accepted.push(id);
    breakOrders(fleet, random, random.choose(ORDER_SHARES));
    const faults = random.between(1, 3);
    for (let i = 0; i < faults; i++) {
      await breakSomething(fleet, random);
      await fleet.clock.advance(ROUND_MS);
    }
    mendNodes(fleet);
    await fleet.clock.advance(ROUND_MS);
  }
  fleet.workers.carry = () => StandIns.OrderFate.Carried;
  const isOver = (id: string) => {
    const state = fleet.state(id);
    return state !== null && Workflow.isFinal(state);
  };
  const ended = await fleet.until(() => accepted.every(isOver), END_LIMIT_MS);
  const violations = findViolations(fleet);
  if (!ended) {
    violations.push(`not ended: ${accepted.filter((id) => !isOver(id))}`);
  }
  await fleet.stop();
  return violations;
}

vitest.describe("random faults", () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      vitest.expect(await play(seed)).toEqual([]);
    });
  }
});
