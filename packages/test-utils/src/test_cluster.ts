/** Several in-process boxes on fakes and a clock under the control of the test. */
import * as Box from "@cairngate/box";
import * as Logger from "@cairngate/logger";
import * as Metrics from "@cairngate/metrics";
import * as StandIns from "@cairngate/stand-ins";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as builders from "./builders.ts";
import * as clocks from "./fake_clock.ts";
import * as networks from "./fake_network.ts";
import * as faulty from "./faulty_workers.ts";
import * as pausable from "./pausable_clock.ts";
import * as randoms from "./seeded_random.ts";

const TIMES = {
  heartbeatMs: 500,
  peerTimeoutMs: 1400,
  ownerLeaseMs: 6000,
  configPollMs: 2000,
  livePollMs: 1500,
  reportWaitMs: 10_000,
  stopGraceMs: 30_000,
};
const LIMITS = {
  waitingCallers: 100,
  bodyBytes: 100_000,
  storeWritesPerSecond: 100,
  connectionsPerWorker: 6,
};
const READY_MS = 10_000;

/** Boxes, endpoints and platform of one test. */
export class TestCluster {
  readonly clock = new clocks.FakeClock();
  readonly random: randoms.SeededRandom;
  readonly faults: StandIns.FaultSwitch;
  readonly table: StandIns.MemoryTable;
  readonly live: StandIns.MemoryLiveList;
  readonly runLog = new StandIns.RunLog();
  readonly workers = new Map<string, StandIns.StandInEndpoint>();
  readonly endpointAdapter = new StandIns.MemoryEndpoints();
  readonly hub: networks.NetworkHub;
  readonly cfg: Types.DeploymentConfig;
  readonly boxes = new Map<string, Box.Box>();
  readonly clocks = new Map<string, pausable.PausableClock>();
  /** Connection of each box to the endpoints, so that each can be cut separately. */
  readonly links = new Map<string, faulty.FaultyEndpoints>();
  readonly #objects: StandIns.MemoryObjectStore;

  constructor(
    options: { boxes?: number; cfg?: Types.DeploymentConfig; seed?: number } =
      {},
  ) {
    this.random = new randoms.SeededRandom(options.seed ?? 1);
    this.faults = new StandIns.FaultSwitch(this.clock, this.random);
    this.table = new StandIns.MemoryTable(this.faults);
    this.live = new StandIns.MemoryLiveList(this.faults);
    this.#objects = new StandIns.MemoryObjectStore(this.faults);
    this.cfg = options.cfg ?? builders.buildDeployment({ workersPerRack: 2 });
    const count = options.boxes ?? 3;
    const names = Array.from({ length: count }, (_, i) => `box_${i + 1}`);
    this.hub = new networks.NetworkHub(names, this.clock);
    for (const spec of this.cfg.racks.flatMap((rack) => rack.workers)) {
      this.#addWorker(spec);
    }
    for (const name of names) this.createBox(name);
  }

  /** Starts all boxes, applies the deployment and waits until the cell is settled. */
  async start(): Promise<void> {
    for (const box of this.boxes.values()) {
      await Effect.runPromise(box.start());
    }
    await this.run(
      this.box("box_1").configs.apply({
        text: builders.printDeployment(this.cfg),
        basedOn: 0,
        applyId: "first",
      }),
    );
    await this.clock.advanceUntil(() => this.isSettled(), READY_MS);
  }

  /** Returns a box by name. */
  box(name: string): Box.Box {
    return this.boxes.get(name)!;
  }

  /** Name of the box that owns the cell in the highest epoch; null if none does. */
  owner(): string | null {
    let best: { name: string; epoch: number } | null = null;
    for (const [name, box] of this.boxes) {
      for (const cell of box.dump().cells) {
        if (best === null || cell.epoch > best.epoch) {
          best = { name, epoch: cell.epoch };
        }
      }
    }
    return best?.name ?? null;
  }

  /** Whether all boxes are ready and the owner of the cell has fenced all endpoints. */
  isSettled(): boolean {
    const owner = this.owner();
    if (owner === null) return false;
    const [cell] = this.box(owner).dump().cells;
    const isEveryBoxReady = [...this.boxes.values()].every((b) => b.isReady);
    return isEveryBoxReady && cell.workers.every((worker) => worker.sealed);
  }

  /** Runs an effect to its end while the time advances; rejects if it fails. */
  async run<A, E>(
    work: Effect.Effect<A, E>,
    timeoutMs = 60_000,
  ): Promise<A> {
    const pending = this.begin(work);
    await this.clock.advanceUntil(() => pending.isOver(), timeoutMs);
    return await pending.value;
  }

  /** Starts an effect without advancing the time. */
  begin<A, E>(
    work: Effect.Effect<A, E>,
  ): { value: Promise<A>; isOver: () => boolean } {
    let over = false;
    const value = Effect.runPromise(work);
    value.then(() => (over = true), () => (over = true));
    return { value, isOver: () => over };
  }

  /** Kills the process of a box. */
  async kill(name: string): Promise<void> {
    this.hub.attach(name, null);
    this.links.get(name)!.rule = () => faulty.Loss.Order;
    await this.run(this.box(name).stop());
    this.boxes.delete(name);
  }

  /** Restarts a box under its name, as after a crash. */
  async restart(name: string): Promise<void> {
    await Effect.runPromise(this.createBox(name).start());
  }

  /** Creates a box without starting it. */
  createBox(name: string): Box.Box {
    const workers = new faulty.FaultyEndpoints(this.endpointAdapter);
    const clock = new pausable.PausableClock(this.clock);
    workers.gate = clock.awaitRunning();
    this.hub.setGate(name, clock.awaitRunning());
    this.clocks.set(name, clock);
    const box = new Box.Box({
      clock,
      random: this.random,
      metrics: new Metrics.Metrics(),
      table: this.table,
      objects: this.#objects,
      liveList: this.live,
      workers,
      network: new networks.FakeNetwork(name, this.hub),
      log: Logger.silentLogger(),
    }, {
      box: name,
      dataCentre: "dc",
      deployment: this.cfg.name,
      limits: LIMITS,
      times: TIMES,
    });
    this.links.set(name, workers);
    this.boxes.set(name, box);
    return box;
  }

  /** Submits a job through a box. */
  submit(
    box: string,
    body: Readonly<Record<string, unknown>>,
    options: { key?: string; waitSeconds?: number } = {},
  ) {
    return this.box(box).entry.submit({
      body: { team: "a", ...body },
      idempotencyKey: options.key ?? null,
      waitSeconds: options.waitSeconds ?? null,
    });
  }

  /** Summarizes what the endpoints ran. */
  summary(): StandIns.ExecutionSummary {
    return StandIns.summarizeRunLog(this.runLog.entries);
  }

  #addWorker(spec: Types.WorkerSpec): void {
    const worker = new StandIns.StandInEndpoint({
      ...spec,
      clock: this.clock,
      random: this.random,
      runLog: this.runLog,
    });
    this.workers.set(spec.name, worker);
    this.endpointAdapter.add(spec.endpoint, worker);
    this.live.set({ ...spec, leaving: false });
  }
}
