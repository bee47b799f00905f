/** Makes a plan whenever something has changed, and carries it out. */
import * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as advice from "./advice_cache.ts";
import * as guarantees from "./guarantee_watch.ts";
import type * as ports from "../ports.ts";
import type * as hardLoads from "../load/hard_load_detector.ts";
import * as stopTrackers from "../load/stop_tracker.ts";
import type * as estimates from "../load/run_estimates.ts";
import type * as shareTrackers from "../load/team_share_tracker.ts";
import type * as controls from "./run_control.ts";
import * as standstills from "./standstill_watch.ts";
import type * as directories from "../endpoints/endpoint_directory.ts";

/** Dependencies of `Planning`. */
export interface PlanningParts {
  readonly ports: ports.CoordinatorPorts;
  readonly directory: directories.EndpointDirectory;
  readonly control: controls.RunControl;
  readonly advice: advice.AdviceCache;
  readonly hardLoad: hardLoads.HardLoadDetector;
  readonly estimates: estimates.RunEstimates;
  readonly shares: shareTrackers.TeamShareTracker;
  /** Workflows whose ready tasks may start. */
  readonly startable: () => readonly Workflow.Workflow[];
  /** Workflows whose tasks must not start until their record is read or written. */
  readonly awaitingRecord: () => readonly Workflow.Workflow[];
  /** Called before each plan; returns false to skip it. */
  readonly prepare: () => boolean;
}

/** Longest time between two plans. */
const REPLAN_INTERVAL_MS = 250;
/** Delay before a plan, so that simultaneous events share one plan. */
const EVENT_BATCH_MS = 2;
/** Pause before the next plan, as a multiple of the time that the last one took. */
const PLAN_PAUSE_FACTOR = 3;

/** Reasons that further advice does not change. */
const REASONS_WITHOUT_ADVICE: ReadonlySet<Scheduler.WaitReason> = new Set([
  Scheduler.WaitReason.Stops,
  Scheduler.WaitReason.Pause,
  Scheduler.WaitReason.UnknownOutcome,
]);

const SLOW_START_MESSAGES: Readonly<Record<Scheduler.SlowReason, string>> = {
  [Scheduler.SlowReason.FasterInUse]:
    "on slow endpoints and will end late: fast endpoints are in use",
  [Scheduler.SlowReason.TooLate]:
    "so late that no endpoint is fast enough for its objective",
};

/** Planning of one term. */
export class Planning {
  readonly #parts: PlanningParts;
  readonly #standstills: standstills.StandstillWatch;
  readonly #stops: stopTrackers.StopTracker;
  readonly #urgent = new Scheduler.UrgentArrivals();
  /** Duration of the last plan. */
  #planMs = 0;
  #signal = Deferred.makeUnsafe<void>();

  constructor(parts: PlanningParts) {
    this.#parts = parts;
    this.#standstills = new standstills.StandstillWatch(parts.ports);
    this.#stops = new stopTrackers.StopTracker(parts.ports.metrics);
  }

  /** Requests a plan after something has changed. */
  requestPlan(): void {
    Deferred.doneUnsafe(this.#signal, Effect.void);
  }

  /** Why a workflow waits and since when; null where it does not. */
  waitOf(id: string): standstills.StepWait | null {
    return this.#standstills.waitOf(id);
  }

  /** Preemptions by their result. */
  get stopCounts(): stopTrackers.StopCounts {
    return this.#stops.counts;
  }

  /** Plans until interrupted. */
  run(): Effect.Effect<never> {
    const { clock } = this.#parts.ports;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      yield* clock.within(REPLAN_INTERVAL_MS, Deferred.await(this.#signal));
      this.#signal = Deferred.makeUnsafe<void>();
      yield* clock.sleep(
        Math.max(EVENT_BATCH_MS, this.#planMs * PLAN_PAUSE_FACTOR),
      );
      this.#stops.countEnded(clock.wallMs());
      if (this.#parts.prepare()) this.#plan();
    }));
  }

  #plan(): void {
    const { ports: { clock, metrics }, directory } = this.#parts;
    const startedAtMs = clock.monotonicMs();
    const workflows = this.#parts.startable();
    const recordWaits = this.#recordWaits();
    if (workflows.length === 0 && recordWaits.length === 0) {
      return this.#standstills.clear();
    }
    const endpoints = directory.states();
    this.#urgent.record(workflows);
    const plan = Scheduler.makePlan(this.#planInput(endpoints, workflows));
    this.#standstills.update({
      waits: [...plan.waits, ...recordWaits],
      starts: plan.starts,
      endpoints,
      nowMs: startedAtMs,
    });
    for (const stop of plan.stops) this.#preempt(stop);
    for (const start of plan.starts) this.#start(start);
    this.#requestAdvice(plan, endpoints);
    this.#planMs = clock.monotonicMs() - startedAtMs;
    metrics.observeMs("cairngate_plan_seconds", this.#planMs);
    metrics.set("cairngate_endpoints_kept", plan.reservedCount);
  }

  #recordWaits(): Scheduler.WaitDecision[] {
    const wallMs = this.#parts.ports.clock.wallMs();
    const reason = Scheduler.WaitReason.Record;
    return this.#parts.awaitingRecord().flatMap((workflow) =>
      workflow.readyUnits(wallMs).slice(0, 1).map((unit) => ({ unit, reason }))
    );
  }

  #planInput(
    endpoints: readonly Scheduler.EndpointSnapshot[],
    workflows: readonly Workflow.Workflow[],
  ): Scheduler.PlanInput {
    const { ports: { clock, bounds, config }, advice: adviceCache } =
      this.#parts;
    return {
      endpoints,
      workflows,
      guarantees: guarantees.guaranteesOf(config()),
      nowMs: clock.monotonicMs(),
      wallMs: clock.wallMs(),
      remotePenalty: bounds.remotePenalty,
      isAdvised: (unit, endpoint) =>
        adviceCache.ticket(unit, endpoint) !== null,
      isAllowed: (unit, endpoint) => adviceCache.isAllowed(unit, endpoint),
      hardLoad: this.#parts.hardLoad.load,
      stopMs: bounds.stopMs,
      urgentTraffic: (service) =>
        this.#urgent.trafficOf(service, clock.wallMs()),
      corrections: this.#parts.estimates.corrections,
      shares: this.#parts.shares.shares,
    };
  }

  #start(decision: Scheduler.StartDecision): void {
    this.#stops.noteStart(decision);
    const { unit: { workflow: { spec } }, slowReason } = decision;
    if (slowReason !== undefined) {
      const { log, metrics } = this.#parts.ports;
      metrics.count("cairngate_slow_places_total", { reason: slowReason });
      log.info(
        `Urgent workflow ${spec.id} starts ${SLOW_START_MESSAGES[slowReason]}.`,
      );
    }
    this.#parts.control.start(decision);
  }

  #preempt(decision: Scheduler.StopDecision): void {
    const { task, claimant } = decision;
    const { log, clock, metrics } = this.#parts.ports;
    const ranMs = Math.round(clock.monotonicMs() - task.startedAtMs);
    log.info(
      `Run ${task.run} of ${task.name} yields after ${ranMs} ms to ` +
        `${claimant.workflow.spec.id}; checkpoints: ${task.step.checkpoints}.`,
    );
    metrics.count("cairngate_yields_total");
    this.#stops.noteStop(decision, clock.monotonicMs());
    this.#parts.shares.noteYield(task);
    this.#parts.control.stop(task);
    if (task.state === Workflow.TaskState.Stopping) task.preemptions++;
  }

  /** Requests advice for a waiting unit of a queue with advice. */
  #requestAdvice(
    plan: Scheduler.Plan,
    endpoints: readonly Scheduler.EndpointSnapshot[],
  ): void {
    const candidates = plan.waits
      .filter(({ reason }) => !REASONS_WITHOUT_ADVICE.has(reason))
      .filter(({ unit }) => unit.workflow.spec.policy.advice !== null)
      .map(({ unit }) => ({
        unit,
        listEndpoints: () => listEligible(unit, endpoints),
      }));
    this.#parts.advice.request(candidates);
  }
}

/** Ids of the endpoints that a unit may use, those with the fewest tasks first. */
function listEligible(
  unit: Workflow.Unit,
  endpoints: readonly Scheduler.EndpointSnapshot[],
): readonly string[] {
  return endpoints
    .filter((endpoint) => Scheduler.isEligible(endpoint, unit))
    .sort((a, b) => a.tasks.length - b.tasks.length)
    .map(({ id }) => id);
}
