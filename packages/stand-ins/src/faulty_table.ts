/** Table access of one box, with its own faults. */
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as switches from "./fault_switch.ts";
import * as partitions from "./partition_of.ts";

/** Forwards calls under the faults of one box. */
export class FaultyTable extends Ports.TableService {
  readonly #inner: Ports.TableService;
  readonly #faults: switches.FaultSwitch;

  constructor(inner: Ports.TableService, faults: switches.FaultSwitch) {
    super();
    this.#inner = inner;
    this.#faults = faults;
  }

  override read(keys: readonly string[]) {
    const partition = partitions.partitionOf(keys[0]);
    return this.#faults.apply("read", () => this.#inner.read(keys), partition);
  }

  override probe(key: string) {
    return Effect.asVoid(
      this.#faults.apply("probe", () => this.#inner.probe(key)),
    );
  }

  override scan(prefix: string, afterRevision: number) {
    return this.#faults.apply(
      "scan",
      () => this.#inner.scan(prefix, afterRevision),
      partitions.partitionOf(prefix),
    );
  }

  override scanPage(prefix: string, ask: Ports.PageRequest) {
    return this.#faults.apply(
      "scan",
      () => this.#inner.scanPage(prefix, ask),
      partitions.partitionOf(prefix),
    );
  }

  override transact(tx: Ports.Transaction) {
    const partition = partitions.partitionOf(tx.writes[0]?.key);
    return this.#faults.apply(
      "write",
      () => this.#inner.transact(tx),
      partition,
    );
  }
}
