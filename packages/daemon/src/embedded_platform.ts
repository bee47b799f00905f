/** In-process stand-ins for the platform and its workers. */
import * as Adapters from "@cairngate/adapters";
import * as Config from "@cairngate/config";
import type * as Errors from "@cairngate/errors";
import * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as StandIns from "@cairngate/stand-ins";
import * as Effect from "effect/Effect";

/** Adapters of a box, except for the peer network. */
export interface PlatformAdapters {
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly metrics: Metrics.Metrics;
  readonly table: Ports.TableService;
  readonly objects: Ports.ObjectStore;
  readonly liveList: Ports.LiveList;
  readonly workers: Ports.Workers;
}

/** Adds the system's clock and random numbers. */
export function withSystemTime(
  metrics: Metrics.Metrics,
  adapters: Omit<PlatformAdapters, "clock" | "random" | "metrics">,
): PlatformAdapters {
  const clock = new Adapters.SystemClock();
  const random = new Adapters.SystemRandom();
  return { ...adapters, clock, random, metrics };
}

/** Creates a platform with a stand-in for each worker of an operators' file. */
export function createEmbeddedPlatform(
  text: string,
): Effect.Effect<PlatformAdapters, Errors.InvalidFileError> {
  return Effect.gen(function* () {
    const cfg = yield* Config.parseDeployment(text);
    const clock = new Adapters.SystemClock();
    const random = new Adapters.SystemRandom();
    const faults = new StandIns.FaultSwitch(clock, random);
    const runLog = new StandIns.RunLog();
    const liveList = new StandIns.MemoryLiveList(faults);
    const workers = new StandIns.MemoryEndpoints();
    for (const spec of cfg.racks.flatMap((rack) => rack.workers)) {
      const options = { ...spec, clock, random, runLog };
      workers.add(spec.endpoint, new StandIns.StandInEndpoint(options));
      liveList.set({ ...spec, leaving: false });
    }
    return withSystemTime(new Metrics.Metrics(), {
      table: new StandIns.MemoryTable(faults),
      objects: new StandIns.MemoryObjectStore(faults),
      liveList,
      workers,
    });
  });
}
