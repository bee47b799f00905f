/**
 * Random simulations of gangs on endpoints that end runs as slowly as those of users:
 * stops are delayed, members end one after another, urgent gangs preempt others, and
 * cancels, evacuations, takeovers, cuts, resets and crashes happen meanwhile.
 */
import type * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as cuts from "./brief_cuts.ts";
import * as delays from "./random_delays.ts";
import * as evacuated from "./evacuations.ts";
import * as endpointRestarts from "./endpoint_restarts.ts";
import * as capacityChecks from "./capacity_check.ts";
import * as checks from "./run_checks.ts";
import * as randoms from "./seeded_random.ts";
import * as slowEnds from "./slow_ends.ts";
import * as faults from "./slow_faults.ts";
import * as standstill from "./standstill_check.ts";
import * as fleets from "./test_fleet.ts";

/** Accelerators of the endpoints, which alternate between two data centres. */
const SIZES: readonly number[] = [2, 2, 2, 2, 2, 2, 2, 2];
const DATA_CENTRES: readonly string[] = ["dc-1", "dc-2"];
/** Rounds of a simulation; each submits gangs and injects one to three faults. */
const ROUNDS = 12;
/** Members of a gang; an urgent gang fits into the team's guarantee of 4. */
const MEMBERS = { min: 2, maxUrgent: 4 };
/** Share of the rounds with an urgent gang, 0 to 1. */
const URGENT_SHARE = 0.8;
/**
 * Loads of non-urgent work, of which a simulation draws one: so little that a broken
 * gang restarts elsewhere at once, or more than fits, so that urgent gangs preempt
 * others.
 */
const LOADS: readonly Load[] = [
  { maxGangs: 1, maxMembers: 3 },
  { maxGangs: 2, maxMembers: 6 },
];
/** Run time, in ms, the same for all members of a gang. */
const RUN_MS = { min: 2000, max: 8000 };
/** Share of the runs that fail, 0 to 1: one gang of six in four breaks. */
const FAIL_SHARE = 0.05;
/** Shortest time from the start of a run to its failure, in ms. */
const MIN_FAILURE_MS = 100;
/** Share of the faults that wait until a run is about to end, 0 to 1. */
const PENDING_END_SHARE = 0.7;
/** Share of the faults before which a gang breaks without an order, 0 to 1. */
const BREAK_SHARE = 0.5;
/** Longest wait for a run that is about to end, in ms. */
const PENDING_END_TIMEOUT_MS = 600;
const PAUSE_MS = { min: 0, max: 500 };
/** Time after the faults of a round, in ms. */
const ROUND_PAUSE_MS = { min: 100, max: 1500 };
const END_TIMEOUT_MS = 120_000;
/** Offsets from the seed, so that each part has its own random numbers. */
const SEED_OFFSETS = {
  workload: 4_000_037,
  ends: 5_000_011,
  cuts: 6_000_011,
  faults: 7_000_003,
  restarts: 8_000_009,
  transits: 9_000_011,
  runs: 10_000_019,
};

/** Limits on the non-urgent gangs that a round submits. */
interface Load {
  readonly maxGangs: number;
  readonly maxMembers: number;
}

/** Options of a simulation of slow ends. */
export interface SlowEndOptions {
  /** Logger of each box, to trace a seed. */
  readonly logOf?: (box: string, clock: Ports.Clock) => Logger.Logger;
}

/** One simulation. */
class SlowEndSimulation {
  readonly fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #ends: slowEnds.SlowEnds;
  readonly #cuts: cuts.BriefCuts;
  readonly #evacuations: evacuated.Evacuations;
  readonly #restarts: endpointRestarts.EndpointRestarts;
  readonly #faults: faults.SlowFaults;
  readonly #load: Load;
  readonly #accepted: faults.SubmittedWorkflow[] = [];

  constructor(seed: number, { logOf }: SlowEndOptions) {
    this.fleet = new fleets.TestFleet({
      seed,
      workers: SIZES,
      dataCentreOf: (place) => DATA_CENTRES[place % DATA_CENTRES.length],
      ...(logOf === undefined ? {} : { logOf }),
    });
    const { fleet } = this;
    this.#random = new randoms.SeededRandom(seed + SEED_OFFSETS.workload);
    this.#load = this.#random.choose(LOADS);
    this.#ends = new slowEnds.SlowEnds(fleet, seed + SEED_OFFSETS.ends);
    this.#cuts = new cuts.BriefCuts(fleet, seed + SEED_OFFSETS.cuts);
    this.#restarts = new endpointRestarts.EndpointRestarts(
      fleet,
      seed + SEED_OFFSETS.restarts,
    );
    const dataCentres = DATA_CENTRES;
    this.#evacuations = new evacuated.Evacuations(fleet, { seed, dataCentres });
    this.#faults = new faults.SlowFaults({
      fleet,
      seed: seed + SEED_OFFSETS.faults,
      cuts: this.#cuts,
      evacuations: this.#evacuations,
      ends: this.#ends,
      open: () => this.#accepted.filter(({ id }) => !this.#isOver(id)),
    });
    this.#configureEndpoints(seed);
  }

  /** Runs the simulation; returns a message for each violated guarantee. */
  async run(): Promise<string[]> {
    await this.fleet.start();
    for (let round = 0; round < ROUNDS; round++) await this.#runRound(round);
    this.#cuts.endAll();
    this.#evacuations.endAll();
    const violations = await this.#awaitEnd();
    this.#restarts.end();
    await this.fleet.stop();
    return violations;
  }

  /**
   * Makes endpoints accept starts beyond their capacity, so that the checks see them.
   */
  #configureEndpoints(seed: number): void {
    const { workers } = this.fleet;
    const runs = new randoms.SeededRandom(seed + SEED_OFFSETS.runs);
    const runMs = new Map<string, number>();
    workers.enforcesCapacity = false;
    workers.decideOutcome = (endpoint) => this.#cuts.outcomeOf(endpoint);
    workers.transit.times = delays.drawDelays(seed + SEED_OFFSETS.transits);
    workers.behave = (task) => {
      const [id] = task.split(".");
      const ms = runMs.get(id) ?? runs.between(RUN_MS.min, RUN_MS.max);
      runMs.set(id, ms);
      const fails = runs.next() < FAIL_SHARE;
      return { runMs: fails ? runs.between(MIN_FAILURE_MS, ms) : ms, fails };
    };
  }

  async #runRound(round: number): Promise<void> {
    // One digit, as ids are padded with zeros.
    const digit = round.toString(ROUNDS);
    for (let i = this.#random.between(1, this.#load.maxGangs); i > 0; i--) {
      await this.#submit(`a${digit}-${i}`, this.#random.between(1, 2));
    }
    if (this.#random.next() < URGENT_SHARE) await this.#submit(`u${digit}`, 0);
    for (let left = this.#random.between(1, 3); left > 0; left--) {
      if (this.#random.next() < BREAK_SHARE) this.#faults.breakGang();
      if (this.#random.next() < PENDING_END_SHARE) {
        await this.#ends.awaitEnd(PENDING_END_TIMEOUT_MS);
      }
      await this.#faults.inject();
      await this.#pause(PAUSE_MS);
    }
    await this.#pause(ROUND_PAUSE_MS);
  }

  async #pause(length: { min: number; max: number }): Promise<void> {
    await this.#ends.advance(this.#random.between(length.min, length.max));
  }

  /** Submits a gang to the first box that accepts it. */
  async #submit(name: string, priority: number): Promise<void> {
    const id = name.padEnd(16, "0");
    const max = priority === 0 ? MEMBERS.maxUrgent : this.#load.maxMembers;
    const count = this.#random.between(MEMBERS.min, max);
    const estimateMs = RUN_MS.max;
    const steps = [fleets.buildStep({ count, gang: true, estimateMs })];
    for (const box of this.fleet.boxes.keys()) {
      const submission = this.fleet.submit(box, id, { steps, priority });
      if (!await submission.then(() => true, () => false)) continue;
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
    const standstills = new standstill.StandstillCheck(fleet);
    const ended = await fleet.until(() => {
      standstills.check(ids);
      return ids.every((id) => this.#isOver(id));
    }, END_TIMEOUT_MS);
    return [
      ...checks.findRunViolations(fleet),
      ...capacityChecks.findOverloaded(fleet, SIZES),
      ...this.#evacuations.findViolations(),
      ...ids.flatMap((id) => checks.checkFailedGang(fleet, id)),
      ...standstills.violations,
      ...ended
        ? []
        : ids.filter((id) => !this.#isOver(id)).map((id) =>
          `${id} did not end`
        ),
    ];
  }
}

/** Simulates one seed; returns a message for each violated guarantee. */
export async function simulateSlowEnds(
  seed: number,
  options: SlowEndOptions = {},
): Promise<string[]> {
  return await new SlowEndSimulation(seed, options).run();
}
