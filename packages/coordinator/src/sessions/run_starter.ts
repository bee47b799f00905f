/** Sends the start of a run until its fate is known. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as loads from "./box_load.ts";
import type * as terms from "../election/term.ts";
import type * as occupants from "./occupant.ts";
import type * as ports from "../ports.ts";

/** What is known after the tries. */
export enum StartOutcome {
  /** The worker holds the run. */
  Running = "running",
  /** It ran or was stopped there before: a look tells which. */
  Earlier = "earlier",
  /** The worker is well and did not take it. */
  Refused = "refused",
  /** The worker could not be reached, or is not well: it is not there. */
  NotThere = "not-there",
  /** It may be there, or arrive later. */
  MayBeThere = "may-be-there",
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
  outcome: StartOutcome.NotThere,
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
  readonly onLoose: (run: Ports.RunRef) => void;
  /** Whether the run is still wanted. */
  readonly isWanted: (occupant: occupants.Occupant) => boolean;
}

const LIMIT_MS = 450;
const TRIES = 2;
const RETRY_MS = 150;

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
  send(occupant: occupants.Occupant): Effect.Effect<StartReport> {
    return Effect.gen({ self: this }, function* () {
      let mayBeThere = false;
      for (let attempt = 0; attempt < TRIES; attempt++) {
        if (!this.#options.isWanted(occupant)) break;
        const report = yield* this.#try(occupant);
        const { outcome } = report;
        const isOpen = outcome === StartOutcome.NotThere ||
          outcome === StartOutcome.MayBeThere ||
          (outcome === StartOutcome.Refused && mayBeThere);
        const isUncertain = mayBeThere &&
          outcome === StartOutcome.ReplacedBefore;
        if (isUncertain) return reportOf(StartOutcome.Replaced);
        if (!isOpen) return report;
        mayBeThere ||= outcome === StartOutcome.MayBeThere;
        yield* this.#options.ports.clock.sleep(RETRY_MS);
      }
      return reportOf(
        mayBeThere ? StartOutcome.MayBeThere : StartOutcome.NotThere,
      );
    });
  }

  #try(occupant: occupants.Occupant): Effect.Effect<StartReport> {
    const { term, ref, load, ports: { workers, clock } } = this.#options;
    const { task, run, ticket } = occupant;
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
        clock.within(load.allow(LIMIT_MS), order),
      );
      if (timed._tag === "Success" && timed.success !== null) {
        const clockMs = timed.success.value;
        return { outcome: StartOutcome.Running, clockMs };
      }
      const outcome = timed._tag === "Failure"
        ? this.#judge(occupant, timed.failure)
        : StartOutcome.MayBeThere;
      if (outcome === StartOutcome.MayBeThere) {
        this.#options.onLoose({ task: task.name, run });
      }
      return reportOf(outcome);
    });
  }

  #judge(occupant: occupants.Occupant, err: Ports.OrderError): StartOutcome {
    if (err._tag === "WorkerLostError") {
      return err.neverSent ? StartOutcome.NotThere : StartOutcome.MayBeThere;
    }
    const { log, metrics } = this.#options.ports;
    const reason = err._tag === "OrderRefusedError" ? err.reason : "replaced";
    metrics.count("cairngate_starts_refused_total", { reason });
    const { task, run } = occupant;
    log.info(`Start of ${task.name} run ${run}: ${err.message}`);
    if (err._tag === "WorkerReplacedError") return StartOutcome.ReplacedBefore;
    switch (err.reason) {
      case Errors.OrderRefusal.Fenced:
        return StartOutcome.Fenced;
      case Errors.OrderRefusal.OldRun:
        return StartOutcome.Earlier;
      case Errors.OrderRefusal.Unhealthy:
        return StartOutcome.NotThere;
      default:
        return StartOutcome.Refused;
    }
  }
}

function reportOf(outcome: StartOutcome): StartReport {
  return { outcome, clockMs: null };
}
