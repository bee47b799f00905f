/** Makes plans when something has changed, and hands them on. */
import * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as advice from "./advice_book.ts";
import * as guarantees from "./guarantee_watch.ts";
import type * as ports from "../ports.ts";
import type * as hardLoads from "../load/hard_load_watch.ts";
import * as stopBooks from "../load/stop_book.ts";
import type * as estimates from "../load/run_estimates.ts";
import type * as shareBooks from "../load/share_book.ts";
import type * as controls from "./run_control.ts";
import * as standstills from "./standstill_watch.ts";
import type * as directories from "../endpoints/worker_directory.ts";

/** What planning works with. */
export interface PlanningParts {
  readonly ports: ports.CoordinatorPorts;
  readonly directory: directories.WorkerDirectory;
  readonly control: controls.RunControl;
  readonly advice: advice.AdviceBook;
  readonly hardLoad: hardLoads.HardLoadWatch;
  readonly estimates: estimates.RunEstimates;
  readonly shares: shareBooks.ShareBook;
  /** Workflows of which something may start. */
  readonly live: () => readonly Workflow.Workflow[];
  /** Workflows of which nothing may start before their records are there. */
  readonly unrecorded: () => readonly Workflow.Workflow[];
  /** Done before each plan; false: no plan now. */
  readonly prepare: () => boolean;
}

/** Longest time between two plans while something waits. */
const REPLAN_MS = 250;
/** Events that come together are planned together. */
const GATHER_MS = 2;
/** A plan that took long is followed by a pause this many times as long. */
const PLAN_PAUSE = 3;

const SLOW_SENTENCE_OF: Readonly<Record<Scheduler.SlowReason, string>> = {
  [Scheduler.SlowReason.Taken]:
    "on slow endpoints, on which it ends late: fast ones are in use",
  [Scheduler.SlowReason.TooLate]:
    "so late that no endpoint is fast enough for its objective",
};

/** Plans for one term. */
export class Planning {
  readonly #parts: PlanningParts;
  readonly #standstills: standstills.StandstillWatch;
  readonly #stops: stopBooks.StopBook;
  readonly #urgent = new Scheduler.UrgentArrivals();
  /** Time that the last plan took. */
  #planMs = 0;
  #signal = Deferred.makeUnsafe<void>();

  constructor(parts: PlanningParts) {
    this.#parts = parts;
    this.#standstills = new standstills.StandstillWatch(parts.ports);
    this.#stops = new stopBooks.StopBook(parts.ports.metrics);
  }

  /** Something has changed: plan soon. */
  wake(): void {
    Deferred.doneUnsafe(this.#signal, Effect.void);
  }

  /** Why a workflow waits, and since when; null where it does not. */
  waitOf(id: string): standstills.Standing | null {
    return this.#standstills.of(id);
  }

  /** What came of stops for other work. */
  get stopCounts(): stopBooks.StopCounts {
    return this.#stops.counts;
  }

  /** Plans for ever. */
  run(): Effect.Effect<never> {
    const { clock } = this.#parts.ports;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      yield* clock.within(REPLAN_MS, Deferred.await(this.#signal));
      this.#signal = Deferred.makeUnsafe<void>();
      yield* clock.sleep(Math.max(GATHER_MS, this.#planMs * PLAN_PAUSE));
      this.#stops.look(clock.wallMs());
      if (this.#parts.prepare()) this.#plan();
    }));
  }

  #plan(): void {
    const { ports: { clock, metrics }, directory } = this.#parts;
    const startedAtMs = clock.monotonicMs();
    const workflows = this.#parts.live();
    const unrecorded = this.#waitsForRecords();
    if (workflows.length === 0 && unrecorded.length === 0) {
      return this.#standstills.clear();
    }
    const workers = directory.states();
    this.#urgent.note(workflows);
    const plan = Scheduler.makePlan(this.#inputOf(workers, workflows));
    this.#standstills.take({
      waits: [...plan.waits, ...unrecorded],
      starts: plan.starts,
      endpoints: workers,
      nowMs: startedAtMs,
    });
    for (const stop of plan.stops) this.#yield(stop);
    for (const start of plan.starts) this.#start(start);
    this.#askAdvice(plan, workers);
    this.#planMs = clock.monotonicMs() - startedAtMs;
    metrics.observeMs("cairngate_plan_seconds", this.#planMs);
    metrics.set("cairngate_endpoints_kept", plan.kept);
  }

  #waitsForRecords(): Scheduler.WaitDecision[] {
    const wallMs = this.#parts.ports.clock.wallMs();
    const reason = Scheduler.WaitReason.Record;
    return this.#parts.unrecorded().flatMap((workflow) =>
      workflow.readyUnits(wallMs).slice(0, 1).map((unit) => ({ unit, reason }))
    );
  }

  #inputOf(
    workers: readonly Scheduler.WorkerState[],
    workflows: readonly Workflow.Workflow[],
  ): Scheduler.PlanInput {
    const { ports: { clock, bounds, config }, advice: book } = this.#parts;
    return {
      workers,
      workflows,
      guarantees: guarantees.guaranteesOf(config()),
      nowMs: clock.monotonicMs(),
      wallMs: clock.wallMs(),
      remotePenalty: bounds.remotePenalty,
      isAdvised: (unit, worker) => book.ticket(unit, worker) !== null,
      hardLoad: this.#parts.hardLoad.load,
      stopMs: bounds.stopMs,
      urgentTraffic: (service) => this.#urgent.of(service, clock.wallMs()),
      corrections: this.#parts.estimates.corrections,
      shares: this.#parts.shares.shares,
    };
  }

  #start(decision: Scheduler.StartDecision): void {
    this.#stops.started(decision);
    const { unit: { workflow: { spec } }, slow } = decision;
    if (slow !== undefined) {
      const { log, metrics } = this.#parts.ports;
      metrics.count("cairngate_slow_places_total", { reason: slow });
      log.info(`Urgent workflow ${spec.id} starts ${SLOW_SENTENCE_OF[slow]}.`);
    }
    this.#parts.control.start(decision);
  }

  #yield(decision: Scheduler.StopDecision): void {
    const { task, claimant } = decision;
    const { log, clock, metrics } = this.#parts.ports;
    const ranMs = Math.round(clock.monotonicMs() - task.startedAtMs);
    log.info(
      `Run ${task.run} of ${task.name} yields after ${ranMs} ms to ` +
        `${claimant.workflow.spec.id}; checkpoints: ${task.step.checkpoints}.`,
    );
    metrics.count("cairngate_yields_total");
    this.#stops.stopped(decision, clock.monotonicMs());
    this.#parts.shares.noteYield(task);
    this.#parts.control.stop(task);
    if (task.state === Workflow.TaskState.Stopping) task.stopsForOthers++;
  }

  /** Asks about the first unit that waits for advice. */
  #askAdvice(
    plan: Scheduler.Plan,
    workers: readonly Scheduler.WorkerState[],
  ): void {
    for (const { unit, reason } of plan.waits) {
      if (reason !== Scheduler.WaitReason.Advice) continue;
      const eligible = workers
        .filter((worker) => Scheduler.isEligible(worker, unit))
        .sort((a, b) => a.occupants.length - b.occupants.length);
      this.#parts.advice.ask(unit, eligible.map(({ id }) => id));
    }
  }
}
