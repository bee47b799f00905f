/** A table service whose calls may be relayed through a peer. */
import * as Ports from "@cairngate/ports";
import type * as Effect from "effect/Effect";
import type * as routes from "./store_route.ts";

/** Timeout of a relayed call, in ms. */
const CALL_TIMEOUT_MS = 1000;
/** Timeout of a relayed page of rows, in ms. */
const PAGE_TIMEOUT_MS = 1500;

/** Calls the table service directly or through a peer, as the route decides. */
export class RelayedTable extends Ports.TableService {
  readonly #direct: Ports.TableService;
  readonly #route: routes.StoreRoute;

  constructor(direct: Ports.TableService, route: routes.StoreRoute) {
    super();
    this.#direct = direct;
    this.#route = route;
  }

  override read(
    keys: readonly string[],
  ): Effect.Effect<readonly Ports.Row[], Ports.StoreError> {
    return this.#route.call({
      direct: this.#direct.read(keys),
      relayed: { kind: Ports.StoreCallKind.Read, keys },
      relayTimeoutMs: CALL_TIMEOUT_MS,
      expectedWaitMs: 0,
      onRouteChange: "again",
    }) as Effect.Effect<readonly Ports.Row[], Ports.StoreError>;
  }

  override scan(
    prefix: string,
    afterRevision: number,
  ): Effect.Effect<readonly Ports.Row[], Ports.StoreError> {
    return this.#route.call({
      direct: this.#direct.scan(prefix, afterRevision),
      relayed: { kind: Ports.StoreCallKind.Scan, prefix, afterRevision },
      relayTimeoutMs: CALL_TIMEOUT_MS,
      expectedWaitMs: 0,
      onRouteChange: "again",
    }) as Effect.Effect<readonly Ports.Row[], Ports.StoreError>;
  }

  override scanPage(
    prefix: string,
    request: Ports.PageRequest,
  ): Effect.Effect<Ports.RowPage, Ports.StoreError> {
    return this.#route.call({
      direct: this.#direct.scanPage(prefix, request),
      relayed: { kind: Ports.StoreCallKind.ScanPage, prefix, ask: request },
      relayTimeoutMs: PAGE_TIMEOUT_MS,
      expectedWaitMs: 0,
      onRouteChange: "again",
    }) as Effect.Effect<Ports.RowPage, Ports.StoreError>;
  }

  override transact(
    tx: Ports.Transaction,
  ): Effect.Effect<number, Ports.WriteError> {
    return this.#route.call({
      direct: this.#direct.transact(tx),
      relayed: { kind: Ports.StoreCallKind.Transact, tx },
      relayTimeoutMs: CALL_TIMEOUT_MS,
      expectedWaitMs: 0,
      onRouteChange: "lost",
    }) as Effect.Effect<number, Ports.WriteError>;
  }
}
