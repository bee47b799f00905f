/** Cuts off endpoints that keep running, and removes their list entries meanwhile. */
import type * as Ports from "@cairngate/ports";
import type * as StandIns from "@cairngate/stand-ins";
import * as Effect from "effect/Effect";
import type * as fleets from "./test_fleet.ts";

/** Course of one cut; its times are in ms from the start of the cut. */
export interface CutSchedule {
  /** Outcome of orders to the endpoint during the cut. */
  readonly outcome: StandIns.OrderOutcome;
  /** When orders arrive again. */
  readonly endsMs: number;
  readonly entryRemovedMs: number;
  /** When the same incarnation is listed again. */
  readonly entryRelistedMs: number;
}

interface Cut {
  outcome: StandIns.OrderOutcome | null;
  /** The removed list entry. */
  entry: Ports.EndpointListing | null;
  isRelisted: boolean;
}

/** Cuts off endpoints of a fleet for a time without ending them. */
export class EndpointCuts {
  readonly #fleet: fleets.TestFleet;
  readonly #cuts = new Map<string, Cut>();

  constructor(fleet: fleets.TestFleet) {
    this.#fleet = fleet;
  }

  /** Cuts off an endpoint; does nothing if it is cut off already. */
  begin(id: string, schedule: CutSchedule): void {
    if (this.has(id)) return;
    const cut: Cut = {
      outcome: schedule.outcome,
      entry: null,
      isRelisted: false,
    };
    this.#cuts.set(id, cut);
    this.#schedule(schedule.entryRemovedMs, () => this.#unlist(id, cut));
    this.#schedule(schedule.entryRelistedMs, () => this.#listAgain(id, cut));
    this.#schedule(schedule.endsMs, () => this.#heal(id, cut));
  }

  /** Whether an endpoint is cut off or not yet listed again. */
  has(id: string): boolean {
    return this.#cuts.has(id);
  }

  /** Outcome of orders to an endpoint; null while orders reach it. */
  outcomeOf(id: string): StandIns.OrderOutcome | null {
    return this.#cuts.get(id)?.outcome ?? null;
  }

  /** Ends all cuts and lists the endpoints again. */
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
    const isAlive = this.#fleet.workers.listRunning().includes(id);
    if (isAlive && cut.entry !== null) this.#fleet.writeEntry(cut.entry);
    cut.isRelisted = true;
    this.#removeIfOver(id, cut);
  }

  #heal(id: string, cut: Cut): void {
    cut.outcome = null;
    this.#removeIfOver(id, cut);
  }

  #removeIfOver(id: string, cut: Cut): void {
    const isOver = cut.isRelisted && cut.outcome === null;
    if (isOver && this.#cuts.get(id) === cut) this.#cuts.delete(id);
  }

  #schedule(afterMs: number, action: () => void): void {
    const wait = this.#fleet.clock.sleep(afterMs);
    Effect.runFork(Effect.andThen(wait, Effect.sync(action)));
  }
}
