/** Carries out calls to the store for peers that the store does not answer. */
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as replies from "./replies.ts";
import type * as routes from "./store_route.ts";

/** Dependencies of the relay server. */
export interface RelayServerOptions {
  /** Direct access of this box to the store. */
  readonly table: Ports.TableService;
  readonly feeds: ReadonlyMap<string, Ports.RowFeed<unknown>>;
  readonly route: routes.StoreRoute;
}

/** Largest number of concurrent calls from peers. */
const MAX_CALLS = 64;

/** Carries out the calls of peers while this box has a direct route. */
export class RelayServer {
  readonly #options: RelayServerOptions;
  #running = 0;

  constructor(options: RelayServerOptions) {
    this.#options = options;
  }

  /** Carries out one call; never relays it to a third box. */
  answer(call: Ports.StoreCall): Effect.Effect<Ports.StoreReply> {
    return Effect.suspend(() => {
      if (!this.#options.route.isDirect) return refuse("it is turned away too");
      if (this.#running >= MAX_CALLS) return refuse("it has too many calls");
      this.#running++;
      const done = Effect.sync(() => {
        this.#running--;
      });
      return Effect.ensuring(this.#execute(call), done);
    });
  }

  #execute(call: Ports.StoreCall): Effect.Effect<Ports.StoreReply> {
    const { table, route, feeds } = this.#options;
    switch (call.kind) {
      case Ports.StoreCallKind.Probe:
        return replies.toReply(route.probe());
      case Ports.StoreCallKind.Read:
        return replies.toReply(table.read(call.keys));
      case Ports.StoreCallKind.Scan:
        return replies.toReply(table.scan(call.prefix, call.afterRevision));
      case Ports.StoreCallKind.ScanPage:
        return replies.toReply(table.scanPage(call.prefix, call.ask));
      case Ports.StoreCallKind.Transact:
        return replies.toReply(table.transact(call.tx));
      case Ports.StoreCallKind.Snapshot: {
        const feed = feeds.get(call.feed);
        if (feed === undefined) return refuse(`no feed ${call.feed}`);
        return replies.toReply(feed.page(call.partition, call.ask));
      }
      case Ports.StoreCallKind.Changes: {
        const feed = feeds.get(call.feed);
        if (feed === undefined) return refuse(`no feed ${call.feed}`);
        return replies.toReply(feed.changes(call.position, call.waitMs));
      }
      default:
        return refuse("it does not know this call");
    }
  }
}

function refuse(value: string): Effect.Effect<Ports.StoreReply> {
  const outcome = Ports.StoreOutcome.Unavailable;
  return Effect.succeed({ outcome, value });
}
