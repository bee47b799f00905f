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
  readonly random: Ports.RandomSource;
  /** Whether this node removes the rows of nodes that have gone. */
  readonly mayRemove: () => boolean;
}

/** Another node. */
export interface Member extends Ports.StorePeer {
  readonly cores: number;
}

const FEED_WAIT_MS = 10_000;
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

  constructor(options: MemberBookOptions) {
    this.#options = options;
  }

  /** The other nodes. */
  others(): readonly Member[] {
    const { node, clock } = this.#options;
    const sinceMs = clock.monotonicMs() - GONE_MS;
    return [...this.#heard.values()]
      .filter(({ row, atMs }) => row.node !== node && atMs >= sinceMs)
      .map(({ row: { node: name, address, cores } }) => ({
        node: name,
        address,
        cores,
      }));
  }

  /** Announces this node and follows the others, for ever. */
  run(): Effect.Effect<never> {
    const { clock, random, feed } = this.#options;
    const follower = new TableClient.RowFollower<MemberRow>({
      feed,
      clock,
      random,
      waitMs: FEED_WAIT_MS,
      onChange: (entries) => {
        for (const { key, value } of entries) this.#note(key, value);
      },
    });
    return Effect.raceFirst(follower.run(), this.#keepRenewing());
  }

  /** Takes this node's own row away. */
  leave(): Effect.Effect<void> {
    return Effect.ignore(this.#write(this.#options.node, null));
  }

  #note(key: string, row: MemberRow | null): void {
    const node = key.slice(TableClient.Keys.MEMBER_PREFIX.length);
    if (row === null) this.#heard.delete(node);
    else {this.#heard.set(node, {
        row,
        atMs: this.#options.clock.monotonicMs(),
      });}
  }

  #keepRenewing(): Effect.Effect<never> {
    const { node, address, cores, clock } = this.#options;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      const renewedAtMs = clock.wallMs();
      const row: MemberRow = { node, address, cores, renewedAtMs };
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
