/** One term of the coordinator: recovers the state, then runs the parts. */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as describing from "./describe.ts";
import * as guarantees from "./guarantee_watch.ts";
import type * as terms from "../election/term.ts";
import type * as ports from "../ports.ts";
import * as rowFollowers from "./row_followers.ts";
import * as termParts from "./term_parts.ts";

/** Interval at which rows of ended workflows are removed. */
const SWEEP_INTERVAL_MS = 5000;
/** Interval at which all running tasks are checked. */
const RUN_CHECK_INTERVAL_MS = 400;
/** Interval at which hard load and the shares of teams are evaluated. */
const LOAD_CHECK_INTERVAL_MS = 1000;
/** Interval at which the capacity forecast is updated. */
const FORECAST_INTERVAL_MS = 500;
/** No plan is made once the store has not answered for this long. */
const MAX_STORE_SILENCE_MS = 600;

/** Coordinates all workflows under one fencing token. */
export class Coordinator {
  readonly #ports: ports.CoordinatorPorts;
  readonly #term: terms.Term;
  readonly #electedAtMs: number;
  readonly #parts: termParts.TermParts;
  readonly #rows: rowFollowers.RowFollowers;

  constructor(
    coordinatorPorts: ports.CoordinatorPorts,
    term: terms.Term,
  ) {
    this.#ports = coordinatorPorts;
    this.#term = term;
    this.#electedAtMs = coordinatorPorts.clock.monotonicMs();
    this.#parts = termParts.createParts({
      ports: coordinatorPorts,
      term,
      preparePlan: () => this.#preparePlan(),
      isIntakeCaughtUp: () => this.#rows.isIntakeCaughtUp,
    });
    this.#rows = this.#createRowFollowers();
    term.grants.onReopened = () => this.#parts.planning.requestPlan();
    term.listRemainingLeases = () => this.#parts.control.listRemainingLeases();
  }

  /** Fencing token of the term. */
  get token(): number {
    return this.#term.token;
  }

  /** Age of the newest acknowledged renewal of the term, in ms. */
  get renewalAgeMs(): number {
    return this.#term.grants.renewalAgeMs;
  }

  /** Unanswered starts of runs that are over, for other boxes to guard against. */
  get revokedStarts(): readonly Ports.RevokedStart[] {
    return [...this.#parts.directory.sessions]
      .flatMap(({ revokedStarts }) => revokedStarts);
  }

  /**
   * Adopts starts that earlier coordinators revoked and that may still be delivered.
   * Returns false if some endpoints are not known yet.
   */
  adoptRevokedStarts(starts: readonly Ports.RevokedStart[]): boolean {
    const { directory } = this.#parts;
    const unknown = starts.filter((start) =>
      !directory.adoptRevokedStart(start)
    );
    return unknown.length === 0;
  }

  /** State of this coordinator for the state dump. */
  dump(): describing.CoordinatorDump {
    return {
      token: this.#term.token,
      lateMs: Math.round(this.#parts.directory.delayMs),
      workflows: this.#parts.workflows.unfinished.map((workflow) =>
        describing.describeWorkflow(
          workflow,
          this.#describeWait(workflow),
        )
      ),
      workers: this.#parts.directory.states().map(describing.describeEndpoint),
      evacuations: describing.describeEvacuations(
        this.#ports.evacuations.list(),
        this.#parts.directory,
      ),
      guarantees: this.#parts.guarantees.describe(),
      hardLoad: this.#parts.hardLoad.load,
      stops: this.#parts.planning.stopCounts,
      estimates: this.#parts.estimates.describe(),
      teamShares: describing.describeShares(
        this.#parts.shares.shares,
        this.#parts.workflows.startable,
        this.#ports.clock.wallMs(),
      ),
      forecast: this.#term.forecast?.forecast ?? null,
    };
  }

  #describeWait(
    { spec: { id } }: Workflow.Workflow,
  ): describing.WaitDump | null {
    const wait = this.#parts.planning.waitOf(id);
    if (wait === null) return null;
    const forMs = this.#ports.clock.monotonicMs() - wait.sinceMs;
    return { reason: wait.reason, forMs: Math.round(forMs) };
  }

  /** Runs until interrupted. */
  run(): Effect.Effect<void> {
    const rows = this.#rows;
    const { clock } = this.#ports;
    const work = Effect.gen({ self: this }, function* () {
      yield* Effect.all([
        this.#parts.recovery.awaitUsable(),
        rows.readListings(),
      ], { concurrency: "unbounded", discard: true });
      yield* rows.readIntake();
      this.#startWork();
      yield* Effect.all([
        ...rows.run(),
        this.#parts.recorder.run(),
        this.#parts.planning.run(),
        this.#parts.shares.run(),
        clock.every(SWEEP_INTERVAL_MS, this.#parts.workflows.sweep()),
        clock.every(
          RUN_CHECK_INTERVAL_MS,
          Effect.sync(() => this.#checkRuns()),
        ),
        clock.every(
          LOAD_CHECK_INTERVAL_MS,
          Effect.sync(() => this.#updateLoad()),
        ),
        clock.every(
          FORECAST_INTERVAL_MS,
          Effect.sync(() => this.#parts.forecasts.make()),
        ),
      ], { concurrency: "unbounded", discard: true });
    });
    const all = Effect.all([this.#parts.recovery.openAll(), work], {
      concurrency: "unbounded",
      discard: true,
    });
    return Effect.ensuring(all, this.#parts.directory.close());
  }

  #createRowFollowers(): rowFollowers.RowFollowers {
    return new rowFollowers.RowFollowers({
      ports: this.#ports,
      recovery: this.#parts.recovery,
      onListings: (entries) => {
        this.#parts.directory.update(entries);
        this.#parts.planning.requestPlan();
      },
      onIntake: (events) => {
        this.#parts.intake.apply(events);
        this.#parts.planning.requestPlan();
      },
      onAllRead: () => this.#completeRecovery(),
    });
  }

  #completeRecovery(): void {
    this.#parts.recovery.markComplete();
    this.#ports.log.info(
      `Read all partitions; ${this.#parts.workflows.size} workflows are known.`,
    );
    this.#parts.intake.concludeAll();
    this.#parts.planning.requestPlan();
  }

  #startWork(): void {
    const { clock, log, metrics } = this.#ports;
    this.#parts.control.begin();
    const takeoverMs = clock.monotonicMs() - this.#electedAtMs;
    metrics.observeMs("cairngate_takeover_seconds", takeoverMs);
    log.info(
      `Took over ${this.#parts.workflows.size} workflows under token ` +
        `${this.#term.token} in ${Math.round(takeoverMs)} ms.`,
    );
  }

  #checkRuns(): void {
    this.#parts.monitor.check();
    this.#parts.guarantees.logChanges();
  }

  #updateLoad(): void {
    const { hardLoad, shares, directory } = this.#parts;
    const guaranteesByTeam = guarantees.guaranteesOf(this.#ports.config());
    const endpoints = directory.states();
    hardLoad.update(guaranteesByTeam, directory.confidentSpeeds());
    const { teamsCompete } = hardLoad.load;
    shares.update({ teamsCompete, guarantees: guaranteesByTeam, endpoints });
  }

  /**
   * Applies a new configuration and ends the missing runs whose leases have expired,
   * then returns whether to plan now. While the store does not answer, orders could not
   * be recorded and so not be sent; while no lease may be granted, a start would be
   * withheld. An evacuation that this box has not read yet would be violated.
   */
  #preparePlan(): boolean {
    this.#parts.workflows.followConfig();
    for (const missing of this.#parts.control.resolveMissing()) {
      Effect.runFork(this.#parts.ends.endMissing(missing));
    }
    const silentMs = this.#ports.store.failingForMs();
    return silentMs < MAX_STORE_SILENCE_MS && this.#term.grants.mayGrant() &&
      !this.#ports.evacuations.mayBeOutdated;
  }
}
