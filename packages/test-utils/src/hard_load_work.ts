/**
 * Work beside that of a random play which makes its load hard: teams of very different
 * size hand in more than the endpoints hold, and the endpoints differ in speed.
 */
import * as Types from "@cairngate/types";
import type * as Ports from "@cairngate/ports";
import * as randoms from "./seeded_random.ts";
import * as fleets from "./test_fleet.ts";

/** Accelerators that the teams have paid for; the first has most of them. */
const GUARANTEES: Readonly<Record<string, number>> = {
  hana: 4,
  bara: 1,
  cyril: 1,
};
const TEAMS: readonly string[] = Object.keys(GUARANTEES);
/** How much longer work takes on each endpoint, by its place. */
const SLOWNESS: readonly number[] = [1, 1.7, 0.6, 1.7];
/** Workflows that come beside each one of the play. */
const MOST_BESIDE = 3;

/** What a fleet under hard load is made with. */
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

/** Work that makes the load of a play hard. */
export class HardLoadWork {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #accepted: string[] = [];
  /** Workflows of which every box has said that they were not taken. */
  readonly #rejected: string[] = [];
  #handedIn = 0;

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed);
  }

  /** How much longer work takes on an endpoint. */
  slownessOf(endpoint: string): number {
    return SLOWNESS[this.#fleet.placeOf(endpoint) % SLOWNESS.length];
  }

  /** Workflows that some box has accepted. */
  get accepted(): readonly string[] {
    return this.#accepted;
  }

  /** Hands some workflows in, at boxes that run. */
  async handIn(): Promise<void> {
    const count = this.#random.between(0, MOST_BESIDE);
    for (let i = 0; i < count; i++) await this.#handInOne();
  }

  /** Work that was said not to be taken, and ran all the same. */
  findViolations(): string[] {
    return this.#rejected
      .filter((id) =>
        this.#fleet.workers.runs.some(({ task }) => task.startsWith(`${id}.`))
      )
      .map((id) => `${id} was rejected everywhere, and ran`);
  }

  async #handInOne(): Promise<void> {
    const random = this.#random;
    const id = `b${String(this.#handedIn++).padStart(15, "0")}`;
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
    let isTaken = false;
    let isUnknown = false;
    for (const name of this.#fleet.nodes.keys()) {
      if (this.#fleet.clocks.get(name)?.isSuspended === true) continue;
      const error = await this.#fleet.submit(name, id, options)
        .then(() => null, (err: unknown) => err);
      isTaken ||= error === null;
      isUnknown ||= isPerhapsDone(error);
      if (isTaken) break;
    }
    if (isTaken) this.#accepted.push(id);
    else if (!isUnknown) this.#rejected.push(id);
  }
}

/** Whether a box could not tell whether it has taken the work. */
function isPerhapsDone(error: unknown): boolean {
  return typeof error === "object" && error !== null &&
    "perhapsDone" in error && error.perhapsDone === true;
}
