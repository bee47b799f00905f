/** Several in-process boxes for workflows on fakes and a test-controlled clock. */
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

/** Bounds of the boxes in tests. */
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
/** Time after which nothing starts in an evacuated data centre any more, in ms. */
export const EVACUATION_IN_FORCE_MS = 5000;
/** Time after which a crashed endpoint returns at the same address, in ms. */
export const RESTART_DELAY_MS = 3000;

/** Builds a configuration with one queue for each priority, 0 to 2. */
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

/** Builds such a configuration whose queues allow this many failed runs of a task. */
export function buildAccessWithAttempts(attempts: number): Ports.AccessConfig {
  const access = buildAccess();
  const queues = access.queues.map((queue) => ({ ...queue, attempts }));
  return { ...access, queues };
}

/** Builds a step of one task on one accelerator; `changes` override the defaults. */
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

interface FleetBox {
  readonly node: Node.WorkflowNode;
  readonly faults: StandIns.FaultSwitch;
}

/** Boxes, endpoints and store of one test. */
export class TestFleet {
  readonly clock = new clocks.FakeClock();
  readonly random: randoms.SeededRandom;
  /** Faults of the store for all boxes. */
  readonly faults: StandIns.FaultSwitch;
  readonly table: StandIns.MemoryTable;
  readonly workers: StandIns.MemoryTaskEndpoints;
  /** Links between the boxes. */
  readonly links = new peers.FakePeerHub(this.clock);
  readonly boxes = new Map<string, FleetBox>();
  /** Clock of each box. */
  readonly clocks = new Map<string, suspendables.SuspendableClock>();
  readonly #config: Ports.AccessConfig;
  /** Time for which an endpoint is cold after a crash, in ms. */
  coldAfterCrashMs = 0;
  /** Time after which a crashed endpoint returns, in ms. */
  restartDelayMs = RESTART_DELAY_MS;
  /** Whether a crashed endpoint restarts under the same id. */
  keepsIds = false;
  /**
   * Whether the steady clock of a restarted endpoint begins anew at zero. Orders for the
   * previous incarnation then do not seem to be late.
   */
  resetsClocks = false;
  /** Time from the return of an endpoint to the removal of its earlier entry, in ms. */
  entryOverlapMs = 0;
  /** Data centre of the endpoint at an index. */
  readonly dataCentreOf: (index: number) => string;
  readonly #coresOf: (name: string) => number;
  readonly #advisor: Ports.Advisor | null;
  readonly #bounds: typeof FLEET_BOUNDS;
  readonly #hardLoad: Types.HardLoadSettings;
  readonly #heapBytes: number;
  /** Index of each endpoint's address. */
  readonly #indexes = new Map<string, number>();
  readonly #logOf: (box: string, clock: Ports.Clock) => Logger.Logger;
  /** Steps of each submitted workflow. */
  readonly #steps = new Map<string, readonly Workflow.StepSpec[]>();
  #writes = 0;
  #restarts = 0;

  /** @param options.workers accelerators of each endpoint, four to a rack */
  constructor(
    options: {
      boxes?: number;
      workers?: readonly number[];
      seed?: number;
      config?: Ports.AccessConfig;
      /** Processor cores of each box; defaults to 1. */
      cores?: (name: string) => number;
      advisor?: (clock: Ports.Clock) => Ports.Advisor;
      /** Longest lease of an endpoint, in ms. */
      longestLeaseMs?: number;
      /** Longest time in which an endpoint stops a run, in ms. */
      stopMs?: number;
      /** Features for hard load; defaults to none. */
      hardLoad?: Types.HardLoadSettings;
      /** Limit of the heap of each box, in bytes; none by default. */
      heapBytes?: number;
      /** Data centre of the endpoint at each index; defaults to one for all. */
      dataCentreOf?: (index: number) => string;
      /** Logger of each box; defaults to a silent one. */
      logOf?: (box: string, clock: Ports.Clock) => Logger.Logger;
    } = {},
  ) {
    this.#coresOf = options.cores ?? (() => 1);
    this.dataCentreOf = options.dataCentreOf ?? (() => "dc-1");
    this.#logOf = options.logOf ?? (() => Logger.silentLogger());
    this.#bounds = {
      ...FLEET_BOUNDS,
      longestLeaseMs: options.longestLeaseMs ?? FLEET_BOUNDS.longestLeaseMs,
      stopMs: options.stopMs ?? FLEET_BOUNDS.stopMs,
    };
    this.#hardLoad = options.hardLoad ?? Types.HARD_LOAD_OFF;
    this.#heapBytes = options.heapBytes ?? Number.POSITIVE_INFINITY;
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
    this.workers = new StandIns.MemoryTaskEndpoints(this.clock, specs);
    this.workers.longestLeaseMs = this.#bounds.longestLeaseMs;
    this.workers.createClockOffsetMs = () =>
      this.resetsClocks ? -this.clock.monotonicMs() : 0;
    this.workers.onCrash = (spec) => {
      const back = Effect.sync(() =>
        this.keepsIds
          ? this.restartUnderSameId(spec)
          : this.restartUnderNewId(spec)
      );
      Effect.runFork(
        Effect.andThen(this.clock.sleep(this.restartDelayMs), back),
      );
    };
    for (const [i, spec] of specs.entries()) this.list(spec, i);
    this.applyConfig(this.#config);
    const count = options.boxes ?? 3;
    for (let i = 1; i <= count; i++) this.addBox(`node-${i}`);
  }

  /** Failed runs after which a task is not started again, the same in all queues. */
  get attempts(): number {
    return this.#config.queues[0].attempts;
  }

  /** Starts all boxes and waits for a coordinator. */
  async start(): Promise<void> {
    for (const { node } of this.boxes.values()) Effect.runSync(node.start());
    await this.until(() => this.coordinator() !== null);
    await this.clock.advance(200);
  }

  /** Stops all boxes. */
  async stop(): Promise<void> {
    for (const name of [...this.boxes.keys()]) await this.kill(name);
  }

  /** Creates and starts a box. */
  startBox(name: string): void {
    Effect.runSync(this.addBox(name).start());
  }

  /** Creates a box without starting it. */
  addBox(name: string): Node.WorkflowNode {
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
      peers: this.links.peersOf(name),
      clock,
      random: this.random,
      table: new StandIns.FaultyTable(this.table, faults),
      workers: new StandIns.BusyTaskEndpoints(this.workers, faults.processor),
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
      heapBytes: this.#heapBytes,
      storeRowBytes: ROW_BYTES,
      configInForceMs: CONFIG_IN_FORCE_MS,
      evacuationInForceMs: EVACUATION_IN_FORCE_MS,
      log: this.#logOf(name, this.clock),
      metrics: new Metrics.Metrics(),
    });
    this.boxes.set(name, { node, faults });
    return node;
  }

  /** Returns a box by name. */
  box(name: string): Node.WorkflowNode {
    return this.#get(name).node;
  }

  /** Faults of the store for one box. */
  faultsOf(name: string): StandIns.FaultSwitch {
    return this.#get(name).faults;
  }

  /** Makes all open connections of all boxes silent; new ones work. */
  silenceConnections(): void {
    for (const { faults } of this.boxes.values()) faults.connections.silence();
    this.workers.silenceConnections();
    this.links.silenceConnections();
  }

  /** Name of the coordinator; null while there is none. */
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

  /** Kills a box at once. */
  async kill(name: string): Promise<void> {
    const stopped = Effect.runPromise(this.#get(name).node.stop());
    // While suspended, the box would never finish stopping its fibers.
    this.clocks.get(name)?.resume();
    await stopped;
    this.boxes.delete(name);
  }

  /** Lists an endpoint in the store. */
  list(
    spec: StandIns.TaskEndpointSpec,
    index: number,
    changes: Partial<Ports.EndpointListing> = {},
  ): void {
    this.#indexes.set(spec.id, index);
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
    this.workers.setListener(listing.address, spec.id);
    this.writeEntry(listing);
  }

  /** Writes a list entry unchanged, whichever incarnation runs at its address. */
  writeEntry(listing: Ports.EndpointListing): void {
    this.write(`${WORKERS_PREFIX}${listing.id}`, listing);
  }

  /** Returns the list entry of an id; null while it is not listed. */
  entryOf(id: string): Ports.EndpointListing | null {
    const key = `${WORKERS_PREFIX}${id}`;
    const row = this.table.rowsUnder(key).find((one) => one.key === key);
    return (row?.value as Ports.EndpointListing | undefined) ?? null;
  }

  /** Restarts a crashed endpoint under a new id at the same address. */
  restartUnderNewId(earlier: StandIns.TaskEndpointSpec): void {
    const base = earlier.id.split("~")[0];
    const id = `${base}~${++this.#restarts}`;
    const spec = { ...earlier, id };
    this.workers.replace(earlier.id, spec);
    if (this.entryOverlapMs === 0) this.unlist(earlier.id);
    else {
      const unlist = Effect.sync(() => this.unlist(earlier.id));
      const later = this.clock.sleep(this.entryOverlapMs);
      Effect.runFork(Effect.andThen(later, unlist));
    }
    const coldForMs = this.coldAfterCrashMs;
    this.list(spec, this.indexOf(earlier.id), { coldForMs });
  }

  /**
   * Restarts a crashed endpoint under the same id; its entry replaces the earlier one.
   */
  restartUnderSameId(spec: StandIns.TaskEndpointSpec): void {
    this.workers.restart(spec);
    const coldForMs = this.coldAfterCrashMs;
    this.list(spec, this.indexOf(spec.id), { coldForMs });
  }

  /** Sends a heartbeat of each running endpoint, which rewrites its entry. */
  sendHeartbeats(): void {
    for (const row of this.table.rowsUnder(WORKERS_PREFIX)) {
      const listing = row.value as Ports.EndpointListing;
      if (!this.workers.listRunning().includes(listing.id)) continue;
      const clockMs = this.clock.monotonicMs();
      const bornMs = this.workers.bornMs(listing.id);
      this.write(row.key, { ...listing, clockMs, bornMs });
    }
  }

  /** Index of an endpoint's address; throws if the id was never listed. */
  indexOf(id: string): number {
    const index = this.#indexes.get(id);
    if (index === undefined) throw new RangeError(`unlisted endpoint ${id}`);
    return index;
  }

  /** Removes an endpoint from the list. */
  unlist(id: string): void {
    this.write(`${WORKERS_PREFIX}${id}`, null);
  }

  /** Writes a configuration, which puts it in force. */
  applyConfig(config: Ports.AccessConfig): void {
    const kind = Ports.OperatorEntryKind.Config;
    this.write(`${OPERATOR_PREFIX}config`, { kind, config });
  }

  /** Evacuates a data centre as the operator does. */
  evacuate(dataCentre: string): void {
    const kind = Ports.OperatorEntryKind.Evacuation;
    const key = `${OPERATOR_PREFIX}evacuate/${dataCentre}`;
    this.write(key, { kind, dataCentre });
  }

  /** Returns an evacuated data centre to use. */
  endEvacuation(dataCentre: string): void {
    this.write(`${OPERATOR_PREFIX}evacuate/${dataCentre}`, null);
  }

  /** Writes a row as the platform does. */
  write(key: string, value: unknown): void {
    const writeId = `test-${this.#writes++}`;
    const writes = [{ key, value }];
    Effect.runSync(this.table.transact({ writeId, conditions: [], writes }));
  }

  /** Submits a workflow through a box. */
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
    const steps = options.steps ?? [buildStep()];
    this.#steps.set(id, steps);
    for (const [index, step] of steps.entries()) {
      if (!step.gang) continue;
      const members = Array.from(
        { length: step.count },
        (_, member) => `${id}.0.${index}.${member}`,
      );
      this.workers.addGang(members);
    }
    await this.run(
      this.box(name).submissions.accept(allowed, {
        id,
        payload: "work",
        steps,
        schedule: options.schedule ?? null,
      }),
    );
  }

  /** Steps of a workflow as submitted; empty if it was not. */
  stepsOf(id: string): readonly Workflow.StepSpec[] {
    return this.#steps.get(id) ?? [];
  }

  /** Requests the state of a workflow from a box, as its caller does. */
  async requestState(
    name: string,
    id: string,
    options: { priority?: number; tenant?: string } = {},
  ): Promise<Workflow.WorkflowState> {
    const allowed = await this.#allow(name, id, options);
    return await this.run(this.box(name).submissions.state(allowed, id));
  }

  /** Requests the number of waiting workflows of a queue, as operators do. */
  async countWaiting(name: string, priority = 1): Promise<number> {
    const allowed = await this.#allow(name, "", { priority });
    return await this.run(this.box(name).submissions.countWaiting(allowed));
  }

  /** State of a workflow in the store; null if there is none. */
  state(id: string): Workflow.WorkflowState | null {
    const [row] = this.table.rowsUnder("progress:")
      .filter(({ key }) => key.endsWith(`/${id}`));
    return (row?.value as Workflow.ProgressRecord | undefined)?.state ?? null;
  }

  /** Runs an effect to its end while the clock advances. */
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

  /** Advances the clock until a condition holds; returns false on timeout. */
  until(holds: () => boolean, timeoutMs = 20_000): Promise<boolean> {
    return this.clock.advanceUntil(holds, timeoutMs);
  }

  #allow(
    name: string,
    id: string,
    options: { priority?: number; tenant?: string },
  ) {
    return this.run(
      this.box(name).access.check({
        host: "jobs.example",
        path: `/p${options.priority ?? 1}/${id}`,
        key: `key-of-${options.tenant ?? "hana"}`,
      }),
    );
  }

  #get(name: string): FleetBox {
    const fleetBox = this.boxes.get(name);
    if (fleetBox === undefined) throw new RangeError(`no box named ${name}`);
    return fleetBox;
  }
}
