/** The configuration in force on this box: queues, keys and teams. */
import * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** The parts of a request that decide on its access. */
export interface AccessRequest {
  readonly host: string;
  readonly path: string;
  /** Null where the request carries no key. */
  readonly key: string | null;
}

/** The queue and the team of a request that passed the check. */
export interface Access {
  readonly route: Ports.QueueRoute;
  /** Team; empty without a known key, on a queue that allows anonymous requests. */
  readonly team: string;
  /** Path after the queue's prefix. */
  readonly subpath: string;
  /** Version of the configuration that granted it. */
  readonly configVersion: number;
}

/** Why a request is refused. */
export type AccessError =
  | Errors.NotReadyError
  | Errors.UnknownQueueError
  | Errors.UnknownKeyError;

/** Holds the newest configuration; an older version never replaces it. */
export class AccessTable {
  readonly #log: Logger.Logger;
  readonly #mayBeOutdated: () => boolean;
  #config: Ports.AccessConfig | null = null;
  #byHost = new Map<string, Ports.QueueRoute[]>();
  #teamOfKey = new Map<string, string>();

  /** @param mayBeOutdated whether a newer version may be in force on other boxes */
  constructor(log: Logger.Logger, mayBeOutdated: () => boolean) {
    this.#log = log;
    this.#mayBeOutdated = mayBeOutdated;
  }

  /** The configuration in force; null before the first one. */
  get config(): Ports.AccessConfig | null {
    return this.#config;
  }

  /** Puts a version in force if it is newer than the current one. */
  update(config: Ports.AccessConfig): void {
    if (config.version <= (this.#config?.version ?? 0)) return;
    this.#config = config;
    this.#byHost = indexRoutes(config);
    this.#teamOfKey = new Map(
      config.tenants.flatMap(({ name, keys }) => keys.map((k) => [k, name])),
    );
    this.#log.info(`Configuration ${config.version} is in force.`);
  }

  /** Finds the queue by host and longest prefix, and checks the key. */
  check(request: AccessRequest): Effect.Effect<Access, AccessError> {
    if (this.#config === null) {
      const waitsFor = "the first configuration";
      return Effect.fail(new Errors.NotReadyError({ waitsFor }));
    }
    if (this.#mayBeOutdated()) {
      const waitsFor = "the store, which may hold a newer configuration";
      return Effect.fail(new Errors.NotReadyError({ waitsFor }));
    }
    const { path, key } = request;
    const route = this.#byHost.get(request.host)?.find(({ pathPrefix }) =>
      path.startsWith(pathPrefix)
    );
    if (route === undefined) {
      return Effect.fail(new Errors.UnknownQueueError({ path }));
    }
    const team = key === null ? undefined : this.#teamOfKey.get(key);
    if (team === undefined && !route.anonymous) {
      return Effect.fail(new Errors.UnknownKeyError({ queue: route.queue }));
    }
    const subpath = path.slice(route.pathPrefix.length);
    const configVersion = this.#config.version;
    return Effect.succeed({
      route,
      team: team ?? "",
      subpath,
      configVersion,
    });
  }
}

/** Groups the routes by host, longest prefix first. */
function indexRoutes(
  config: Ports.AccessConfig,
): Map<string, Ports.QueueRoute[]> {
  const byHost = new Map<string, Ports.QueueRoute[]>();
  for (const route of config.queues) {
    const routes = byHost.get(route.host) ?? [];
    routes.push(route);
    byHost.set(route.host, routes);
  }
  for (const routes of byHost.values()) {
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return byHost;
}
