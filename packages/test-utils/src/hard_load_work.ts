/**
 * Additional work that puts a random simulation under hard load: teams of very
 * different size submit more than the endpoints have capacity for, and endpoints differ
 * in speed.
 */
import * as Types from "@cairngate/types";
import type * as Ports from "@cairngate/ports";
import * as randoms from "./seeded_random.ts";
import * as fleets from "./test_fleet.ts";

/** Guaranteed accelerators of the teams. */
const GUARANTEES: Readonly<Record<string, number>> = {
  hana: 4,
  bara: 1,
  cyril: 1,
};
const TEAMS: readonly string[] = Object.keys(GUARANTEES);
/** Factor on the run time of each endpoint, by index of its address. */
const RUN_TIME_FACTORS: readonly number[] = [1, 1.7, 0.6, 1.7];
/** Limit on additional workflows per batch. */
const MAX_EXTRA_WORKFLOWS = 3;

/** Options of a fleet under hard load. */
export const HARD_LOAD_OPTIONS: {
  readonly config: Ports.AccessConfig;
  readonly hardLoad: Types.HardLoadSettings;
} = {
  config: fleets.buildAccess(GUARANTEES),
  hardLoad: {
    competingTeams: Types.FeatureMode.On,
    unevenEndpoints: Types.FeatureMode.On,
  },
};

/** Submits the additional work of one simulation. */
export class HardLoadWork {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #accepted: string[] = [];
  /** Workflows rejected by every box that was not suspended. */
  readonly #rejected: string[] = [];
  #submittedCount = 0;

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed);
  }

  /** Factor on the run time of an endpoint. */
  runTimeFactorOf(endpoint: string): number {
    return RUN_TIME_FACTORS[
      this.#fleet.indexOf(endpoint) % RUN_TIME_FACTORS.length
    ];
  }

  /** Workflows that a box has accepted. */
  get accepted(): readonly string[] {
    return this.#accepted;
  }

  /** Submits a random number of workflows to boxes that are not suspended. */
  async submitBatch(): Promise<void> {
    const count = this.#random.between(0, MAX_EXTRA_WORKFLOWS);
    for (let i = 0; i < count; i++) await this.#submitOne();
  }

  /** Describes the workflows that were rejected by every box and ran all the same. */
  findViolations(): string[] {
    return this.#rejected
      .filter((id) =>
        this.#fleet.workers.runs.some(({ task }) => task.startsWith(`${id}.`))
      )
      .map((id) => `${id} was rejected by every box but ran`);
  }

  async #submitOne(): Promise<void> {
    const random = this.#random;
    const id = `b${String(this.#submittedCount++).padStart(15, "0")}`;
    const priority = random.between(0, 2);
    const options = {
      priority,
      tenant: random.choose(TEAMS),
      steps: [
        fleets.buildStep({
          count: random.between(1, 3),
          gang: priority < 2,
          checkpoints: random.next() < 0.5,
          estimateMs: random.between(300, 3000),
        }),
      ],
    };
    let isAccepted = false;
    let isUncertain = false;
    for (const name of this.#fleet.boxes.keys()) {
      if (this.#fleet.clocks.get(name)?.isSuspended === true) continue;
      const error = await this.#fleet.submit(name, id, options)
        .then(() => null, (err: unknown) => err);
      isAccepted ||= error === null;
      isUncertain ||= hasUnknownOutcome(error);
      if (isAccepted) break;
    }
    if (isAccepted) this.#accepted.push(id);
    else if (!isUncertain) this.#rejected.push(id);
  }
}

/** Whether the box of an error may have accepted the work. */
function hasUnknownOutcome(error: unknown): boolean {
  return typeof error === "object" && error !== null &&
    "perhapsDone" in error && error.perhapsDone === true;
}
