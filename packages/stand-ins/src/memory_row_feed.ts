/** Feed of the rows of an in-memory table. */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as pages from "./select_page.ts";
import type * as switches from "./fault_switch.ts";
import type * as tables from "./memory_table.ts";

/** Feed of the rows under one prefix. */
export class MemoryRowFeed<T> extends Ports.RowFeed<T> {
  override readonly partitions: readonly string[];
  readonly #table: tables.MemoryTable;
  readonly #prefix: string;
  readonly #clock: Ports.Clock;
  readonly #faults: switches.FaultSwitch;

  constructor(
    options: {
      table: tables.MemoryTable;
      prefix: string;
      clock: Ports.Clock;
      faults: switches.FaultSwitch;
      /** Defaults to one partition for all rows. */
      partitions?: readonly string[];
    },
  ) {
    super();
    this.partitions = options.partitions ?? [""];
    this.#table = options.table;
    this.#prefix = options.prefix;
    this.#clock = options.clock;
    this.#faults = options.faults;
  }

  override page(partition: string, ask: Ports.PageRequest) {
    const table = this.#prefix.replace("/", "");
    const prefix = partition === "" ? this.#prefix : `${table}:${partition}/`;
    let position = 0;
    const read = () =>
      Effect.sync(() => {
        position = this.#table.revision;
        return pages.selectPage(this.#table.rowsUnder(prefix), ask);
      });
    return Effect.map(
      this.#unlessSilent(this.#faults.apply("scan", read, partition)),
      ({ items, next }): Ports.SnapshotPage<T> => ({
        items: items.map(({ key, value }) => ({ key, value: value as T })),
        next,
        position,
      }),
    );
  }

  override changes(position: number, waitMs: number) {
    const untilMs = this.#clock.monotonicMs() + waitMs;
    const wait = Effect.gen({ self: this }, function* () {
      for (;;) {
        if (position < this.#table.forgottenUpTo) {
          return yield* new Errors.HistoryLostError({ position });
        }
        if (this.#faults.faults.hideChanges) {
          yield* this.#clock.sleep(waitMs);
          return { entries: [], position };
        }
        const changes = this.#table.changesAfter(this.#prefix, position);
        const leftMs = untilMs - this.#clock.monotonicMs();
        if (changes.length > 0 || leftMs <= 0) {
          return {
            entries: changes.map(({ key, row }) => ({
              key,
              value: (row?.value ?? null) as T | null,
            })),
            position: this.#table.revision,
          };
        }
        yield* this.#clock.within(leftMs, this.#table.awaitChange());
      }
    });
    return Effect.suspend(() => {
      const { polls } = this.#faults;
      polls.set(this.#prefix, (polls.get(this.#prefix) ?? 0) + 1);
      return this.#unlessSilent(this.#faults.apply("scan", () => wait));
    });
  }

  #unlessSilent<A, E>(request: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.suspend(() =>
      this.#faults.faults.silentFeeds.includes(this.#prefix)
        ? Effect.never
        : request
    );
  }
}
