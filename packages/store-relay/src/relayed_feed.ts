/** A feed over a route that may lead through a peer. */
import type * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import type * as Effect from "effect/Effect";
import type * as routes from "./store_route.ts";

/** A page of a snapshot takes no longer than this, in ms. */
const SNAPSHOT_TIMEOUT_MS = 1500;
/** Time for the answer beside the wait that was asked for. */
const ANSWER_MARGIN_MS = 400;

/** Passes looks on. */
export class RelayedFeed<T> extends Ports.RowFeed<T> {
  override readonly partitions: readonly string[];
  readonly #name: string;
  readonly #direct: Ports.RowFeed<T>;
  readonly #route: routes.StoreRoute;

  /** @param name under which peers know the feed */
  constructor(
    name: string,
    direct: Ports.RowFeed<T>,
    route: routes.StoreRoute,
  ) {
    super();
    this.#name = name;
    this.#direct = direct;
    this.#route = route;
    this.partitions = direct.partitions;
  }

  override page(
    partition: string,
    ask: Ports.PageAsk,
  ): Effect.Effect<Ports.SnapshotPage<T>, Ports.StoreError> {
    const feed = this.#name;
    return this.#route.call({
      direct: this.#direct.page(partition, ask),
      relayed: { kind: Ports.StoreCallKind.Snapshot, feed, partition, ask },
      relayTimeoutMs: SNAPSHOT_TIMEOUT_MS,
      expectedWaitMs: 0,
      onRouteChange: "again",
    }) as Effect.Effect<Ports.SnapshotPage<T>, Ports.StoreError>;
  }

  override changes(
    position: number,
    waitMs: number,
  ): Effect.Effect<
    Ports.FeedPage<T>,
    Ports.StoreError | Errors.HistoryLostError
  > {
    const feed = this.#name;
    const kind = Ports.StoreCallKind.Changes as const;
    return this.#route.call({
      direct: this.#direct.changes(position, waitMs),
      relayed: { kind, feed, position, waitMs },
      relayTimeoutMs: waitMs + ANSWER_MARGIN_MS,
      expectedWaitMs: waitMs,
      onRouteChange: "again",
    }) as Effect.Effect<
      Ports.FeedPage<T>,
      Ports.StoreError | Errors.HistoryLostError
    >;
  }
}
