/** The capacity of one service over time, treated as one pool. */
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import * as forecasts from "./forecast.ts";
import type * as loads from "./load.ts";

/** Length of one time slot, in ms. */
const SLOT_MS = 1000;
const SLOT_COUNT = forecasts.HORIZON_MS / SLOT_MS;

/** Capacity over time, minus what waiting work takes. */
export class CapacityPool {
  /**
   * Capacity that is free now. Waiting work could not take it in the last plan: its
   * pieces are too small for that work, but may fit new work.
   */
  readonly #free: Workflow.Resources;
  /** Capacity that becomes free in addition, by time slot. */
  readonly #freedBySlot: Workflow.Resources[];

  /** @param runs runs that keep their capacity until they end */
  constructor(total: Workflow.Resources, runs: readonly loads.RunningTask[]) {
    const used = runs.reduce(
      (sum, { need }) => amounts.add(sum, need),
      amounts.ZERO,
    );
    this.#free = amounts.subtract(total, used);
    this.#freedBySlot = Array.from({ length: SLOT_COUNT }, () => amounts.ZERO);
    const endingBySlot = Array.from(
      { length: SLOT_COUNT + 1 },
      () => amounts.ZERO,
    );
    for (const { need, leftMs } of runs) {
      const slot = Math.min(
        SLOT_COUNT,
        Math.floor(Math.max(0, leftMs) / SLOT_MS),
      );
      endingBySlot[slot] = amounts.add(endingBySlot[slot], need);
    }
    let freed = amounts.ZERO;
    for (let slot = 0; slot < SLOT_COUNT; slot++) {
      freed = amounts.add(freed, endingBySlot[slot]);
      this.#freedBySlot[slot] = freed;
    }
  }

  /** Gives capacity to waiting work as soon as some is free. */
  place(wait: loads.WaitingTasks): void {
    this.#place(wait, Number.POSITIVE_INFINITY);
  }

  /**
   * Gives capacity only to waiting work that can still meet its objective: new work
   * may overtake any other. Returns whether all of it can.
   */
  placeInTime(wait: loads.WaitingTasks): boolean {
    return this.#place(wait, wait.dueInMs);
  }

  /** The highest free capacity in each span of a forecast. */
  curve(): forecasts.CapacityCurve {
    return forecasts.SPAN_STARTS_MS.map((beginMs, i) => {
      const endMs = forecasts.SPAN_STARTS_MS[i + 1] ?? forecasts.HORIZON_MS;
      const maxFreed = this.#freedBySlot.slice(
        beginMs / SLOT_MS,
        endMs / SLOT_MS,
      )
        .reduce(amounts.maxOf, amounts.ZERO);
      return amounts.add(this.#free, maxFreed);
    });
  }

  #place(wait: loads.WaitingTasks, dueInMs: number): boolean {
    const { runMs, gang, need } = wait;
    const slotLength = Math.max(1, Math.floor(runMs / SLOT_MS));
    let remaining = wait.count;
    for (let slot = 0; slot < SLOT_COUNT && remaining > 0; slot++) {
      if (slot * SLOT_MS + runMs > dueInMs) break;
      const fits = Math.min(remaining, this.#countFits(need, slot, slotLength));
      const count = gang && fits < remaining ? 0 : fits;
      if (count === 0) continue;
      this.#take(amounts.scale(need, count), slot, slotLength);
      remaining -= count;
    }
    return remaining === 0;
  }

  #countFits(
    need: Workflow.Resources,
    slot: number,
    slotLength: number,
  ): number {
    let maxCount = Number.POSITIVE_INFINITY;
    const end = Math.min(SLOT_COUNT, slot + slotLength);
    for (let i = slot; i < end && maxCount > 0; i++) {
      maxCount = Math.min(
        maxCount,
        amounts.countFits(need, this.#freedBySlot[i]),
      );
    }
    return maxCount;
  }

  #take(need: Workflow.Resources, slot: number, slotLength: number): void {
    const end = Math.min(SLOT_COUNT, slot + slotLength);
    for (let i = slot; i < end; i++) {
      this.#freedBySlot[i] = amounts.subtract(this.#freedBySlot[i], need);
    }
  }
}
