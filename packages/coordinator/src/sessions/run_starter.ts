/** Sends the start of a run until its fate is known. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as loads from "./box_load.ts";
import type * as terms from "../election/term.ts";
import type * as assignments from "./occupant.ts";
import type * as ports from "../ports.ts";

/** What is known after the tries. */
export enum StartOutcome {
  /** The worker holds the run. */
  Running = "running",
  /** It ran or was stopped there before: a look tells which. */
  AlreadyHandled = "earlier",
  /** The worker is well and did not take it. */
  Refused = "refused",
  /** The worker could not be reached, or is not well: it is not there. */
  NotDelivered = "not-there",
  /** It may be there, or arrive later. */
  MayBeDelivered = "may-be-there",
  /** Another life of the worker answered; a try before may have reached it. */
  Replaced = "replaced",
  /** Another life answered the first try: the run never was there. */
  ReplacedBefore = "replaced-before",
  /** A later coordinator gives the orders. */
  Fenced = "fenced",
}

/** Outcome, with the worker's clock where it answered well. */
export interface StartReport {
  readonly outcome: StartOutcome;
  readonly clockMs: number | null;
}

/** Nothing was sent, so nothing can be there. */
export const NEVER_SENT: StartReport = {
  outcome: StartOutcome.NotDelivered,
  clockMs: null,
};

/** What a starter needs. */
export interface RunStarterOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly term: terms.Term;
  readonly ref: Ports.EndpointRef;
  /** Delay of this box. */
  readonly load: loads.BoxLoad;
  /** End of a lease that begins now, on the worker's clock. */
  readonly leaseEnd: () => number;
  /** A try had no answer: it may be carried out later. */
  readonly onUnanswered: (run: Ports.RunRef) => void;
  /** Whether the run is still wanted. */
  readonly isWanted: (assignment: assignments.Occupant) => boolean;
}

const START_LIMIT_MS = 450;
const MAX_ATTEMPTS = 2;
const RETRY_DELAY_MS = 150;

/** Starts runs on one worker. */
export class RunStarter {
  readonly #options: RunStarterOptions;

  constructor(options: RunStarterOptions) {
    this.#options = options;
  }

  /**
   * Sends the start; an unanswered one is sent again under the same run, which
   * does nothing where it has arrived. A refusal proves nothing about an earlier
   * try that got no answer: that one may still arrive.
   */
  send(assignment: assignments.Occupant): Effect.Effect<StartReport> {
    return Effect.gen({ self: this }, function* () {
      let mayBeDelivered = false;
      for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        if (!this.#options.isWanted(assignment)) break;
        const report = yield* this.#sendOnce(assignment);
        const { outcome } = report;
        const isUnsettled = outcome === StartOutcome.NotDelivered ||
          outcome === StartOutcome.MayBeDelivered ||
          (outcome === StartOutcome.Refused && mayBeDelivered);
        const mayHaveRun = mayBeDelivered &&
          outcome === StartOutcome.ReplacedBefore;
        if (mayHaveRun) return reportOf(StartOutcome.Replaced);
        if (!isUnsettled) return report;
        mayBeDelivered ||= outcome === StartOutcome.MayBeDelivered;
        yield* this.#options.ports.clock.sleep(RETRY_DELAY_MS);
      }
      return reportOf(
        mayBeDelivered
          ? StartOutcome.MayBeDelivered
          : StartOutcome.NotDelivered,
      );
    });
  }

  #sendOnce(assignment: assignments.Occupant): Effect.Effect<StartReport> {
    const { term, ref, load, ports: { workers, clock } } = this.#options;
    const { task, run, ticket } = assignment;
    return Effect.gen({ self: this }, function* () {
      const order = workers.start(ref, {
        task: task.name,
        run,
        payload: task.workflow.spec.payload,
        checkpoint: task.checkpoint,
        ticket,
        fencingToken: term.token,
        leaseUntilMs: this.#options.leaseEnd(),
      });
      const timed = yield* Effect.result(
        clock.within(load.extendLimit(START_LIMIT_MS), order),
      );
      if (timed._tag === "Success" && timed.success !== null) {
        const clockMs = timed.success.value;
        return { outcome: StartOutcome.Running, clockMs };
      }
      const outcome = timed._tag === "Failure"
        ? this.#outcomeOf(assignment, timed.failure)
        : StartOutcome.MayBeDelivered;
      if (outcome === StartOutcome.MayBeDelivered) {
        this.#options.onUnanswered({ task: task.name, run });
      }
      return reportOf(outcome);
    });
  }

  #outcomeOf(
    assignment: assignments.Occupant,
    err: Ports.OrderError,
  ): StartOutcome {
    if (err._tag === "WorkerLostError") {
      return err.neverSent
        ? StartOutcome.NotDelivered
        : StartOutcome.MayBeDelivered;
    }
    const { log, metrics } = this.#options.ports;
    const reason = err._tag === "OrderRefusedError" ? err.reason : "replaced";
    metrics.count("cairngate_starts_refused_total", { reason });
    const { task, run } = assignment;
    log.info(`Start of ${task.name} run ${run}: ${err.message}`);
    if (err._tag === "WorkerReplacedError") return StartOutcome.ReplacedBefore;
    switch (err.reason) {
      case Errors.OrderRefusal.Fenced:
        return StartOutcome.Fenced;
      case Errors.OrderRefusal.OldRun:
        return StartOutcome.AlreadyHandled;
      case Errors.OrderRefusal.Unhealthy:
        return StartOutcome.NotDelivered;
      default:
        return StartOutcome.Refused;
    }
  }
}

function reportOf(outcome: StartOutcome): StartReport {
  return { outcome, clockMs: null };
}
