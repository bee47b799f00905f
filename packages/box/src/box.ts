/** One box: connects request entry, membership, configuration and cell owners. */
import * as Cell from "@cairngate/cell";
import type * as Config from "@cairngate/config";
import * as Entry from "@cairngate/entry";
import type * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as configs from "./config_manager.ts";
import * as leaving from "./leaving_workers.ts";
import * as memberships from "./membership.ts";
import * as routers from "./owner_router.ts";
import * as requests from "./peer_requests.ts";

/** Services of the environment that a box uses. */
export interface BoxPorts {
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly table: Ports.TableService;
  readonly objects: Ports.ObjectStore;
  readonly liveList: Ports.LiveList;
  readonly workers: Ports.Workers;
  readonly network: Ports.PeerNetwork;
  readonly metrics: Metrics.Metrics;
  readonly log: Logger.Logger;
}

/** The settings that a box uses; the rest serves its adapters. */
export type BoxOptions = Pick<
  Config.BoxSettings,
  "box" | "dataCentre" | "deployment" | "limits" | "times"
>;

/** State of a box for `cairngate dump`. */
export interface BoxDump {
  readonly box: string;
  readonly dataCentre: string;
  readonly state: Types.BoxState;
  readonly configVersion: number;
  readonly storeReachable: boolean;
  readonly waitingCallers: number;
  readonly membership: ReturnType<memberships.Membership["dump"]>;
  readonly cells: readonly Cell.CellDump[];
}

const WRITE_GROUP_WINDOW_MS = 15;
const PEER_TIMEOUT_MS = 1000;
const FETCH_INTERVAL_MS = 500;
const DRAIN_POLL_MS = 50;

/** A running box. */
export class Box {
  readonly entry: Entry.Entry;
  readonly configs: configs.ConfigManager;
  readonly metrics: Metrics.Metrics;
  readonly owners: routers.OwnerRouter;
  readonly #ports: BoxPorts;
  readonly #options: BoxOptions;
  readonly #store: TableClient.StoreClient;
  readonly #membership: memberships.Membership;
  readonly #leavingWorkers: leaving.LeavingWorkers;
  readonly #managers = new Map<string, Cell.CellManager>();
  readonly #fibers: Fiber.Fiber<unknown>[] = [];
  readonly #cellPorts: Cell.CellPorts;

  constructor(ports: BoxPorts, options: BoxOptions) {
    this.#ports = ports;
    this.#options = options;
    const { clock, random, log } = ports;
    const { box, limits, times } = options;
    const { metrics } = ports;
    this.metrics = metrics;
    this.#store = new TableClient.StoreClient({
      table: ports.table,
      clock,
      random,
      metrics,
      writesPerSecond: limits.storeWritesPerSecond,
    });
    const writer = new TableClient.GroupedWriter({
      client: this.#store,
      clock,
      windowMs: WRITE_GROUP_WINDOW_MS,
    });
    this.configs = new configs.ConfigManager({
      deployment: options.deployment,
      clock,
      store: this.#store,
      metrics,
      log: log.child("config"),
      onChange: () => this.#startManagers(),
    });
    this.#leavingWorkers = new leaving.LeavingWorkers(ports.liveList, clock);
    this.#membership = new memberships.Membership({
      ...options,
      clock,
      network: ports.network,
      leavingWorkers: this.#leavingWorkers,
      configVersion: () => this.configs.current?.version ?? 0,
    });
    this.owners = new routers.OwnerRouter({
      box,
      network: ports.network,
      membership: this.#membership,
      local: (_, req) => this.#answer(req),
    });
    const shared = { ...ports, box, store: this.#store, writer, metrics };
    this.#cellPorts = {
      ...shared,
      times,
      log: log.child("cell"),
      view: this.#membership,
      config: () => this.configs.inForce,
    };
    this.entry = new Entry.Entry({
      ...shared,
      limits,
      log: log.child("entry"),
      owners: this.owners,
      config: () => this.configs.inForce?.cfg ?? null,
    });
  }

  /** Starts listening for peers and the background work; does not wait for it. */
  start(): Effect.Effect<void, Errors.ListenError> {
    return Effect.gen({ self: this }, function* () {
      const { network } = this.#ports;
      const { times } = this.#options;
      yield* network.listen((_, req) => this.#answer(req));
      this.#membership.start();
      this.#fork(this.configs.keepPolling(times.configPollMs));
      this.#fork(this.#leavingWorkers.keepReading(times.livePollMs));
      this.#fork(this.#keepFetchingConfig());
    });
  }

  /** Whether the box serves callers: it has a configuration and is not leaving. */
  get isReady(): boolean {
    return this.#membership.state === Types.BoxState.Live;
  }

  /** Requests the state of a cell from its owner. */
  cellStatus(cell: string) {
    const kind = Types.PeerKind.CellStatus as const;
    const req = { kind, cell };
    return this.owners.request<Types.CellStatus>(
      cell,
      req,
      PEER_TIMEOUT_MS * 2,
    );
  }

  /** Requests the explanation of a job; null if its owner does not have it. */
  explain(cell: string, jobId: string) {
    const kind = Types.PeerKind.Explain as const;
    const req = { kind, cell, jobId };
    return this.owners.request<Types.Explanation | null>(
      cell,
      req,
      PEER_TIMEOUT_MS * 2,
    );
  }

  /** Returns the state of this box for `cairngate dump`. */
  dump(): BoxDump {
    const cells = [...this.#managers.values()].flatMap((manager) =>
      manager.owner === null ? [] : [manager.owner.dump()]
    );
    return {
      box: this.#options.box,
      dataCentre: this.#options.dataCentre,
      state: this.#membership.state,
      configVersion: this.configs.current?.version ?? 0,
      storeReachable: this.#store.isReachable(),
      waitingCallers: this.entry.waitingCallers,
      membership: this.#membership.dump(),
      cells,
    };
  }

  /** Announces to the peers that this box is leaving, and hands over its cells. */
  leave(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#membership.setState(Types.BoxState.Leaving);
      const leaving = [...this.#managers.values()].map((m) => m.leave());
      yield* Effect.all(leaving, { concurrency: "unbounded" });
    });
  }

  /** Waits until no caller is waiting; returns false after the timeout. */
  drain(timeoutMs: number): Effect.Effect<boolean> {
    const { clock } = this.#ports;
    return Effect.gen({ self: this }, function* () {
      const endMs = clock.monotonicMs() + timeoutMs;
      while (this.entry.waitingCallers > 0) {
        if (clock.monotonicMs() >= endMs) return false;
        yield* clock.sleep(DRAIN_POLL_MS);
      }
      return true;
    });
  }

  /** Interrupts all work and closes the peer network. */
  stop(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* Fiber.interruptAll(this.#fibers);
      yield* this.#membership.stop();
      yield* this.#ports.network.close();
    });
  }

  #answer(
    req: Types.PeerRequest,
  ): Effect.Effect<unknown, Errors.NotOwnerError | Errors.NotReadyError> {
    return requests.answerPeer({
      membership: this.#membership,
      configs: this.configs,
      owner: (cell) => this.#managers.get(cell)?.owner ?? null,
    }, req);
  }

  /** Starts managers for new cells of a newer configuration and informs the peers. */
  #startManagers(): void {
    const cells = this.configs.inForce?.cfg.cells ?? [];
    for (const { name } of cells) {
      if (this.#managers.has(name)) continue;
      const manager = new Cell.CellManager(this.#cellPorts, name);
      this.#managers.set(name, manager);
      this.#fork(manager.run());
    }
    if (this.#membership.state === Types.BoxState.Starting) {
      this.#membership.setState(Types.BoxState.Live);
    } else {
      this.#membership.announce();
    }
  }

  /** Fetches newer configurations from peers, which works without the store. */
  #keepFetchingConfig(): Effect.Effect<never> {
    const { clock, network } = this.#ports;
    const fetch = Effect.gen({ self: this }, function* () {
      const ownVersion = this.configs.current?.version ?? 0;
      const [peer] = this.#membership.peersAhead(ownVersion);
      if (peer === undefined) return;
      const kind = Types.PeerKind.FetchConfig as const;
      const found = yield* Effect.result(
        network.request(peer, { kind }, PEER_TIMEOUT_MS),
      );
      if (found._tag === "Failure" || found.success === null) return;
      yield* this.configs.adopt(found.success as Types.ConfigVersion);
    });
    const fetchWhenNewer = Effect.andThen(
      this.#membership.awaitNewerConfig(),
      fetch,
    );
    return clock.every(FETCH_INTERVAL_MS, fetchWhenNewer);
  }

  #fork(work: Effect.Effect<unknown>): void {
    this.#fibers.push(Effect.runFork(work));
  }
}
