/** Object store in memory. */
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as switches from "./fault_switch.ts";

/** Keeps copies of the stored objects in a map. */
export class MemoryObjectStore extends Ports.ObjectStore {
  readonly #objects = new Map<string, unknown>();
  readonly #faults: switches.FaultSwitch;

  constructor(faults: switches.FaultSwitch) {
    super();
    this.#faults = faults;
  }

  override put(key: string, value: unknown) {
    return this.#faults.apply("put", () =>
      Effect.sync(() => {
        this.#objects.set(key, structuredClone(value));
      }));
  }

  override get(key: string) {
    return this.#faults.apply(
      "get",
      () => Effect.sync(() => this.#objects.get(key)),
    );
  }
}
