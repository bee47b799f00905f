/** A table service in memory. */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as switches from "./fault_switch.ts";

/** Keeps rows in a map; transactions are atomic. */
export class MemoryTable extends Ports.TableService {
  readonly #rows = new Map<string, Ports.Row>();
  readonly #faults: switches.FaultSwitch;
  #revision = 0;
  /** Transactions and reads carried out. */
  readonly counts = { writes: 0, reads: 0 };

  constructor(faults: switches.FaultSwitch) {
    super();
    this.#faults = faults;
  }

  override read(keys: readonly string[]) {
    return this.#faults.apply("read", () =>
      Effect.sync(() => {
        this.counts.reads++;
        return keys.flatMap((key) => this.#rows.get(key) ?? []);
      }));
  }

  override scan(prefix: string, afterRevision: number) {
    return this.#faults.apply("scan", () =>
      Effect.sync(() => {
        this.counts.reads++;
        return [...this.#rows.values()].filter((row) =>
          row.key.startsWith(prefix) && row.revision > afterRevision
        );
      }));
  }

  override transact(tx: Ports.Transaction) {
    return this.#faults.apply("write", () => this.#transact(tx));
  }

  #transact(
    tx: Ports.Transaction,
  ): Effect.Effect<number, Errors.ConditionFailedError> {
    return Effect.suspend(() => {
      this.counts.writes++;
      for (const { key, revision } of tx.conditions) {
        const actual = this.#rows.get(key)?.revision ?? 0;
        if (actual === revision) continue;
        return Effect.fail(
          new Errors.ConditionFailedError({ key, expected: revision, actual }),
        );
      }
      this.#revision++;
      for (const write of tx.writes) this.#put(write, tx.writeId);
      return Effect.succeed(this.#revision);
    });
  }

  #put(write: Ports.RowWrite, writeId: string): void {
    if (write.value === null) {
      this.#rows.delete(write.key);
      return;
    }
    const { key, value } = write;
    const copy = structuredClone(value);
    this.#rows.set(key, {
      key,
      value: copy,
      revision: this.#revision,
      writeId,
    });
  }
}
