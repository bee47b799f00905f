/**
 * Data centres that are evacuated and taken back, or lose power, and what may start
 * there.
 */
import type * as StandIns from "@cairngate/stand-ins";
import * as randoms from "./seeded_random.ts";
import * as fleets from "./test_fleet.ts";

/** Share of the changes in which the endpoints of a data centre lose power. */
const POWER_LOSS_SHARE = 0.2;
/** Time for which endpoints are cold that come back, in ms. */
const COLD_MS = 2000;

interface Span {
  readonly dataCentre: string;
  readonly fromMs: number;
  untilMs: number;
}

/** The operator of a test that evacuates data centres. */
export class Evacuations {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #dataCentres: readonly string[];
  readonly #spans: Span[] = [];

  readonly #losesPower: boolean;

  /**
   * @param options.dataCentres those that may be evacuated
   * @param options.losesPower whether they lose power at times as well
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
    // Draws of its own: the other faults of a seed stay as they are.
    this.#random = new randoms.SeededRandom(options.seed + 0.75);
    if (this.#losesPower) fleet.coldAfterCrashMs = COLD_MS;
  }

  /** One data centre is evacuated, or taken back where it is so already. */
  change(): void {
    const dataCentre = this.#random.choose(this.#dataCentres);
    if (this.#losesPower && this.#random.next() < POWER_LOSS_SHARE) {
      this.#losePower(dataCentre);
    }
    if (this.#open(dataCentre) === undefined) this.begin(dataCentre);
    else this.end(dataCentre);
  }

  /** The operator writes the row, also where it is there already. */
  begin(dataCentre: string): void {
    this.#fleet.evacuate(dataCentre);
    if (this.#open(dataCentre) !== undefined) return;
    const fromMs = this.#fleet.clock.monotonicMs();
    const untilMs = Number.POSITIVE_INFINITY;
    this.#spans.push({ dataCentre, fromMs, untilMs });
  }

  /** The operator takes the row away. */
  end(dataCentre: string): void {
    this.#fleet.takeBack(dataCentre);
    const span = this.#open(dataCentre);
    if (span !== undefined) span.untilMs = this.#fleet.clock.monotonicMs();
  }

  /** All data centres are in use again. */
  endAll(): void {
    for (const dataCentre of this.#dataCentres) this.end(dataCentre);
  }

  /**
   * Starts in an evacuated data centre later than the bound. Orders that their
   * endpoint carried out late do not count: no box can take them back in time.
   */
  findViolations(): string[] {
    const runs = this.#fleet.workers.runs.filter((note) => !note.wasLate);
    return runs.filter((note) => this.#isForbidden(note)).map((note) =>
      `${note.task} run ${note.run} starts on ${note.worker} at ` +
      `${note.startedAtMs} ms, evacuated`
    );
  }

  #losePower(dataCentre: string): void {
    const fleet = this.#fleet;
    const lost = fleet.workers.listLives().filter((id) =>
      fleet.dataCentreOf(fleet.placeOf(id)) === dataCentre
    );
    for (const id of lost) fleet.workers.crash(id);
  }

  #isForbidden({ worker, startedAtMs }: StandIns.TaskRunNote): boolean {
    const place = this.#fleet.placeOf(worker);
    const dataCentre = this.#fleet.dataCentreOf(place);
    const boundMs = fleets.EVACUATION_IN_FORCE_MS;
    return this.#spans.some((span) =>
      span.dataCentre === dataCentre &&
      startedAtMs > span.fromMs + boundMs && startedAtMs < span.untilMs
    );
  }

  #open(dataCentre: string): Span | undefined {
    return this.#spans.find((span) =>
      span.dataCentre === dataCentre &&
      span.untilMs === Number.POSITIVE_INFINITY
    );
  }
}
