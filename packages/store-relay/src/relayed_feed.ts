/** A feed whose calls may be relayed through a peer. */
import type * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import type * as Effect from "effect/Effect";
import type * as routes from "./store_route.ts";

/** Timeout of a relayed page of a snapshot, in ms. */
const SNAPSHOT_TIMEOUT_MS = 1500;
/** Time for the answer beyond the requested wait, in ms. */
const ANSWER_MARGIN_MS = 400;

/** Reads a feed directly or through a peer, as the route decides. */
export class RelayedFeed<T> extends Ports.RowFeed<T> {
  override readonly partitions: readonly string[];
  readonly #name: string;
  readonly #direct: Ports.RowFeed<T>;
  readonly #route: routes.StoreRoute;

  /** @param name name of the feed in calls to peers */
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
    request: Ports.PageRequest,
  ): Effect.Effect<Ports.SnapshotPage<T>, Ports.StoreError> {
    const feed = this.#name;
    return this.#route.call({
      direct: this.#direct.page(partition, request),
      relayed: {
        kind: Ports.StoreCallKind.Snapshot,
        feed,
        partition,
        ask: request,
      },
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
