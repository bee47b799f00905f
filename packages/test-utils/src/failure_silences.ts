/** Endpoints that are unreachable for some time after a run has failed there. */
import type * as StandIns from "@cairngate/stand-ins";
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Share of the failures after which the endpoint is unreachable, 0 to 1. */
const SILENT_SHARE = 0.5;
/** Time for which it is unreachable, in ms: up to nearly a lease. */
const SILENT_MS = { min: 1000, max: 5000 };
/** Offset from the seed, so that the silences have their own random numbers. */
const SEED_OFFSET = 11_000_027;

/** The silences of one simulation. */
export class FailureSilences {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  /** Length of the silence after each failed run, in ms. */
  readonly #lengths = new Map<StandIns.TaskRunRecord, number>();

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed + SEED_OFFSET);
  }

  /** Whether an endpoint is unreachable because a run has failed there recently. */
  isSilent(id: string): boolean {
    const nowMs = this.#fleet.clock.monotonicMs();
    return this.#fleet.workers.runs.some((run) =>
      run.worker === id && run.how === "failed" &&
      (run.endedAtMs ?? 0) + this.#lengthOf(run) > nowMs
    );
  }

  #lengthOf(run: StandIns.TaskRunRecord): number {
    const known = this.#lengths.get(run);
    if (known !== undefined) return known;
    const { min, max } = SILENT_MS;
    const ms = this.#random.next() < SILENT_SHARE
      ? this.#random.between(min, max)
      : 0;
    this.#lengths.set(run, ms);
    return ms;
  }
}
