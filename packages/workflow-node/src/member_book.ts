/**
 * The other nodes, as their rows in the store tell. A row that is not renewed is
 * taken for a node that has gone.
 */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Effect from "effect/Effect";

/** Row of a node. */
export interface MemberRow {
  readonly node: string;
  /** Where its peers open links, as host:port. */
  readonly address: string;
  /** Processor that it may use, in cores. */
  readonly cores: number;
  /** Wall-clock time at which its process began. */
  readonly startedAtMs: number;
  /** Wall-clock time of the renewal; makes each renewal a change. */
  readonly renewedAtMs: number;
}

/** What the book needs. */
export interface MemberBookOptions {
  readonly node: string;
  readonly address: string;
  /** Processor that this node may use, in cores. */
  readonly cores: number;
  readonly store: TableClient.StoreClient;
  readonly feed: Ports.RowFeed<MemberRow>;
  readonly clock: Ports.Clock;
  /** Whether this node removes the rows of nodes that have gone. */
  readonly mayRemove: () => boolean;
}

/** Another node. */
export interface Member extends Ports.StorePeer {
  readonly cores: number;
  readonly startedAtMs: number;
}

/**
 * Pauses between the first looks at the rows, in ms: boxes that start together
 * find each other soon.
 */
const FIRST_PAUSES_MS: readonly number[] = [200, 300, 500, 1000];
/**
 * Pause between two looks, in ms. A watch would be woken by every renewal of
 * every box, so that its calls would grow with the square of the boxes.
 */
const PAUSE_MS = 10_000;
const RENEW_MS = 15_000;
const RETRY_MS = 500;
const GONE_MS = 50_000;

interface Heard {
  readonly row: MemberRow;
  readonly atMs: number;
}

/** Nodes by name. */
export class MemberBook {
  readonly #options: MemberBookOptions;
  readonly #heard = new Map<string, Heard>();
  /** Wall-clock time at which this process began. */
  readonly startedAtMs: number;

  constructor(options: MemberBookOptions) {
    this.#options = options;
    this.startedAtMs = options.clock.wallMs();
  }

  /** The other nodes. */
  others(): readonly Member[] {
    const { node, clock } = this.#options;
    const sinceMs = clock.monotonicMs() - GONE_MS;
    return [...this.#heard.values()]
      .filter(({ row, atMs }) => row.node !== node && atMs >= sinceMs)
      .map(({ row: { renewedAtMs: _, ...member } }) => member);
  }

  /** Announces this node and looks at the others, for ever. */
  run(): Effect.Effect<never> {
    return Effect.raceFirst(this.#keepLooking(), this.#keepRenewing());
  }

  #keepLooking(): Effect.Effect<never> {
    const { clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      let looks = 0;
      for (;;) {
        const hasRead = yield* this.#look();
        const pauseMs = FIRST_PAUSES_MS[looks] ?? PAUSE_MS;
        if (hasRead) looks++;
        yield* clock.sleep(hasRead ? pauseMs : RETRY_MS);
      }
    });
  }

  /** Reads all rows; false where the store did not answer. */
  #look(): Effect.Effect<boolean> {
    const { clock, feed } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const read = new TableClient.PagedRead({
        clock,
        read: (ask: Ports.PageAsk) => feed.page("", ask),
      });
      while (!(yield* read.step()));
      const rows = read.items.flatMap(({ value }) =>
        value === null ? [] : [value]
      );
      const names = new Set(rows.map((row) => row.node));
      for (const row of rows) this.#note(row);
      for (const node of this.#heard.keys()) {
        if (!names.has(node)) this.#heard.delete(node);
      }
      return true;
    }).pipe(Effect.catch(() => Effect.succeed(false)));
  }

  /** Takes this node's own row away. */
  leave(): Effect.Effect<void> {
    return Effect.ignore(this.#write(this.#options.node, null));
  }

  /** A row is as old as its last change, as far as this node has seen it. */
  #note(row: MemberRow): void {
    const known = this.#heard.get(row.node);
    if (known?.row.renewedAtMs === row.renewedAtMs) return;
    this.#heard.set(row.node, { row, atMs: this.#options.clock.monotonicMs() });
  }

  #keepRenewing(): Effect.Effect<never> {
    const { node, address, cores, clock } = this.#options;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      const renewedAtMs = clock.wallMs();
      const startedAtMs = this.startedAtMs;
      const row = { node, address, cores, startedAtMs, renewedAtMs };
      const written = yield* Effect.result(this.#write(node, row));
      yield* this.#removeGone();
      yield* clock.sleep(written._tag === "Success" ? RENEW_MS : RETRY_MS);
    }));
  }

  #removeGone(): Effect.Effect<void> {
    const { clock, mayRemove } = this.#options;
    return Effect.suspend(() => {
      const beforeMs = clock.monotonicMs() - GONE_MS;
      const gone = [...this.#heard].filter(([, { atMs }]) => atMs < beforeMs);
      if (!mayRemove()) return Effect.void;
      return Effect.forEach(
        gone,
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
