/** Live list in memory. */
import * as Ports from "@cairngate/ports";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import type * as switches from "./fault_switch.ts";

/** Keeps the list of live and leaving endpoints. */
export class MemoryLiveList extends Ports.LiveList {
  readonly #entries = new Map<string, Types.LiveEntry>();
  #version = 1;
  readonly #faults: switches.FaultSwitch;

  constructor(faults: switches.FaultSwitch) {
    super();
    this.#faults = faults;
  }

  /** Adds or replaces the entry of an endpoint. */
  set(entry: Types.LiveEntry): void {
    this.#entries.set(entry.name, entry);
    this.#version++;
  }

  /** Marks an endpoint as leaving or staying. */
  mark(name: string, leaving: boolean): void {
    const entry = this.#entries.get(name);
    if (entry !== undefined) this.set({ ...entry, leaving });
  }

  /** Removes an endpoint from the list. */
  remove(name: string): void {
    this.#entries.delete(name);
    this.#version++;
  }

  override workers(knownTag: string | null) {
    return this.#faults.apply("live list", () =>
      Effect.sync(() => {
        const tag = String(this.#version);
        if (tag === knownTag) return null;
        return { tag, workers: [...this.#entries.values()] };
      }));
  }
}
