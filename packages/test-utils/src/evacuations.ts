/**
 * Simulates evacuations and power losses of data centres, and checks that nothing
 * starts in an evacuated one.
 */
import type * as StandIns from "@cairngate/stand-ins";
import * as randoms from "./seeded_random.ts";
import * as fleets from "./test_fleet.ts";

/** Share of the changes in which a data centre loses power, 0 to 1. */
const POWER_LOSS_SHARE = 0.2;
/** Time for which endpoints are cold after a power loss, in ms. */
const COLD_MS = 2000;

interface Span {
  readonly dataCentre: string;
  readonly fromMs: number;
  untilMs: number;
}

/** Evacuates data centres of a fleet as its operator does. */
export class Evacuations {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #dataCentres: readonly string[];
  readonly #spans: Span[] = [];

  readonly #losesPower: boolean;

  /**
   * @param options.dataCentres data centres that may be evacuated
   * @param options.losesPower whether they also lose power at random
   */
  constructor(
    fleet: fleets.TestFleet,
    options: {
      readonly seed: number;
      readonly dataCentres: readonly string[];
      readonly losesPower?: boolean;
    },
  ) {
    this.#fleet = fleet;
    this.#losesPower = options.losesPower ?? false;
    this.#dataCentres = options.dataCentres;
    // A separate generator, so that the other faults of a seed do not change.
    this.#random = new randoms.SeededRandom(options.seed + 0.75);
    if (this.#losesPower) fleet.coldAfterCrashMs = COLD_MS;
  }

  /** Evacuates a random data centre, or returns it to use if it is evacuated. */
  change(): void {
    const dataCentre = this.#random.choose(this.#dataCentres);
    if (this.#losesPower && this.#random.next() < POWER_LOSS_SHARE) {
      this.#losePower(dataCentre);
    }
    if (this.#findOpenSpan(dataCentre) === undefined) this.begin(dataCentre);
    else this.end(dataCentre);
  }

  /** Writes the evacuation row of a data centre, even if it exists already. */
  begin(dataCentre: string): void {
    this.#fleet.evacuate(dataCentre);
    if (this.#findOpenSpan(dataCentre) !== undefined) return;
    const fromMs = this.#fleet.clock.monotonicMs();
    const untilMs = Number.POSITIVE_INFINITY;
    this.#spans.push({ dataCentre, fromMs, untilMs });
  }

  /** Removes the evacuation row of a data centre. */
  end(dataCentre: string): void {
    this.#fleet.endEvacuation(dataCentre);
    const span = this.#findOpenSpan(dataCentre);
    if (span !== undefined) span.untilMs = this.#fleet.clock.monotonicMs();
  }

  /** Ends all evacuations. */
  endAll(): void {
    for (const dataCentre of this.#dataCentres) this.end(dataCentre);
  }

  /**
   * Describes the starts in an evacuated data centre after the grace period. Orders
   * that an endpoint executed late are not counted, because no box can revoke them in
   * time.
   */
  findViolations(): string[] {
    const runs = this.#fleet.workers.runs.filter((record) => !record.wasLate);
    return runs.filter((record) => this.#isForbidden(record)).map((record) =>
      `${record.task} run ${record.run} started on ${record.worker} at ` +
      `${record.startedAtMs} ms in an evacuated data centre`
    );
  }

  #losePower(dataCentre: string): void {
    const fleet = this.#fleet;
    const endpoints = fleet.workers.listRunning().filter((id) =>
      fleet.dataCentreOf(fleet.indexOf(id)) === dataCentre
    );
    for (const id of endpoints) fleet.workers.crash(id);
  }

  #isForbidden({ worker, startedAtMs }: StandIns.TaskRunRecord): boolean {
    const place = this.#fleet.indexOf(worker);
    const dataCentre = this.#fleet.dataCentreOf(place);
    const graceMs = fleets.EVACUATION_IN_FORCE_MS;
    return this.#spans.some((span) =>
      span.dataCentre === dataCentre &&
      startedAtMs > span.fromMs + graceMs && startedAtMs < span.untilMs
    );
  }

  #findOpenSpan(dataCentre: string): Span | undefined {
    return this.#spans.find((span) =>
      span.dataCentre === dataCentre &&
      span.untilMs === Number.POSITIVE_INFINITY
    );
  }
}
