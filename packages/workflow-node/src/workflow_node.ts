/** The process of one box: accepts workflows and takes part in the election. */
import * as Coordinator from "@cairngate/coordinator";
import type * as Errors from "@cairngate/errors";
import * as Gateway from "@cairngate/gateway";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import * as Ports from "@cairngate/ports";
import * as StoreRelay from "@cairngate/store-relay";
import * as TableClient from "@cairngate/table-client";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as fitnesses from "./coordinator_fitness.ts";
import * as members from "./member_registry.ts";
import * as recoveries from "./recovery_detector.ts";
import * as sharedOutages from "./shared_outage_detector.ts";
import * as stalls from "./stall_monitor.ts";
import * as startHandOvers from "./start_hand_over.ts";
import * as standbyGuards from "./standby_start_guard.ts";
import * as standbyGuardRequests from "./standby_guard_requests.ts";

/** Change feeds of the store that a box follows. */
export interface NodeFeeds {
  /** Configurations and evacuations. */
  readonly operator: Ports.RowFeed<Ports.OperatorEntry>;
  readonly workers: Ports.RowFeed<Ports.EndpointListing>;
  readonly intake: Ports.RowFeed<unknown>;
  readonly election: Ports.RowFeed<unknown>;
  readonly members: Ports.RowFeed<members.MemberRow>;
}

/** Settings and external services of a {@link WorkflowNode}. */
export interface WorkflowNodePorts {
  /** Name of this box. */
  readonly node: string;
  /** Address at which peers connect to this box, as host:port. */
  readonly peersAddress: string;
  readonly peers: Ports.StorePeers;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly table: Ports.TableService;
  readonly workers: Ports.TaskEndpoints;
  /** Null if no advice service is configured. */
  readonly advisor: Ports.Advisor | null;
  readonly feeds: NodeFeeds;
  /** Processor share available to this process, in cores. */
  readonly processorCores: number;
  readonly bounds: Coordinator.EndpointBounds;
  /** Configured use of the features for overload. */
  readonly hardLoad: Types.HardLoadSettings;
  readonly storeWritesPerSecond: number;
  /** Limit of the heap of this process, in bytes. */
  readonly heapBytes: number;
  /** Maximum size of one row's value, in bytes. */
  readonly storeRowBytes: number;
  /** Time within which a configuration must be in force on every box, in ms. */
  readonly configInForceMs: number;
  /** Time within which starts must cease in an evacuated data centre, in ms. */
  readonly evacuationInForceMs: number;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

/**
 * Share of `configInForceMs` for which one poll waits for a change, so that a silent
 * connection is noticed well within that time.
 */
const CONFIG_POLL_SHARE = 0.4;
/**
 * Longest pause between failed polls for a configuration, in ms. It is short, because
 * the recovery of a single partition is not reported while other partitions answer.
 */
const MAX_CONFIG_PAUSE_MS = 250;
/** Time without an answer of the store after which requests fail as well, in ms. */
const STORE_FAILURE_MS = 300;
/** Covers the time from a poll of the store to the check of a request, in ms. */
const FRESHNESS_MARGIN_MS = 150;

/**
 * Share of the heap for all accepted workflows. While a box takes over, the rows that it
 * reads take memory beside them.
 */
const WORK_HEAP_SHARE = 0.2;

/** Accepts workflows, and coordinates while elected. */
export class WorkflowNode {
  readonly access: Gateway.AccessTable;
  /** Rejects submissions that surely can't complete in time under overload. */
  readonly admissionControl: Gateway.AdmissionController;
  readonly submissions: Gateway.Submissions;
  readonly #ports: WorkflowNodePorts;
  readonly #store: TableClient.StoreClient;
  readonly #route: StoreRelay.StoreRoute;
  readonly #members: members.MemberRegistry;
  readonly #relay: StoreRelay.RelayServer;
  readonly #feeds: NodeFeeds;
  readonly #election: Coordinator.Election;
  readonly #evacuations: Coordinator.EvacuationTracker;
  readonly #sharedOutage: sharedOutages.SharedOutageDetector;
  readonly #startHandOver: startHandOvers.StartHandOver;
  readonly #standbyGuard: standbyGuards.StandbyStartGuard;
  readonly #standbyGuardRequests: standbyGuardRequests.StandbyGuardRequests;
  readonly #coordinatorPorts: Coordinator.CoordinatorPorts;
  readonly #fibers: Fiber.Fiber<unknown>[] = [];
  /** Null while this box is not the coordinator. */
  #coordinator: Coordinator.Coordinator | null = null;
  #isLeaving = false;
  #configReadAtMs = Number.NEGATIVE_INFINITY;

  constructor(ports: WorkflowNodePorts) {
    this.#ports = ports;
    const { node, clock, random, metrics, table, log } = ports;
    const workMemoryBytes = ports.heapBytes * WORK_HEAP_SHARE;
    this.#route = new StoreRelay.StoreRoute({
      table,
      peers: ports.peers,
      members: () => this.#members.others(),
      clock,
      random,
      log: log.child("relay"),
      metrics,
    });
    const directFeeds = new Map<string, Ports.RowFeed<unknown>>(
      Object.entries(ports.feeds),
    );
    const route = this.#route;
    this.#relay = new StoreRelay.RelayServer({
      table,
      feeds: directFeeds,
      route,
    });
    this.#feeds = relayFeeds(ports.feeds, route);
    this.#store = new TableClient.StoreClient({
      table: new StoreRelay.RelayedTable(table, route),
      clock,
      random,
      metrics,
      writesPerSecond: ports.storeWritesPerSecond,
    });
    this.#members = new members.MemberRegistry({
      node,
      address: ports.peersAddress,
      cores: ports.processorCores,
      store: this.#store,
      feed: this.#feeds.members,
      clock,
      mayRemove: () => this.#coordinator !== null,
    });
    this.access = new Gateway.AccessTable(
      log.child("access"),
      () => this.#mayBeStale(),
    );
    this.admissionControl = new Gateway.AdmissionController({
      clock,
      random,
      log: log.child("admission"),
      metrics,
      currentForecast: () => this.#election.forecast,
      guaranteeOf: (team) => guaranteeOf(this.access.config, team),
      storeSilentMs: () => this.#store.failingForMs(),
      memory: new Gateway.MemoryAdmission({
        clock,
        log: log.child("admission"),
        limitBytes: workMemoryBytes,
        knownUse: () => this.#election.memoryUse,
        countBoxes: () => this.#members.others().length + 1,
      }),
    });
    this.submissions = new Gateway.Submissions({
      admission: this.admissionControl,
      store: this.#store,
      clock,
      rowBytes: ports.storeRowBytes,
    });
    this.#evacuations = new Coordinator.EvacuationTracker({
      clock,
      log: log.child("node"),
      inForceMs: ports.evacuationInForceMs,
    });
    this.#sharedOutage = new sharedOutages.SharedOutageDetector({
      clock,
      random,
      peers: ports.peers,
      otherBoxes: () => this.#members.known(),
      failingForMs: () => this.#store.failingForMs(),
      renewalAgeMs: () => this.#coordinator?.renewalAgeMs ?? null,
    });
    this.#startHandOver = new startHandOvers.StartHandOver({
      peers: ports.peers,
      log: log.child("guard"),
      otherBoxes: () => this.#members.others(),
      coordinatingBox: () => this.#election.holder,
      coordinator: () => this.#coordinator,
    });
    this.#standbyGuard = new standbyGuards.StandbyStartGuard({
      clock,
      endpoints: ports.workers,
      log: log.child("guard"),
      metrics,
      currentToken: () =>
        Math.max(this.#election.token, this.#coordinator?.token ?? 0),
      handOver: (token, starts) => this.#startHandOver.send(token, starts),
    });
    this.#standbyGuardRequests = new standbyGuardRequests.StandbyGuardRequests({
      clock,
      peers: ports.peers,
      log: log.child("guard"),
      otherBoxes: () => this.#members.others(),
      coordinator: () => this.#coordinator,
    });
    this.#coordinatorPorts = {
      box: node,
      incarnation: random.id(),
      clock,
      random,
      store: this.#store,
      endpoints: ports.workers,
      advisor: ports.advisor,
      endpointFeed: this.#feeds.workers,
      intakeFeed: this.#feeds.intake,
      electionFeed: this.#feeds.election,
      config: () => this.access.config,
      evacuations: this.#evacuations,
      fitness: new fitnesses.CoordinatorFitness({
        node,
        cores: ports.processorCores,
        startedAtMs: this.#members.startedAtMs,
        otherBoxes: () => this.#members.others(),
        peers: ports.peers,
        hasDirectStoreAccess: () => this.#route.isDirect,
      }),
      outageReports: this.#sharedOutage,
      onStartsRevoked: () => this.#standbyGuardRequests.requestSoon(),
      countBoxes: () => this.#members.others().length + 1,
      bounds: ports.bounds,
      workMemoryBytes,
      hardLoad: ports.hardLoad,
      log: log.child("coordinator"),
      metrics,
    };
    this.#election = new Coordinator.Election(this.#coordinatorPorts);
  }

  /**
   * Whether a configuration acknowledged since the last poll may have to be in force
   * already. Also true while the store fails, as no workflow could be stored then.
   */
  #mayBeStale(): boolean {
    const { clock, configInForceMs } = this.#ports;
    const silentMs = clock.monotonicMs() - this.#configReadAtMs;
    return silentMs > configInForceMs - FRESHNESS_MARGIN_MS ||
      this.#store.failingForMs() > STORE_FAILURE_MS;
  }

  /** Listens for peers, then follows configurations and joins the election. */
  start(): Effect.Effect<void, Errors.ListenError> {
    const { peers } = this.#ports;
    const listen = peers.listen((call) => this.#answer(call));
    return Effect.map(listen, () => this.#startLoops());
  }

  #answer(call: Ports.StoreCall): Effect.Effect<Ports.StoreReply> {
    switch (call.kind) {
      case Ports.StoreCallKind.GuardStarts:
        return Effect.sync(() => this.#standbyGuard.accept(call));
      case Ports.StoreCallKind.HandOverStarts:
        return Effect.sync(() => this.#startHandOver.accept(call));
      default:
        return this.#relay.answer(call);
    }
  }

  #startLoops(): void {
    const { clock, random, configInForceMs, log, metrics } = this.#ports;
    const stallMonitor = new stalls.StallMonitor({
      clock,
      log: log.child("node"),
      metrics,
    });
    this.#runForever("Watching for stalls", stallMonitor.run());
    this.#runForever("Membership", this.#members.run());
    const recovery = new recoveries.RecoveryDetector({
      store: this.#store,
      clock,
      probe: () => this.#route.probe(),
    });
    this.#runForever("Watching for the store's return", recovery.run());
    this.#runForever("Asking others about the store", this.#sharedOutage.run());
    this.#runForever("Guarding against late starts", this.#standbyGuard.run());
    this.#runForever("Asking for guards", this.#standbyGuardRequests.run());
    const follower = new TableClient.RowFollower({
      feed: this.#feeds.operator,
      clock,
      random,
      waitMs: Math.round(configInForceMs * CONFIG_POLL_SHARE),
      awaitRecovery: () => this.#store.awaitRecovery(),
      maxPauseMs: MAX_CONFIG_PAUSE_MS,
      onPolled: () => {
        this.#configReadAtMs = clock.monotonicMs();
        this.#evacuations.noteSynced();
        this.#store.recordAnswer();
      },
      onAnswerDelay: (ms) => this.#store.recordDelay(ms),
      onFailed: () => this.#store.recordFailure(),
      onChange: (entries) => {
        this.#evacuations.applyChanges(entries);
        for (const { value } of entries) {
          if (value?.kind !== Ports.OperatorEntryKind.Config) continue;
          this.access.update(value.config);
        }
      },
    });
    this.#runForever("Following the operator", follower.run());
    const coordinate = (term: Coordinator.Term) =>
      Effect.suspend(() => {
        const ports = this.#coordinatorPorts;
        this.#coordinator = new Coordinator.Coordinator(ports, term);
        Effect.runFork(this.#standbyGuard.handOver());
        const ended = Effect.sync(() => {
          this.#coordinator = null;
        });
        return Effect.ensuring(this.#coordinator.run(), ended);
      });
    this.#runForever("The election", this.#election.run(coordinate));
  }

  /** Runs work in a fiber of its own, and restarts it after a defect. */
  #runForever(what: string, work: Effect.Effect<never>): void {
    const { clock, log, metrics } = this.#ports;
    const parts = { what, clock, log: log.child("node"), metrics };
    const supervised = Coordinator.restartOnDefect(work, parts);
    this.#fibers.push(Effect.runFork(supervised));
  }

  /** Whether the load balancer should send requests here. */
  get isReady(): boolean {
    return !this.#isLeaving && this.access.config !== null &&
      !this.#mayBeStale();
  }

  /** Hands over the coordination; requests are still served. */
  leave(): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.#isLeaving = true;
      const both = [this.#election.release(), this.#members.leave()];
      return Effect.all(both, { concurrency: "unbounded", discard: true });
    });
  }

  /** Ends all fibers and closes the connections to peers. */
  stop(): Effect.Effect<void> {
    return Effect.andThen(
      Effect.suspend(() => Fiber.interruptAll(this.#fibers)),
      this.#ports.peers.close(),
    );
  }

  /** Describes a workflow as stored, for operators; null if it does not exist. */
  describeWorkflow(
    id: string,
  ): Effect.Effect<
    Coordinator.WorkflowReport | null,
    Errors.StoreUnavailableError
  > {
    return Effect.map(this.submissions.findStatus(id), (status) => {
      if (status === null) return null;
      const { state, giveUp } = status;
      const description = giveUp === null
        ? null
        : Coordinator.describeGiveUp(giveUp);
      return { id, state, giveUp: description };
    });
  }

  /** State of this box, for operators. */
  dump(): Readonly<Record<string, unknown>> {
    const { node, metrics } = this.#ports;
    return {
      node,
      ready: this.isReady,
      configVersion: this.access.config?.version ?? null,
      coordinator: this.#election.holder,
      evacuations: this.#evacuations.list(),
      mayMissEvacuations: this.#evacuations.mayBeOutdated,
      peers: this.#members.others().map((peer) => peer.node),
      unusableRows: metrics.get("cairngate_rows_unusable"),
      storeThrough: this.#route.relayPeer,
      storeSilentMs: Math.round(this.#store.failingForMs()),
      admission: this.admissionControl.dump(),
      work: this.#coordinator?.dump() ?? null,
    };
  }
}

/** Guarantee of a team, in accelerators; null before the first configuration. */
function guaranteeOf(
  config: Ports.AccessConfig | null,
  team: string,
): number | null {
  if (config === null) return null;
  const found = config.tenants.find(({ name }) => name === team);
  return found?.guaranteed ?? 0;
}

/** Wraps the feeds so that they read through a peer if the store is unreachable. */
function relayFeeds(
  feeds: NodeFeeds,
  route: StoreRelay.StoreRoute,
): NodeFeeds {
  const relay = <T>(name: keyof NodeFeeds, feed: Ports.RowFeed<T>) =>
    new StoreRelay.RelayedFeed<T>(name, feed, route);
  return {
    operator: relay("operator", feeds.operator),
    workers: relay("workers", feeds.workers),
    intake: relay("intake", feeds.intake),
    election: relay("election", feeds.election),
    members: relay("members", feeds.members),
  };
}
