/** One node's way to a table, with faults of its own. */
import * as Ports from "@cairngate/ports";
import type * as switches from "./fault_switch.ts";

/** Passes calls on under the faults of one node. */
export class FaultyTable extends Ports.TableService {
  readonly #inner: Ports.TableService;
  readonly #faults: switches.FaultSwitch;

  constructor(inner: Ports.TableService, faults: switches.FaultSwitch) {
    super();
    this.#inner = inner;
    this.#faults = faults;
  }

  override read(keys: readonly string[]) {
    return this.#faults.apply("read", () => this.#inner.read(keys));
  }

  override scan(prefix: string, afterRevision: number) {
    return this.#faults.apply(
      "scan",
      () => this.#inner.scan(prefix, afterRevision),
    );
  }

  override transact(tx: Ports.Transaction) {
    return this.#faults.apply("write", () => this.#inner.transact(tx));
  }
}
