/** Several nodes for workflows on fakes and a clock that the test moves. */
import * as Logger from "@cairngate/logger";
import * as Metrics from "@cairngate/metrics";
import * as Ports from "@cairngate/ports";
import * as StandIns from "@cairngate/stand-ins";
import * as TableClient from "@cairngate/table-client";
import * as Types from "@cairngate/types";
import * as Workflow from "@cairngate/workflow";
import * as Node from "@cairngate/workflow-node";
import * as Effect from "effect/Effect";
import * as clocks from "./fake_clock.ts";
import * as peers from "./fake_store_peers.ts";
import * as suspendables from "./suspendable_clock.ts";
import * as randoms from "./seeded_random.ts";

/** Bounds that the tests play with. */
export const FLEET_BOUNDS = {
  longestLeaseMs: 6000,
  stopMs: 500,
  gangWaitMs: 3000,
  remotePenalty: 3,
  keepEndedMs: 120_000,
};

const OPERATOR_PREFIX = "test-operator/";
const WORKERS_PREFIX = "test-workers/";
const WRITES_PER_SECOND = 500;
const ROW_BYTES = 65_536;
const CONFIG_IN_FORCE_MS = 2000;
/** Time within which nothing starts any more in an evacuated data centre, in ms. */
export const EVACUATION_IN_FORCE_MS = 5000;
/** A crashed endpoint is back after this time, in ms, at the same address. */
export const CRASH_BACK_MS = 3000;

/** A configuration with one queue for each priority, 0 to 2. */
export function buildAccess(
  guarantees: Readonly<Record<string, number>> = { hana: 4 },
  version = 1,
): Ports.AccessConfig {
  const queues = [0, 1, 2].map((priority) => ({
    queue: `queue-${priority}`,
    host: "jobs.example",
    pathPrefix: `/p${priority}/`,
    anonymous: false,
    service: "analysis",
    priority,
    attempts: 3,
    stretch: 2,
    latencyMs: 500,
    advice: null,
  }));
  const tenants = Object.entries(guarantees).map(([name, guaranteed]) => ({
    name,
    keys: [`key-of-${name}`],
    guaranteed,
  }));
  return { version, queues, tenants, maxBodyBytes: 100_000 };
}

/** A step of one task on one accelerator. */
export function buildStep(
  changes: Partial<Workflow.StepSpec> = {},
): Workflow.StepSpec {
  return Workflow.createStep({
    cpuMillis: 1000,
    memoryMb: 1000,
    accelerators: 1,
    estimateMs: 1000,
    ...changes,
  });
}

interface FleetNode {
  readonly node: Node.WorkflowNode;
  readonly faults: StandIns.FaultSwitch;
}

/** Nodes, workers and store of one test. */
export class TestFleet {
  readonly clock = new clocks.FakeClock();
  readonly random: randoms.SeededRandom;
  /** Faults of the store for all nodes. */
  readonly faults: StandIns.FaultSwitch;
  readonly table: StandIns.MemoryTable;
  readonly workers: StandIns.MemoryTaskWorkers;
  /** Links between the nodes. */
  readonly links = new peers.FakePeerHub(this.clock);
  readonly nodes = new Map<string, FleetNode>();
  /** Clock of each node. */
  readonly clocks = new Map<string, suspendables.SuspendableClock>();
  readonly #config: Ports.AccessConfig;
  /** Time for which an endpoint is cold that comes back after a crash, in ms. */
  coldAfterCrashMs = 0;
  /** Time after which a crashed endpoint is back, in ms. */
  crashBackMs = CRASH_BACK_MS;
  /** Whether a crashed endpoint begins again under the id that it had. */
  keepsIds = false;
  /** Time for which the entry of a crashed endpoint outlasts its return, in ms. */
  entryOutlastsMs = 0;
  /** Data centre of the endpoint at a place. */
  readonly dataCentreOf: (place: number) => string;
  readonly #coresOf: (name: string) => number;
  readonly #advisor: Ports.Advisor | null;
  readonly #bounds: typeof FLEET_BOUNDS;
  readonly #hardLoad: Types.HardLoadSettings;
  /** Place of each endpoint's address. */
  readonly #placeOf = new Map<string, number>();
  readonly #logOf: (node: string, clock: Ports.Clock) => Logger.Logger;
  #writes = 0;
  #lives = 0;

  /** @param options.workers accelerators of each worker, four to a rack */
  constructor(
    options: {
      nodes?: number;
      workers?: readonly number[];
      seed?: number;
      config?: Ports.AccessConfig;
      /** Processor of each node, in cores. */
      cores?: (name: string) => number;
      advisor?: (clock: Ports.Clock) => Ports.Advisor;
      /** Longest lease of an endpoint, in ms. */
      longestLeaseMs?: number;
      /** Features for hard load; left out: none. */
      hardLoad?: Types.HardLoadSettings;
      /** Data centre of the endpoint at each place; left out: one for all. */
      dataCentreOf?: (place: number) => string;
      /** Logger of each node; silent where it is left out. */
      logOf?: (node: string, clock: Ports.Clock) => Logger.Logger;
    } = {},
  ) {
    this.#coresOf = options.cores ?? (() => 1);
    this.dataCentreOf = options.dataCentreOf ?? (() => "dc-1");
    this.#logOf = options.logOf ?? (() => Logger.silentLogger());
    this.#bounds = {
      ...FLEET_BOUNDS,
      longestLeaseMs: options.longestLeaseMs ?? FLEET_BOUNDS.longestLeaseMs,
    };
    this.#hardLoad = options.hardLoad ?? Types.HARD_LOAD_OFF;
    this.#advisor = options.advisor?.(this.clock) ?? null;
    this.random = new randoms.SeededRandom(options.seed ?? 1);
    this.faults = new StandIns.FaultSwitch(this.clock, this.random);
    this.table = new StandIns.MemoryTable(this.faults);
    this.#config = options.config ?? buildAccess();
    const sizes = options.workers ?? [2, 2];
    const specs = sizes.map((accelerators, i) => ({
      id: `worker-${i}`,
      accelerators,
    }));
    this.workers = new StandIns.MemoryTaskWorkers(this.clock, specs);
    this.workers.onCrash = (spec) => {
      const back = Effect.sync(() =>
        this.keepsIds ? this.beginAgain(spec) : this.bringBack(spec)
      );
      Effect.runFork(Effect.andThen(this.clock.sleep(this.crashBackMs), back));
    };
    for (const [i, spec] of specs.entries()) this.list(spec, i);
    this.applyConfig(this.#config);
    const count = options.nodes ?? 3;
    for (let i = 1; i <= count; i++) this.addNode(`node-${i}`);
  }

  /** Starts all nodes and waits until one coordinates. */
  async start(): Promise<void> {
    for (const { node } of this.nodes.values()) Effect.runSync(node.start());
    await this.until(() => this.coordinator() !== null);
    await this.clock.advance(200);
  }

  /** Ends all nodes. */
  async stop(): Promise<void> {
    for (const name of [...this.nodes.keys()]) await this.kill(name);
  }

  /** Makes a node and starts it. */
  startNode(name: string): void {
    Effect.runSync(this.addNode(name).start());
  }

  /** Makes a node; it has to be started. */
  addNode(name: string): Node.WorkflowNode {
    const faults = new StandIns.FaultSwitch(this.clock, this.random);
    const clock = new suspendables.SuspendableClock(this.clock);
    faults.processor.gate = clock.awaitRunning();
    this.clocks.set(name, clock);
    const feed = <T>(prefix: string, partitions?: readonly string[]) =>
      new StandIns.MemoryRowFeed<T>({
        table: this.table,
        prefix,
        clock: this.clock,
        faults,
        partitions: partitions ?? [""],
      });
    const node = new Node.WorkflowNode({
      node: name,
      peersAddress: name,
      peers: this.links.linksOf(name),
      clock,
      random: this.random,
      table: new StandIns.FaultyTable(this.table, faults),
      workers: new StandIns.BusyTaskWorkers(this.workers, faults.processor),
      advisor: this.#advisor,
      feeds: {
        operator: feed<Ports.OperatorEntry>(OPERATOR_PREFIX),
        workers: feed<Ports.EndpointListing>(WORKERS_PREFIX),
        intake: feed<unknown>("intake", TableClient.Keys.PARTITIONS),
        election: feed<unknown>("election/"),
        members: feed<Node.MemberRow>("members/"),
      },
      processorCores: this.#coresOf(name),
      bounds: this.#bounds,
      hardLoad: this.#hardLoad,
      storeWritesPerSecond: WRITES_PER_SECOND,
      storeRowBytes: ROW_BYTES,
      configInForceMs: CONFIG_IN_FORCE_MS,
      evacuationInForceMs: EVACUATION_IN_FORCE_MS,
      log: this.#logOf(name, this.clock),
      metrics: new Metrics.Metrics(),
    });
    this.nodes.set(name, { node, faults });
    return node;
  }

  /** The node of this name. */
  node(name: string): Node.WorkflowNode {
    return this.#get(name).node;
  }

  /** Faults of the store for one node. */
  faultsOf(name: string): StandIns.FaultSwitch {
    return this.#get(name).faults;
  }

  /** All open connections of all boxes turn silent; new ones work. */
  silenceOpen(): void {
    for (const { faults } of this.nodes.values()) faults.connections.silence();
    this.workers.silenceOpen();
    this.links.silenceOpen();
  }

  /** Name of the node that coordinates; null while there is none. */
  coordinator(): string | null {
    const [row] = this.table.rowsUnder("election/coordinator");
    const holder = (row?.value as { holder: string } | undefined)?.holder;
    return holder === undefined || holder === "" ? null : holder;
  }

  /** Fencing token of the newest term. */
  token(): number {
    const [row] = this.table.rowsUnder("election/coordinator");
    return (row?.value as { token: number } | undefined)?.token ?? 0;
  }

  /** Ends a node at once. */
  async kill(name: string): Promise<void> {
    const stopped = Effect.runPromise(this.#get(name).node.stop());
    // What ends its fibers would wait for as long as it is suspended.
    this.clocks.get(name)?.resume();
    await stopped;
    this.nodes.delete(name);
  }

  /** Lists a worker in the store. */
  list(
    spec: StandIns.TaskWorkerSpec,
    index: number,
    changes: Partial<Ports.EndpointListing> = {},
  ): void {
    this.#placeOf.set(spec.id, index);
    const rack = `rack-${Math.floor(index / 4)}`;
    const listing: Ports.EndpointListing = {
      id: spec.id,
      address: `10.0.0.${index}:80`,
      service: "analysis",
      dataCentre: this.dataCentreOf(index),
      rack,
      labels: ["a", rack],
      cpuMillis: 64_000,
      memoryMb: 64_000,
      accelerators: spec.accelerators,
      draining: false,
      leavesInMs: null,
      coldForMs: 0,
      clockMs: this.clock.monotonicMs(),
      bornMs: this.workers.bornMs(spec.id),
      ...changes,
    };
    this.workers.livesAt(listing.address, spec.id);
    this.writeEntry(listing);
  }

  /** Writes an entry of the list as it is, whoever lives at its address. */
  writeEntry(listing: Ports.EndpointListing): void {
    this.write(`${WORKERS_PREFIX}${listing.id}`, listing);
  }

  /** The entry of this id; null while it is not listed. */
  entryOf(id: string): Ports.EndpointListing | null {
    const key = `${WORKERS_PREFIX}${id}`;
    const row = this.table.rowsUnder(key).find((one) => one.key === key);
    return (row?.value as Ports.EndpointListing | undefined) ?? null;
  }

  /** A new life of a crashed endpoint begins at the same address. */
  bringBack(former: StandIns.TaskWorkerSpec): void {
    const base = former.id.split("~")[0];
    const id = `${base}~${++this.#lives}`;
    const spec = { ...former, id };
    this.workers.replace(former.id, spec);
    if (this.entryOutlastsMs === 0) this.unlist(former.id);
    else {
      const unlist = Effect.sync(() => this.unlist(former.id));
      const later = this.clock.sleep(this.entryOutlastsMs);
      Effect.runFork(Effect.andThen(later, unlist));
    }
    const coldForMs = this.coldAfterCrashMs;
    this.list(spec, this.placeOf(former.id), { coldForMs });
  }

  /** A new life begins under the same id; its entry takes the former one's place. */
  beginAgain(spec: StandIns.TaskWorkerSpec): void {
    this.workers.beginAgain(spec);
    const coldForMs = this.coldAfterCrashMs;
    this.list(spec, this.placeOf(spec.id), { coldForMs });
  }

  /** Each endpoint that lives writes its entry again, as with each heartbeat. */
  beat(): void {
    for (const row of this.table.rowsUnder(WORKERS_PREFIX)) {
      const listing = row.value as Ports.EndpointListing;
      if (!this.workers.listLives().includes(listing.id)) continue;
      const clockMs = this.clock.monotonicMs();
      const bornMs = this.workers.bornMs(listing.id);
      this.write(row.key, { ...listing, clockMs, bornMs });
    }
  }

  /** Number of an endpoint's address. */
  placeOf(id: string): number {
    const place = this.#placeOf.get(id);
    if (place === undefined) throw new RangeError(`no endpoint ${id}`);
    return place;
  }

  /** Takes a worker off the list. */
  unlist(id: string): void {
    this.write(`${WORKERS_PREFIX}${id}`, null);
  }

  /** Puts a configuration in force. */
  applyConfig(config: Ports.AccessConfig): void {
    const kind = Ports.OperatorEntryKind.Config;
    this.write(`${OPERATOR_PREFIX}config`, { kind, config });
  }

  /** The operator lets nothing more start in a data centre. */
  evacuate(dataCentre: string): void {
    const kind = Ports.OperatorEntryKind.Evacuation;
    const key = `${OPERATOR_PREFIX}evacuate/${dataCentre}`;
    this.write(key, { kind, dataCentre });
  }

  /** The operator takes a data centre back into use. */
  takeBack(dataCentre: string): void {
    this.write(`${OPERATOR_PREFIX}evacuate/${dataCentre}`, null);
  }

  /** Writes a row as the platform does. */
  write(key: string, value: unknown): void {
    const writeId = `test-${this.#writes++}`;
    const writes = [{ key, value }];
    Effect.runSync(this.table.transact({ writeId, conditions: [], writes }));
  }

  /** Hands a workflow in at a node. */
  async submit(
    name: string,
    id: string,
    options: {
      priority?: number;
      tenant?: string;
      steps?: readonly Workflow.StepSpec[];
      schedule?: Workflow.Schedule;
    } = {},
  ): Promise<void> {
    const allowed = await this.#allow(name, id, options);
    for (const [index, step] of (options.steps ?? []).entries()) {
      if (!step.gang) continue;
      const members = Array.from(
        { length: step.count },
        (_, member) => `${id}.0.${index}.${member}`,
      );
      this.workers.addGang(members);
    }
    await this.run(
      this.node(name).submissions.accept(allowed, {
        id,
        payload: "work",
        steps: options.steps ?? [buildStep()],
        schedule: options.schedule ?? null,
      }),
    );
  }

  /** Asks a node for the state of a workflow, as its caller does. */
  async ask(
    name: string,
    id: string,
    options: { priority?: number; tenant?: string } = {},
  ): Promise<Workflow.WorkflowState> {
    const allowed = await this.#allow(name, id, options);
    return await this.run(this.node(name).submissions.state(allowed, id));
  }

  /** State of a workflow, as the store has it. */
  state(id: string): Workflow.WorkflowState | null {
    const [row] = this.table.rowsUnder("progress:")
      .filter(({ key }) => key.endsWith(`/${id}`));
    return (row?.value as Workflow.ProgressRecord | undefined)?.state ?? null;
  }

  /** Runs an effect while the clock moves. */
  async run<A, E>(effect: Effect.Effect<A, E>): Promise<A> {
    let settled = false;
    const result = Effect.runPromise(effect).finally(() => {
      settled = true;
    });
    result.catch(() => {});
    await this.clock.advance(0);
    while (!settled) await this.clock.advance(20);
    return await result;
  }

  /** Moves the clock until something holds; false if it never does. */
  until(holds: () => boolean, limitMs = 20_000): Promise<boolean> {
    return this.clock.advanceUntil(holds, limitMs);
  }

  #allow(
    name: string,
    id: string,
    options: { priority?: number; tenant?: string },
  ) {
    return this.run(
      this.node(name).access.check({
        host: "jobs.example",
        path: `/p${options.priority ?? 1}/${id}`,
        key: `key-of-${options.tenant ?? "hana"}`,
      }),
    );
  }

  #get(name: string): FleetNode {
    const found = this.nodes.get(name);
    if (found === undefined) throw new RangeError(`no node ${name}`);
    return found;
  }
}
