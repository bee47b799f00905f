/** The room of one service over time, as one pool. */
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import * as forecasts from "./forecast.ts";
import type * as loads from "./load.ts";

/** Length of one slot of time, in ms. */
const SLOT_MS = 1000;
const SLOTS = forecasts.HORIZON_MS / SLOT_MS;

/** Room that gets free, taken by work that waits. */
export class RoomPool {
  /**
   * Room that is free now. Work that waits could not take it in the last plan: it
   * lies in pieces that are too small for it, but perhaps not for new work.
   */
  readonly #free: Workflow.Resources;
  /** Room that gets free beside it, in each slot. */
  readonly #later: Workflow.Resources[];

  /** @param runs those that keep their room until they end */
  constructor(total: Workflow.Resources, runs: readonly loads.Run[]) {
    const used = runs.reduce(
      (sum, { need }) => amounts.add(sum, need),
      amounts.NOTHING,
    );
    this.#free = amounts.subtract(total, used);
    this.#later = Array.from({ length: SLOTS }, () => amounts.NOTHING);
    const ended = Array.from({ length: SLOTS + 1 }, () => amounts.NOTHING);
    for (const { need, leftMs } of runs) {
      const slot = Math.min(SLOTS, Math.floor(Math.max(0, leftMs) / SLOT_MS));
      ended[slot] = amounts.add(ended[slot], need);
    }
    let freed = amounts.NOTHING;
    for (let slot = 0; slot < SLOTS; slot++) {
      freed = amounts.add(freed, ended[slot]);
      this.#later[slot] = freed;
    }
  }

  /** Lets work that waits take room as soon as there is some. */
  place(wait: loads.Wait): void {
    this.#place(wait, Number.POSITIVE_INFINITY);
  }

  /**
   * The same for what can still end by its objective: else new work may come before
   * it. Returns whether all of it can.
   */
  placeInTime(wait: loads.Wait): boolean {
    return this.#place(wait, wait.dueInMs);
  }

  /** Most room that is free in each span of a forecast. */
  curve(): forecasts.RoomCurve {
    return forecasts.POINTS_MS.map((beginMs, i) => {
      const endMs = forecasts.POINTS_MS[i + 1] ?? forecasts.HORIZON_MS;
      const most = this.#later.slice(beginMs / SLOT_MS, endMs / SLOT_MS)
        .reduce(amounts.larger, amounts.NOTHING);
      return amounts.add(this.#free, most);
    });
  }

  #place(wait: loads.Wait, dueInMs: number): boolean {
    const { runMs, gang, need } = wait;
    const length = Math.max(1, Math.floor(runMs / SLOT_MS));
    let left = wait.count;
    for (let slot = 0; slot < SLOTS && left > 0; slot++) {
      if (slot * SLOT_MS + runMs > dueInMs) break;
      const fits = Math.min(left, this.#countFits(need, slot, length));
      const count = gang && fits < left ? 0 : fits;
      if (count === 0) continue;
      this.#take(amounts.times(need, count), slot, length);
      left -= count;
    }
    return left === 0;
  }

  #countFits(need: Workflow.Resources, slot: number, length: number): number {
    let most = Number.POSITIVE_INFINITY;
    const end = Math.min(SLOTS, slot + length);
    for (let i = slot; i < end && most > 0; i++) {
      most = Math.min(most, amounts.countFits(need, this.#later[i]));
    }
    return most;
  }

  #take(need: Workflow.Resources, slot: number, length: number): void {
    const end = Math.min(SLOTS, slot + length);
    for (let i = slot; i < end; i++) {
      this.#later[i] = amounts.subtract(this.#later[i], need);
    }
  }
}
