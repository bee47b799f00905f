/**
 * Tracks the other boxes by their rows in the store. A box whose row is no longer
 * renewed counts as gone.
 */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Effect from "effect/Effect";

/** Row by which a box announces itself in the store. */
export interface MemberRow {
  /** Name of the box. */
  readonly node: string;
  /** Address at which peers connect to it, as host:port. */
  readonly address: string;
  /** Processor share available to its process, in cores. */
  readonly cores: number;
  /** Wall-clock time at which its process started. */
  readonly startedAtMs: number;
  /** Wall-clock time of the renewal; makes each renewal a change of the row. */
  readonly renewedAtMs: number;
}

/** Dependencies of a {@link MemberRegistry}. */
export interface MemberRegistryOptions {
  /** Name of this box. */
  readonly node: string;
  readonly address: string;
  /** Processor share available to this process, in cores. */
  readonly cores: number;
  readonly store: TableClient.StoreClient;
  readonly feed: Ports.RowFeed<MemberRow>;
  readonly clock: Ports.Clock;
  /** Whether this box may remove the expired rows of other boxes. */
  readonly mayRemove: () => boolean;
}

/** Another box whose row is current. */
export interface Member extends Ports.StorePeer {
  readonly cores: number;
  readonly startedAtMs: number;
}

/**
 * Delays between the first polls, in ms; they are short, so that boxes that start
 * together find each other soon.
 */
const INITIAL_POLL_DELAYS_MS: readonly number[] = [200, 300, 500, 1000];
/**
 * Delay between later polls, in ms. A watch would return on every renewal of every
 * box, so the calls of all boxes would grow with the square of their number.
 */
const POLL_INTERVAL_MS = 10_000;
const RENEWAL_INTERVAL_MS = 15_000;
const RETRY_DELAY_MS = 500;
const ROW_EXPIRY_MS = 50_000;

interface ObservedRow {
  readonly row: MemberRow;
  /** Monotonic time at which this box read the last change of the row. */
  readonly atMs: number;
}

/** Announces this box in the store and lists the other boxes. */
export class MemberRegistry {
  readonly #options: MemberRegistryOptions;
  readonly #rows = new Map<string, ObservedRow>();
  /** Wall-clock time at which this process started. */
  readonly startedAtMs: number;

  constructor(options: MemberRegistryOptions) {
    this.#options = options;
    this.startedAtMs = options.clock.wallMs();
  }

  /** Lists the other boxes whose rows are current. */
  others(): readonly Member[] {
    const sinceMs = this.#options.clock.monotonicMs() - ROW_EXPIRY_MS;
    return this.#othersSeenSince(sinceMs);
  }

  /**
   * Lists the other boxes that have a row, current or not. After an outage of the store
   * or a stall of this box, all rows look expired although their boxes are up.
   */
  known(): readonly Member[] {
    return this.#othersSeenSince(Number.NEGATIVE_INFINITY);
  }

  #othersSeenSince(sinceMs: number): readonly Member[] {
    return [...this.#rows.values()]
      .filter(({ row, atMs }) =>
        row.node !== this.#options.node && atMs >= sinceMs
      )
      .map(({ row: { renewedAtMs: _, ...member } }) => member);
  }

  /** Renews the own row and polls those of the others; never ends. */
  run(): Effect.Effect<never> {
    return Effect.raceFirst(this.#pollForever(), this.#renewForever());
  }

  #pollForever(): Effect.Effect<never> {
    const { clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      let polls = 0;
      for (;;) {
        const hasRead = yield* this.#poll();
        const pauseMs = INITIAL_POLL_DELAYS_MS[polls] ?? POLL_INTERVAL_MS;
        if (hasRead) polls++;
        yield* clock.sleep(hasRead ? pauseMs : RETRY_DELAY_MS);
      }
    });
  }

  /** Reads all rows; yields false if the store did not answer. */
  #poll(): Effect.Effect<boolean> {
    const { clock, feed } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const read = new TableClient.PagedRead({
        clock,
        read: (ask: Ports.PageRequest) => feed.page("", ask),
      });
      while (!(yield* read.readPage()));
      const rows = read.items.flatMap(({ value }) =>
        value === null ? [] : [value]
      );
      const names = new Set(rows.map((row) => row.node));
      for (const row of rows) this.#observe(row);
      for (const node of this.#rows.keys()) {
        if (!names.has(node)) this.#rows.delete(node);
      }
      return true;
    }).pipe(Effect.catch(() => Effect.succeed(false)));
  }

  /** Removes the own row, so that other boxes stop using this one. */
  leave(): Effect.Effect<void> {
    return Effect.ignore(this.#write(this.#options.node, null));
  }

  /** The age of a row counts from its last change, by the clock of this box. */
  #observe(row: MemberRow): void {
    const previous = this.#rows.get(row.node);
    if (previous?.row.renewedAtMs === row.renewedAtMs) return;
    this.#rows.set(row.node, { row, atMs: this.#options.clock.monotonicMs() });
  }

  #renewForever(): Effect.Effect<never> {
    const { node, address, cores, clock } = this.#options;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      const renewedAtMs = clock.wallMs();
      const startedAtMs = this.startedAtMs;
      const row = { node, address, cores, startedAtMs, renewedAtMs };
      const written = yield* Effect.result(this.#write(node, row));
      yield* this.#removeExpired();
      yield* clock.sleep(
        written._tag === "Success" ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS,
      );
    }));
  }

  #removeExpired(): Effect.Effect<void> {
    const { clock, mayRemove } = this.#options;
    return Effect.suspend(() => {
      const beforeMs = clock.monotonicMs() - ROW_EXPIRY_MS;
      const expired = [...this.#rows].filter(([, { atMs }]) => atMs < beforeMs);
      if (!mayRemove()) return Effect.void;
      return Effect.forEach(
        expired,
        ([node]) => Effect.ignore(this.#write(node, null)),
        { discard: true },
      );
    });
  }

  #write(node: string, row: MemberRow | null) {
    const key = TableClient.Keys.memberKey(node);
    const write = { conditions: [], writes: [{ key, value: row }] };
    return this.#options.store.write(write);
  }
}
