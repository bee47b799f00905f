/** Connects a box to its adapters and servers. */
import * as Adapters from "@cairngate/adapters";
import * as Box from "@cairngate/box";
import type * as Config from "@cairngate/config";
import type * as Errors from "@cairngate/errors";
import * as Http from "@cairngate/http";
import * as Logger from "@cairngate/logger";
import * as Metrics from "@cairngate/metrics";
import * as Peers from "@cairngate/peers";
import * as Effect from "effect/Effect";
import * as embedded from "./embedded_platform.ts";

/** Options of a daemon. */
export interface StartOptions {
  readonly settings: Config.BoxSettings;
  /** Text of an operators' file to run on in-process stand-ins; null: real platform. */
  readonly embeddedFile: string | null;
}

/** A running daemon. */
export interface RunningDaemon {
  readonly box: Box.Box;
  /** Hands over the box's cells, waits for pending requests, then stops the box. */
  stop(): Effect.Effect<void>;
}

/** Time within which the load balancer detects that the box is not ready. */
const READINESS_LAG_MS = 1000;

/** Starts a box and its HTTP servers. */
export function startDaemon(
  options: StartOptions,
): Effect.Effect<RunningDaemon, Errors.ListenError | Errors.InvalidFileError> {
  return Effect.gen(function* () {
    const { settings } = options;
    const log = Logger.createLogger({
      level: settings.logLevel,
      format: settings.logFormat,
      box: settings.box,
    });
    const platform = options.embeddedFile === null
      ? connectPlatform(settings)
      : yield* embedded.createEmbeddedPlatform(options.embeddedFile);
    const box = createBox(settings, platform, log);
    yield* box.start();
    const callers = yield* Http.serveCallers(box, {
      address: settings.callersAddress,
      bodyBytes: settings.limits.bodyBytes,
    });
    const closeOperators = yield* Http.serveOperators(
      box,
      settings.operatorsAddress,
    );
    const daemonLog = log.child("daemon");
    daemonLog.info(
      `Box ${settings.box} serves callers on ${settings.callersAddress}.`,
    );
    const stop = () =>
      stopDaemon({ box, callers, closeOperators, log: daemonLog, settings });
    return { box, stop };
  });
}

function createBox(
  settings: Config.BoxSettings,
  platform: embedded.PlatformAdapters,
  log: Logger.Logger,
): Box.Box {
  const { clock, random } = platform;
  const network = new Peers.WsPeerNetwork({
    self: settings.box,
    address: settings.peersAddress,
    peers: settings.peers,
    clock,
    random,
    log: log.child("peers"),
    metrics: platform.metrics,
  });
  return new Box.Box({ ...platform, network, log }, settings);
}

function connectPlatform(
  settings: Config.BoxSettings,
): embedded.PlatformAdapters {
  const { platformAddress, limits } = settings;
  const metrics = new Metrics.Metrics();
  const platform = countTraffic(metrics, "platform");
  const workers = countTraffic(metrics, "worker");
  return embedded.withSystemTime(metrics, {
    table: new Adapters.HttpTable(platformAddress, platform),
    objects: new Adapters.HttpObjectStore(platformAddress, platform),
    liveList: new Adapters.HttpLiveList(platformAddress, platform),
    workers: new Adapters.HttpWorkers(limits.connectionsPerWorker, workers),
  });
}

function countTraffic(
  metrics: Metrics.Metrics,
  link: string,
): (sent: number, received: number) => void {
  return (sent, received) => {
    metrics.count(`cairngate_${link}_sent_bytes_total`, {}, sent);
    metrics.count(`cairngate_${link}_received_bytes_total`, {}, received);
  };
}

interface StopContext {
  readonly box: Box.Box;
  readonly callers: Http.CallersServer;
  readonly closeOperators: () => void;
  readonly log: Logger.Logger;
  readonly settings: Config.BoxSettings;
}

function stopDaemon(context: StopContext): Effect.Effect<void> {
  const { box, callers, log, settings } = context;
  return Effect.gen(function* () {
    log.info("The box is shutting down.");
    callers.beginClosing();
    yield* box.leave();
    yield* Effect.sleep(READINESS_LAG_MS);
    const drained = yield* box.drain(settings.times.stopGraceMs);
    if (!drained) log.warn("Disconnecting callers that are still waiting.");
    yield* Effect.timeoutOption(callers.close(), READINESS_LAG_MS);
    yield* box.stop();
    context.closeOperators();
    log.info("The box has stopped.");
  });
}
