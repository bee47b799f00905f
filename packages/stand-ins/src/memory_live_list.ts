/** A live list in memory, which can be made to lag. */
import * as Ports from "@cairngate/ports";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import type * as switches from "./fault_switch.ts";

/** Keeps the list of live and leaving workers. */
export class MemoryLiveList extends Ports.LiveList {
  readonly #entries = new Map<string, Types.LiveEntry>();
  #version = 1;
  readonly #faults: switches.FaultSwitch;

  constructor(faults: switches.FaultSwitch) {
    super();
    this.#faults = faults;
  }

  /** Adds or changes a machine. */
  set(entry: Types.LiveEntry): void {
    this.#entries.set(entry.name, entry);
    this.#version++;
  }

  /** Marks a machine as leaving or staying. */
  mark(name: string, leaving: boolean): void {
    const entry = this.#entries.get(name);
    if (entry !== undefined) this.set({ ...entry, leaving });
  }

  /** Takes a machine off the list. */
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
