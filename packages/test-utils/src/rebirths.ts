/**
 * Endpoints that begin again under the ids that they had: soon or late after their
 * end, with the former entry kept, gone or written once more when the new life is
 * there, and with a time of day that may have been set back.
 */
import type * as Ports from "@cairngate/ports";
import type * as StandIns from "@cairngate/stand-ins";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Share of the ends after which the id is kept. */
const KEEPS_ID_SHARE = 0.75;
/** Shares of what becomes of the former entry; else it stays until it is replaced. */
const ENTRY_GONE_SHARE = 0.3;
/** The same for a former entry that is written again after the new one. */
const ENTRY_LATE_SHARE = 0.3;
/** Times after which another life is there, in ms. */
const BACK_MS: readonly number[] = [50, 300, 1000, 3000, 8000, 20_000];
/**
 * The same where the id is another one, at least, in ms: the quickest endpoints of the
 * users' records take 0.5 s, and the product relies on 0.3 s.
 */
const LEAST_OTHER_ID_MS = 300;
/** Time between the birth and the late entry of the former life, in ms, at most. */
const LATE_MS = 1500;
/** Share of the lives whose time of day was set back, and by how much, in ms. */
const SET_BACK_SHARE = 0.2;
const SET_BACK_MS = 60_000;
/** Time between two heartbeats of an endpoint, in ms. */
const BEAT_MS = 500;
/** An entry lapses after three heartbeats of silence, by the operators' page. */
const LAPSES_MS = 3 * BEAT_MS;
/** Share of the changes in which a group of a third ends. */
const GROUP_SHARE = 0.25;

/** The endpoints of one play, and their heartbeats. */
export class Rebirths {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #beats: Fiber.Fiber<unknown>;

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed);
    fleet.workers.birthOf = () => this.#drawBirth();
    fleet.workers.onCrash = (spec) => this.#afterCrash(spec);
    const beat = Effect.sync(() => fleet.beat());
    const wait = fleet.clock.sleep(BEAT_MS);
    this.#beats = Effect.runFork(Effect.forever(Effect.andThen(wait, beat)));
  }

  /** A group ends at one moment, or none does. */
  change(): void {
    if (this.#random.next() >= GROUP_SHARE) return;
    const lives = this.#fleet.workers.listLives();
    for (let left = Math.ceil(lives.length / 3); left > 0; left--) {
      const [id] = lives.splice(this.#random.between(0, lives.length - 1), 1);
      this.#fleet.workers.crash(id);
    }
  }

  /** No endpoint writes its entry again. */
  end(): void {
    Effect.runFork(Fiber.interrupt(this.#beats));
  }

  #drawBirth(): number {
    const isSetBack = this.#random.next() < SET_BACK_SHARE;
    const byMs = isSetBack ? this.#random.between(1, SET_BACK_MS) : 0;
    return this.#fleet.clock.wallMs() - byMs;
  }

  #afterCrash(spec: StandIns.TaskWorkerSpec): void {
    const backMs = this.#random.choose(BACK_MS);
    const keepsId = this.#random.next() < KEEPS_ID_SHARE;
    const entry = this.#random.next();
    const lateMs = this.#random.between(0, LATE_MS);
    const former = this.#fleet.entryOf(spec.id);
    if (entry < ENTRY_GONE_SHARE) {
      this.#after(LAPSES_MS, () => this.#lapse(spec.id));
    }
    if (!keepsId) return this.#bringBack(spec, backMs);
    this.#after(backMs, () => {
      this.#fleet.beginAgain(spec);
      const isLate = entry >= ENTRY_GONE_SHARE &&
        entry < ENTRY_GONE_SHARE + ENTRY_LATE_SHARE;
      if (isLate) this.#after(lateMs, () => this.#writeAgain(former));
    });
  }

  /** Another id at the address; the former entry goes when it would have lapsed. */
  #bringBack(spec: StandIns.TaskWorkerSpec, drawnMs: number): void {
    const backMs = Math.max(drawnMs, LEAST_OTHER_ID_MS);
    this.#after(backMs, () => {
      this.#fleet.entryOutlastsMs = Math.max(0, LAPSES_MS - backMs);
      this.#fleet.bringBack(spec);
    });
  }

  #lapse(id: string): void {
    if (!this.#fleet.workers.listLives().includes(id)) this.#fleet.unlist(id);
  }

  /** What the former life wrote takes effect only now. */
  #writeAgain(former: Ports.EndpointListing | null): void {
    const isListed = former !== null &&
      this.#fleet.entryOf(former.id) !== null;
    if (isListed) this.#fleet.writeEntry(former);
  }

  #after(ms: number, act: () => void): void {
    const later = Effect.andThen(
      this.#fleet.clock.sleep(ms),
      Effect.sync(act),
    );
    Effect.runFork(later);
  }
}
