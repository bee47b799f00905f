/** Serves the platform on one address and each worker on its endpoint. */
import * as Adapters from "@cairngate/adapters";
import type * as Errors from "@cairngate/errors";
import * as HttpJson from "@cairngate/http-json";
import * as StandIns from "@cairngate/stand-ins";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as http from "node:http";
import * as platformRoutes from "./platform_routes.ts";
import * as workerRoutes from "./worker_routes.ts";

/** The running servers of a deployment's stand-ins. */
export interface StandInServer {
  readonly workers: ReadonlyMap<string, StandIns.StandInEndpoint>;
  readonly runLog: StandIns.RunLog;
  /** Closes all servers and their connections. */
  close(): void;
}

const KEEP_ALIVE_MS = 120_000;

/** Starts the stand-in platform and one stand-in for each worker of a deployment. */
export function serveStandIns(
  cfg: Types.DeploymentConfig,
  platformAddress: string,
): Effect.Effect<StandInServer, Errors.ListenError> {
  return Effect.gen(function* () {
    const clock = new Adapters.SystemClock();
    const random = new Adapters.SystemRandom();
    const runLog = new StandIns.RunLog();
    const faults = new StandIns.FaultSwitch(clock, random);
    const live = new StandIns.MemoryLiveList(faults);
    const workers = new Map<string, StandIns.StandInEndpoint>();
    const servers: http.Server[] = [];
    for (const spec of cfg.racks.flatMap((rack) => rack.workers)) {
      const options = { ...spec, clock, random, runLog };
      const worker = new StandIns.StandInEndpoint(options);
      const { name, endpoint } = spec;
      workers.set(name, worker);
      live.set({ name, endpoint, leaving: false });
      const server = createServer(workerRoutes.createHandler(worker));
      yield* HttpJson.listen(server, endpoint);
      servers.push(server);
    }
    const platform = createServer(platformRoutes.createHandler({
      table: new StandIns.MemoryTable(faults),
      objects: new StandIns.MemoryObjectStore(faults),
      live,
      faults,
      workers,
      runLog,
    }));
    yield* HttpJson.listen(platform, platformAddress);
    servers.push(platform);
    const close = () => servers.forEach(closeServer);
    return { workers, runLog, close };
  });
}

function createServer(handler: http.RequestListener): http.Server {
  const server = http.createServer(handler);
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  return server;
}

function closeServer(server: http.Server): void {
  server.close();
  server.closeAllConnections();
}
