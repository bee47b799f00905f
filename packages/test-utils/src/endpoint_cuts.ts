/** Endpoints that no order reaches and whose entries lapse, and that live on. */
import type * as Ports from "@cairngate/ports";
import type * as StandIns from "@cairngate/stand-ins";
import * as Effect from "effect/Effect";
import type * as fleets from "./test_fleet.ts";

/** One cut; its times are in ms from the moment at which it begins. */
export interface CutShape {
  /** What becomes of orders to the endpoint meanwhile. */
  readonly fate: StandIns.OrderFate;
  /** When orders arrive again. */
  readonly healsMs: number;
  readonly entryGoesMs: number;
  /** When the same life is listed again. */
  readonly entryBackMs: number;
}

interface Cut {
  fate: StandIns.OrderFate | null;
  /** The entry while it is away. */
  entry: Ports.EndpointListing | null;
  isListed: boolean;
}

/** Cuts off endpoints of a fleet for a while; none of them ends by it. */
export class EndpointCuts {
  readonly #fleet: fleets.TestFleet;
  readonly #cuts = new Map<string, Cut>();

  constructor(fleet: fleets.TestFleet) {
    this.#fleet = fleet;
  }

  /** Cuts an endpoint off that is not cut already. */
  begin(id: string, shape: CutShape): void {
    if (this.has(id)) return;
    const cut: Cut = { fate: shape.fate, entry: null, isListed: false };
    this.#cuts.set(id, cut);
    this.#later(shape.entryGoesMs, () => this.#unlist(id, cut));
    this.#later(shape.entryBackMs, () => this.#listAgain(id, cut));
    this.#later(shape.healsMs, () => this.#heal(id, cut));
  }

  /** Whether an endpoint is cut off, or not yet listed again. */
  has(id: string): boolean {
    return this.#cuts.has(id);
  }

  /** What becomes of orders to an endpoint; null while it is not cut off. */
  fateOf(id: string): StandIns.OrderFate | null {
    return this.#cuts.get(id)?.fate ?? null;
  }

  /** All are reached and listed again. */
  endAll(): void {
    for (const [id, cut] of [...this.#cuts]) {
      this.#listAgain(id, cut);
      this.#heal(id, cut);
    }
  }

  #unlist(id: string, cut: Cut): void {
    if (this.#cuts.get(id) !== cut) return;
    cut.entry = this.#fleet.entryOf(id);
    this.#fleet.unlist(id);
  }

  #listAgain(id: string, cut: Cut): void {
    if (this.#cuts.get(id) !== cut) return;
    const lives = this.#fleet.workers.listLives().includes(id);
    if (lives && cut.entry !== null) this.#fleet.writeEntry(cut.entry);
    cut.isListed = true;
    this.#forget(id, cut);
  }

  #heal(id: string, cut: Cut): void {
    cut.fate = null;
    this.#forget(id, cut);
  }

  #forget(id: string, cut: Cut): void {
    const isOver = cut.isListed && cut.fate === null;
    if (isOver && this.#cuts.get(id) === cut) this.#cuts.delete(id);
  }

  #later(afterMs: number, act: () => void): void {
    const wait = this.#fleet.clock.sleep(afterMs);
    Effect.runFork(Effect.andThen(wait, Effect.sync(act)));
  }
}
