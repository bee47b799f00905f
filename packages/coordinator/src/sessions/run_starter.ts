/** Sends the start of a run until its outcome is known. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as loads from "./box_load.ts";
import type * as terms from "../election/term.ts";
import * as assignments from "./assignment.ts";
import type * as ports from "../ports.ts";

/** What is known after the attempts. */
export enum StartOutcome {
  /** The endpoint holds the run. */
  Running = "running",
  /** The run was started or stopped there before: a poll shows which. */
  AlreadyHandled = "earlier",
  /** The endpoint is healthy and did not accept the run. */
  Refused = "refused",
  /** The endpoint is healthy and rejected the ticket, or requires one. */
  InvalidTicket = "invalid-ticket",
  /** The endpoint was unreachable or is not healthy, so it does not have the run. */
  NotDelivered = "not-there",
  /** The run may be there, or its start may be delivered later. */
  MayBeDelivered = "may-be-there",
  /**
   * Another incarnation answered; an earlier attempt may have reached the former one.
   */
  Replaced = "replaced",
  /** Another incarnation answered the first attempt: the run was never there. */
  ReplacedBefore = "replaced-before",
  /** Nothing was sent, as the holder of the term may not grant a lease now. */
  Withheld = "withheld",
  /** A later coordinator is in charge. */
  Fenced = "fenced",
}

/** Outcome, with the clock of the endpoint if it accepted the start. */
export interface StartReport {
  readonly outcome: StartOutcome;
  readonly clockMs: number | null;
}

/** Whether an endpoint has a run whose start was not answered. */
enum RunPresence {
  Shown = "shown",
  Absent = "absent",
  /** No poll was answered. */
  Unknown = "unknown",
}

/** Nothing was sent, so the endpoint cannot have the run. */
export const NEVER_SENT: StartReport = {
  outcome: StartOutcome.NotDelivered,
  clockMs: null,
};

/** No start may leave now, whatever its endpoint does. */
export const WITHHELD: StartReport = {
  outcome: StartOutcome.Withheld,
  clockMs: null,
};

/** Dependencies of a starter. */
export interface RunStarterOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly term: terms.Term;
  readonly ref: Ports.EndpointRef;
  /** Delay of this box. */
  readonly load: loads.BoxLoad;
  /** End of the lease of a start with this time limit, on the endpoint's clock. */
  readonly leaseEnd: (limitMs: number) => number;
  /** Receives each attempt without an answer, which may be executed later. */
  readonly onUnanswered: (run: Ports.RunRef) => void;
  /**
   * Polls the endpoint after an unanswered attempt; returns whether it answered. The
   * answer confirms the run, ends it or leaves it as it is.
   */
  readonly poll: () => Effect.Effect<boolean>;
  /** Whether the run is still wanted. */
  readonly isWanted: (assignment: assignments.Assignment) => boolean;
}

const START_LIMIT_MS = 450;
const MAX_ATTEMPTS = 2;
const RETRY_DELAY_MS = 150;

/** Starts runs on one endpoint. */
export class RunStarter {
  readonly #options: RunStarterOptions;

  constructor(options: RunStarterOptions) {
    this.#options = options;
  }

  /**
   * Sends the start. An unanswered one is sent again only if a later poll is answered
   * and does not show the run: each further copy may be delivered late, to the next
   * incarnation. A refusal proves nothing about an earlier unanswered attempt,
   * which may still be delivered.
   */
  send(assignment: assignments.Assignment): Effect.Effect<StartReport> {
    return Effect.gen({ self: this }, function* () {
      let mayBeDelivered = false;
      for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        if (!this.#options.isWanted(assignment)) break;
        if (attempt > 0) {
          assignment.resentAtMs = this.#options.ports.clock.monotonicMs();
        }
        const report = yield* this.#sendOnce(assignment);
        const { outcome } = report;
        if (outcome === StartOutcome.Withheld) {
          return mayBeDelivered
            ? reportOf(StartOutcome.MayBeDelivered)
            : report;
        }
        const isUnsettled = outcome === StartOutcome.NotDelivered ||
          outcome === StartOutcome.MayBeDelivered ||
          (isRefusal(outcome) && mayBeDelivered);
        const mayHaveRun = mayBeDelivered &&
          outcome === StartOutcome.ReplacedBefore;
        if (mayHaveRun) return reportOf(StartOutcome.Replaced);
        if (!isUnsettled) return report;
        mayBeDelivered ||= outcome === StartOutcome.MayBeDelivered;
        yield* this.#options.ports.clock.sleep(RETRY_DELAY_MS);
        if (!mayBeDelivered) continue;
        const presence = yield* this.#pollFor(assignment);
        if (presence === RunPresence.Shown) {
          return reportOf(StartOutcome.AlreadyHandled);
        }
        if (presence === RunPresence.Unknown) break;
      }
      return reportOf(
        mayBeDelivered
          ? StartOutcome.MayBeDelivered
          : StartOutcome.NotDelivered,
      );
    });
  }

  /** Determines whether an unanswered attempt has reached the endpoint. */
  #pollFor(assignment: assignments.Assignment): Effect.Effect<RunPresence> {
    const { poll, ports: { metrics } } = this.#options;
    return Effect.map(poll(), (isAnswered) => {
      const presence = presenceOf(assignment, isAnswered);
      metrics.count("cairngate_unanswered_starts_total", { run: presence });
      return presence;
    });
  }

  #sendOnce(assignment: assignments.Assignment): Effect.Effect<StartReport> {
    const { term, ref, load, ports: { endpoints, clock } } = this.#options;
    const { task, run, ticket } = assignment;
    return Effect.gen({ self: this }, function* () {
      // The run may have been recorded long ago, and a start carries a lease.
      if (!term.grants.mayGrant()) return WITHHELD;
      const limitMs = load.extendLimit(START_LIMIT_MS);
      const order = endpoints.start(ref, {
        task: task.name,
        run,
        payload: task.workflow.spec.payload,
        checkpoint: task.checkpoint,
        ticket,
        fencingToken: term.token,
        // An incarnation without a lease of its own refuses a copy that arrives later.
        leaseUntilMs: this.#options.leaseEnd(limitMs),
      });
      const timed = yield* Effect.result(clock.within(limitMs, order));
      if (timed._tag === "Success" && timed.success !== null) {
        const clockMs = timed.success.value;
        assignment.deliverableCopies++;
        return { outcome: StartOutcome.Running, clockMs };
      }
      const outcome = timed._tag === "Failure"
        ? this.#outcomeOf(assignment, timed.failure)
        : StartOutcome.MayBeDelivered;
      if (outcome === StartOutcome.MayBeDelivered) {
        assignment.deliverableCopies++;
        this.#options.onUnanswered({ task: task.name, run });
      }
      return reportOf(outcome);
    });
  }

  #outcomeOf(
    assignment: assignments.Assignment,
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
    log.info(`Start of ${task.name} run ${run} failed: ${err.message}`);
    if (err._tag === "WorkerReplacedError") return StartOutcome.ReplacedBefore;
    switch (err.reason) {
      case Errors.OrderRefusal.Fenced:
        return StartOutcome.Fenced;
      case Errors.OrderRefusal.StaleRun:
        return StartOutcome.AlreadyHandled;
      case Errors.OrderRefusal.Unhealthy:
        return StartOutcome.NotDelivered;
      case Errors.OrderRefusal.InvalidTicket:
        return StartOutcome.InvalidTicket;
      default:
        return StartOutcome.Refused;
    }
  }
}

function reportOf(outcome: StartOutcome): StartReport {
  return { outcome, clockMs: null };
}

function isRefusal(outcome: StartOutcome): boolean {
  return outcome === StartOutcome.Refused ||
    outcome === StartOutcome.InvalidTicket;
}

function presenceOf(
  assignment: assignments.Assignment,
  isAnswered: boolean,
): RunPresence {
  if (assignments.isConfirmed(assignment)) return RunPresence.Shown;
  return isAnswered ? RunPresence.Absent : RunPresence.Unknown;
}
