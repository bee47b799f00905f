/**
 * Random faults over several nodes: kills, outages of the store for one node or
 * all, or of some partitions, cut links, lost answers, connections that turn
 * silent, orders that are lost, unanswered or late, failing runs, endpoints that
 * crash, that fail all they start and are not heard then, tasks that crash their
 * endpoints, data centres that are evacuated, and entries that do not tell which
 * endpoints live.
 */
import type * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as StandIns from "@cairngate/stand-ins";
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as roomChanges from "./changing_rooms.ts";
import * as evacuated from "./evacuations.ts";
import * as greys from "./grey_endpoints.ts";
import * as hardLoads from "./hard_load_work.ts";
import * as lapsing from "./random_lapses.ts";
import * as reborn from "./rebirths.ts";
import * as checks from "./run_checks.ts";
import * as randoms from "./seeded_random.ts";
import * as stands from "./standstill_check.ts";
import * as suspended from "./suspensions.ts";
import * as fleets from "./test_fleet.ts";

/** Rounds of a play; each hands a workflow in and breaks one to three things. */
const ROUNDS = 12;
/** Time after each fault, and of mended peace, in ms: less than a takeover takes. */
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
  fleet: fleets.TestFleet,
  random: randoms.SeededRandom,
  grey: greys.GreyEndpoints,
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

function mendNodes(fleet: fleets.TestFleet): void {
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
  fleet: fleets.TestFleet,
  random: randoms.SeededRandom,
  share: number,
  fateOf: (endpoint: string) => StandIns.OrderFate | null,
): void {
  const fates = [
    StandIns.OrderFate.Lost,
    StandIns.OrderFate.AnswerLost,
    StandIns.OrderFate.Late,
  ];
  fleet.workers.carry = (endpoint) => {
    const fate = fateOf(endpoint);
    if (fate !== null) return fate;
    return random.next() < share
      ? random.choose(fates)
      : StandIns.OrderFate.Carried;
  };
}

/** Hands in somewhere; a refusal is tried again at other nodes. */
async function submitSomewhere(
  fleet: fleets.TestFleet,
  random: randoms.SeededRandom,
  id: string,
  gang: number,
): Promise<boolean> {
  const steps = [
    fleets.buildStep({ count: random.between(1, 3) }),
    fleets.buildStep({ count: gang, gang: true, after: [0] }),
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
export interface PlayKinds extends lapsing.LapseKinds {
  readonly changesRooms?: boolean;
  /** Logger of each box, for those who trace a seed. */
  readonly logOf?: (node: string, clock: Ports.Clock) => Logger.Logger;
  readonly suspends?: boolean;
  readonly evacuates?: boolean;
  /** Data centres that are evacuated lose power at times, and come back cold. */
  readonly losesPower?: boolean;
  /** Stops, and the ends of a gang's other members, take their time. */
  readonly endsTakeTime?: boolean;
  /** Endpoints that crash begin again, mostly under the ids that they had. */
  readonly beginsAgain?: boolean;
  /** Uneven teams hand in more than endpoints of uneven speeds hold. */
  readonly underHardLoad?: boolean;
}

/** Longest time between the first end of a gang and that of another member, in ms. */
const FOLLOWS_MS = 400;

/** Runs are there for a while after they were told to end. */
function slowEnds({ workers }: fleets.TestFleet, seed: number): void {
  const random = new randoms.SeededRandom(seed);
  workers.stopTakesMs = () => random.between(0, fleets.FLEET_BOUNDS.stopMs);
  workers.gangFollowsMs = () => random.between(0, FOLLOWS_MS);
}

/** Endpoints of each size stand in both data centres. */
const dataCentreOf = (place: number) => place % 2 === 0 ? "dc-1" : "dc-2";

/** Plays one seed; returns what broke a promise, in words. */
export async function playRandomFaults(
  seed: number,
  kinds: PlayKinds = {},
): Promise<string[]> {
  const fleet = new fleets.TestFleet({
    seed,
    workers: SIZES,
    dataCentreOf,
    ...(kinds.logOf === undefined ? {} : { logOf: kinds.logOf }),
    ...(kinds.underHardLoad ? hardLoads.HARD_LOAD_OPTIONS : {}),
  });
  const hardLoad = kinds.underHardLoad
    ? new hardLoads.HardLoadWork(fleet, seed)
    : null;
  const rooms = kinds.changesRooms
    ? new roomChanges.ChangingRooms(fleet, { seed, sizes: SIZES })
    : null;
  const suspensions = kinds.suspends
    ? new suspended.Suspensions(fleet, seed)
    : null;
  const evacuations = kinds.evacuates
    ? new evacuated.Evacuations(fleet, {
      seed,
      dataCentres: ["dc-1", "dc-2"],
      losesPower: kinds.losesPower ?? false,
    })
    : null;
  const rebirths = kinds.beginsAgain ? new reborn.Rebirths(fleet, seed) : null;
  const random = new randoms.SeededRandom(seed);
  const grey = new greys.GreyEndpoints(fleet);
  const lapses = new lapsing.RandomLapses(fleet, seed, kinds);
  const fateOf = (endpoint: string) =>
    grey.isSilent(endpoint) ? StandIns.OrderFate.Lost : lapses.fateOf(endpoint);
  fleet.workers.behave = (task, endpoint) => ({
    runMs: grey.has(endpoint)
      ? greys.GREY_FAILS_MS
      : random.between(300, 2500) * (hardLoad?.slownessOf(endpoint) ?? 1),
    fails: grey.has(endpoint) || random.next() < 0.02,
    ...(task.startsWith(checks.CRASHER)
      ? { runMs: END_LIMIT_MS, crashesAfterMs: random.choose(CRASH_AFTER_MS) }
      : {}),
  });
  if (kinds.endsTakeTime) slowEnds(fleet, seed);
  // What one of two others shows is not what both show.
  const gang = kinds.endsTakeTime ? 3 : 2;
  await fleet.start();
  const accepted: string[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const kind = random.next() < CRASHER_SHARE ? checks.CRASHER : "a";
    const id = `${kind}${String(round).padStart(15, "0")}`;
    if (await submitSomewhere(fleet, random, id, gang)) accepted.push(id);
    await hardLoad?.handIn();
    breakOrders(fleet, random, random.choose(ORDER_SHARES), fateOf);
    rooms?.change();
    suspensions?.next();
    evacuations?.change();
    const faults = random.between(1, 3);
    for (let i = 0; i < faults; i++) {
      lapses.change();
      rebirths?.change();
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
  lapses.endAll();
  accepted.push(...hardLoad?.accepted ?? []);
  const isOver = (id: string) => {
    const state = fleet.state(id);
    return state !== null && Workflow.isFinal(state);
  };
  const standstills = new stands.StandstillCheck(fleet);
  const ended = await fleet.until(() => {
    standstills.look(accepted);
    return accepted.every(isOver);
  }, END_LIMIT_MS);
  const violations = checks.findBrokenRuns(fleet);
  violations.push(...rooms?.findViolations() ?? []);
  violations.push(...evacuations?.findViolations() ?? []);
  violations.push(...hardLoad?.findViolations() ?? []);
  violations.push(
    ...accepted.flatMap((id) => checks.checkFailed(fleet, id)),
  );
  violations.push(...standstills.found);
  if (!ended) {
    violations.push(`not ended: ${accepted.filter((id) => !isOver(id))}`);
  }
  lapses.stop();
  rebirths?.end();
  await fleet.stop();
  return violations;
}
