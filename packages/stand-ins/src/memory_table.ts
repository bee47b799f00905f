/** Table service in memory. */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as switches from "./fault_switch.ts";
import * as pages from "./select_page.ts";
import * as partitions from "./partition_of.ts";

/** Change of one row; the row is null if it was removed. */
export interface TableChange {
  readonly key: string;
  readonly row: Ports.Row | null;
  readonly revision: number;
}

/** Keeps rows in a map; transactions are atomic. */
export class MemoryTable extends Ports.TableService {
  readonly #rows = new Map<string, Ports.Row>();
  readonly #faults: switches.FaultSwitch;
  readonly #changes: TableChange[] = [];
  #changed = Deferred.makeUnsafe<void>();
  #revision = 0;
  #forgottenUpTo = 0;
  /** Number of executed transactions and reads. */
  readonly counts = { writes: 0, reads: 0 };

  constructor(faults: switches.FaultSwitch) {
    super();
    this.#faults = faults;
  }

  /** Revision of the latest transaction. */
  get revision(): number {
    return this.#revision;
  }

  /** Revision up to which the history is no longer available. */
  get forgottenUpTo(): number {
    return this.#forgottenUpTo;
  }

  /** Makes the history up to a revision unavailable, by default all of it. */
  forgetHistory(upTo = this.#revision): void {
    this.#forgottenUpTo = upTo;
  }

  /** Returns the rows under a prefix, without faults. */
  rowsUnder(prefix: string): Ports.Row[] {
    return [...this.#rows.values()].filter((r) => r.key.startsWith(prefix));
  }

  /** Returns the changes under a prefix after a revision. */
  changesAfter(prefix: string, revision: number): TableChange[] {
    const changes = this.#changes;
    // Searches from the end: feeds poll after each change, mostly for the last one.
    let first = changes.length;
    while (first > 0 && changes[first - 1].revision > revision) first--;
    return changes.slice(first).filter(({ key }) => key.startsWith(prefix));
  }

  /** Waits for the next change of any row. */
  awaitChange(): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.#changed));
  }

  override read(keys: readonly string[]) {
    const call = () =>
      Effect.sync(() => {
        this.counts.reads++;
        return keys.flatMap((key) => this.#rows.get(key) ?? []);
      });
    return this.#faults.apply("read", call, partitions.partitionOf(keys[0]));
  }

  override scan(prefix: string, afterRevision: number) {
    const call = () =>
      Effect.sync(() => {
        this.counts.reads++;
        return [...this.#rows.values()].filter((row) =>
          row.key.startsWith(prefix) && row.revision > afterRevision
        );
      });
    return this.#faults.apply("scan", call, partitions.partitionOf(prefix));
  }

  override scanPage(prefix: string, ask: Ports.PageRequest) {
    const call = () =>
      Effect.sync(() => {
        this.counts.reads++;
        return pages.selectPage(this.rowsUnder(prefix), ask);
      });
    return this.#faults.apply("scan", call, partitions.partitionOf(prefix));
  }

  override transact(
    tx: Ports.Transaction,
  ): Effect.Effect<number, Ports.WriteError> {
    const partition = partitions.partitionOf(tx.writes[0]?.key);
    return this.#faults.apply("write", () => this.#transact(tx), partition);
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
      Deferred.doneUnsafe(this.#changed, Effect.void);
      this.#changed = Deferred.makeUnsafe<void>();
      return Effect.succeed(this.#revision);
    });
  }

  #put(write: Ports.RowWrite, writeId: string): void {
    if (write.value === null) {
      this.#rows.delete(write.key);
      this.#recordChange(write.key, null);
      return;
    }
    const { key, value } = write;
    const copy = structuredClone(value);
    const row = { key, value: copy, revision: this.#revision, writeId };
    this.#rows.set(key, row);
    this.#recordChange(key, row);
  }

  #recordChange(key: string, row: Ports.Row | null): void {
    this.#changes.push({ key, row, revision: this.#revision });
  }
}
