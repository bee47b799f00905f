/**
 * Random plays of gangs on endpoints as slow as those of users: stops that take their
 * time, members that end one after another, urgent gangs that take the room of others,
 * and cancels, evacuations, takeovers, cuts, resets and crashes in the middle of it.
 */
import type * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as cuts from "./brief_cuts.ts";
import * as drawnWays from "./drawn_ways.ts";
import * as evacuated from "./evacuations.ts";
import * as reborn from "./rebirths.ts";
import * as rooms from "./room_check.ts";
import * as checks from "./run_checks.ts";
import * as randoms from "./seeded_random.ts";
import * as slowEnds from "./slow_ends.ts";
import * as faults from "./slow_faults.ts";
import * as stands from "./standstill_check.ts";
import * as fleets from "./test_fleet.ts";

/** Accelerators of the endpoints, which stand in two data centres by turns. */
const SIZES: readonly number[] = [2, 2, 2, 2, 2, 2, 2, 2];
const DATA_CENTRES: readonly string[] = ["dc-1", "dc-2"];
/** Rounds of a play; each hands gangs in and breaks one to three things. */
const ROUNDS = 12;
/** Members of an urgent gang fit into the team's guarantee, 4. */
const MEMBERS = { least: 2, mostUrgent: 4 };
/** Share of the rounds with an urgent gang, 0 to 1. */
const RUSH_SHARE = 0.8;
/**
 * Other work, by play: so little that a gang which broke finds room elsewhere at once,
 * or more than there is room for, so that urgent gangs take it from others.
 */
const LOADS: readonly Load[] = [
  { mostGangs: 1, mostMembers: 3 },
  { mostGangs: 2, mostMembers: 6 },
];
/** Time of a run, in ms; all members of a gang take the same. */
const RUN_MS = { least: 2000, most: 8000 };
/** Share of the runs that fail, sooner or later: a gang of six breaks in one of four. */
const FAIL_SHARE = 0.05;
/** Time after which a run fails at the earliest, in ms. */
const LEAST_FAILING_MS = 100;
/** Share of the faults that strike while a run is about to end, if one is. */
const IN_END_SHARE = 0.7;
/** Share of the faults before which a gang breaks of itself. */
const BREAK_SHARE = 0.5;
/** Longest wait for such an end, and time after a fault, in ms. */
const AWAIT_END_MS = 600;
const PAUSE_MS = { least: 0, most: 500 };
/** Time after the faults of a round, in ms. */
const ROUND_PAUSE_MS = { least: 100, most: 1500 };
const END_LIMIT_MS = 120_000;
/** Whole steps from the seed, so that each part draws numbers of its own. */
const SEED_STEPS = {
  play: 4_000_037,
  ends: 5_000_011,
  cuts: 6_000_011,
  faults: 7_000_003,
  rebirths: 8_000_009,
  ways: 9_000_011,
  runs: 10_000_019,
};

/** How much is handed in in a round, beside urgent gangs. */
interface Load {
  readonly mostGangs: number;
  readonly mostMembers: number;
}

/** What may be chosen of a play. */
export interface SlowPlayOptions {
  /** Logger of each box, for those who trace a seed. */
  readonly logOf?: (node: string, clock: Ports.Clock) => Logger.Logger;
}

/** One play. */
class SlowPlay {
  readonly fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #ends: slowEnds.SlowEnds;
  readonly #cuts: cuts.BriefCuts;
  readonly #evacuations: evacuated.Evacuations;
  readonly #rebirths: reborn.Rebirths;
  readonly #faults: faults.SlowFaults;
  readonly #load: Load;
  readonly #accepted: faults.HandedIn[] = [];

  constructor(seed: number, { logOf }: SlowPlayOptions) {
    this.fleet = new fleets.TestFleet({
      seed,
      workers: SIZES,
      dataCentreOf: (place) => DATA_CENTRES[place % DATA_CENTRES.length],
      ...(logOf === undefined ? {} : { logOf }),
    });
    const { fleet } = this;
    this.#random = new randoms.SeededRandom(seed + SEED_STEPS.play);
    this.#load = this.#random.choose(LOADS);
    this.#ends = new slowEnds.SlowEnds(fleet, seed + SEED_STEPS.ends);
    this.#cuts = new cuts.BriefCuts(fleet, seed + SEED_STEPS.cuts);
    this.#rebirths = new reborn.Rebirths(fleet, seed + SEED_STEPS.rebirths);
    const dataCentres = DATA_CENTRES;
    this.#evacuations = new evacuated.Evacuations(fleet, { seed, dataCentres });
    this.#faults = new faults.SlowFaults({
      fleet,
      seed: seed + SEED_STEPS.faults,
      cuts: this.#cuts,
      evacuations: this.#evacuations,
      ends: this.#ends,
      open: () => this.#accepted.filter(({ id }) => !this.#isOver(id)),
    });
    this.#setEndpoints(seed);
  }

  /** Plays it; returns what broke a promise, in words. */
  async play(): Promise<string[]> {
    await this.fleet.start();
    for (let round = 0; round < ROUNDS; round++) await this.#playRound(round);
    this.#cuts.endAll();
    this.#evacuations.endAll();
    const found = await this.#awaitEnd();
    this.#rebirths.end();
    await this.fleet.stop();
    return found;
  }

  /** Endpoints that start whatever they are told, so that a start too many shows. */
  #setEndpoints(seed: number): void {
    const { workers } = this.fleet;
    const runs = new randoms.SeededRandom(seed + SEED_STEPS.runs);
    const runMs = new Map<string, number>();
    workers.guardsRoom = false;
    workers.carry = (endpoint) => this.#cuts.fateOf(endpoint);
    workers.ways.times = drawnWays.drawWays(seed + SEED_STEPS.ways);
    workers.behave = (task) => {
      const [id] = task.split(".");
      const ms = runMs.get(id) ?? runs.between(RUN_MS.least, RUN_MS.most);
      runMs.set(id, ms);
      const fails = runs.next() < FAIL_SHARE;
      return { runMs: fails ? runs.between(LEAST_FAILING_MS, ms) : ms, fails };
    };
  }

  async #playRound(round: number): Promise<void> {
    // One digit: ids are filled up with zeros.
    const digit = round.toString(ROUNDS);
    for (let i = this.#random.between(1, this.#load.mostGangs); i > 0; i--) {
      await this.#handIn(`a${digit}-${i}`, this.#random.between(1, 2));
    }
    if (this.#random.next() < RUSH_SHARE) await this.#handIn(`u${digit}`, 0);
    for (let left = this.#random.between(1, 3); left > 0; left--) {
      if (this.#random.next() < BREAK_SHARE) this.#faults.breakGang();
      if (this.#random.next() < IN_END_SHARE) {
        await this.#ends.awaitOne(AWAIT_END_MS);
      }
      await this.#faults.strike();
      await this.#pause(PAUSE_MS);
    }
    await this.#pause(ROUND_PAUSE_MS);
  }

  async #pause(length: { least: number; most: number }): Promise<void> {
    await this.#ends.advance(this.#random.between(length.least, length.most));
  }

  /** Hands a gang in somewhere; a refusal is tried again at other nodes. */
  async #handIn(name: string, priority: number): Promise<void> {
    const id = name.padEnd(16, "0");
    const most = priority === 0 ? MEMBERS.mostUrgent : this.#load.mostMembers;
    const count = this.#random.between(MEMBERS.least, most);
    const estimateMs = RUN_MS.most;
    const steps = [fleets.buildStep({ count, gang: true, estimateMs })];
    for (const node of this.fleet.nodes.keys()) {
      const handedIn = this.fleet.submit(node, id, { steps, priority });
      if (!await handedIn.then(() => true, () => false)) continue;
      this.#accepted.push({ id, priority });
      return;
    }
  }

  #isOver(id: string): boolean {
    const state = this.fleet.state(id);
    return state !== null && Workflow.isFinal(state);
  }

  async #awaitEnd(): Promise<string[]> {
    const { fleet } = this;
    const ids = this.#accepted.map(({ id }) => id);
    const standstills = new stands.StandstillCheck(fleet);
    const ended = await fleet.until(() => {
      standstills.look(ids);
      return ids.every((id) => this.#isOver(id));
    }, END_LIMIT_MS);
    return [
      ...checks.findBrokenRuns(fleet),
      ...rooms.findOverfull(fleet, SIZES),
      ...this.#evacuations.findViolations(),
      ...ids.flatMap((id) => checks.checkFailedGang(fleet, id)),
      ...standstills.found,
      ...ended
        ? []
        : ids.filter((id) => !this.#isOver(id)).map((id) =>
          `${id} has not ended`
        ),
    ];
  }
}

/** Plays one seed; returns what broke a promise, in words. */
export async function playSlowEnds(
  seed: number,
  options: SlowPlayOptions = {},
): Promise<string[]> {
  return await new SlowPlay(seed, options).play();
}
