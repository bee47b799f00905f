/**
 * Runs a short job while its caller waits: asks the owner for a place, sends
 * the work to the worker itself, and takes only the answer to its own request.
 */
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as dispatches from "./dispatch.ts";
import * as intents from "./intents.ts";
import * as outcomes from "./outcomes.ts";
import type * as ports from "./ports.ts";
import * as budgets from "./retry_budget.ts";

const ASK_BACKOFF_MS = 60;
const ASK_MARGIN_MS = 500;
const RELEASE_MS = 6000;
/** Time a dispatched job has beyond its deadline to deliver its answer. */
const ANSWER_MARGIN_MS = 200;
const RETRY_AFTER_S = 2;

/** One short job on its way. */
interface Flight {
  readonly job: Types.Job;
  readonly request: string;
  readonly untilMs: number;
  /** Revision of the intent row; 0 where there is none. */
  intentRevision: number;
  /** Whether an attempt was sent of which nobody proved that it never ran. */
  mayHaveRun: boolean;
  /** The grant under which this box claimed the intent. */
  claim: Types.Grant | null;
}

/** Runs short jobs for this box's callers. */
export class ShortJobs {
  readonly #ports: ports.EntryPorts;
  readonly #intents: intents.Intents;
  readonly #retries = new budgets.RetryBudget();

  constructor(entryPorts: ports.EntryPorts) {
    this.#ports = entryPorts;
    this.#intents = new intents.Intents(entryPorts);
  }

  /** Runs a job; always ends with one of the three outcomes. */
  run(job: Types.Job, waitMs: number): Effect.Effect<Types.Outcome> {
    return Effect.gen({ self: this }, function* () {
      const { clock, random } = this.#ports;
      this.#retries.noteTry(job.team);
      const flight: Flight = {
        job,
        request: random.id(),
        untilMs: clock.monotonicMs() + waitMs,
        intentRevision: 0,
        mayHaveRun: false,
        claim: null,
      };
      const earlier = yield* this.#findEarlier(flight);
      if (earlier !== null) return earlier;
      const outcome = yield* this.#attemptUntilDone(flight);
      if (outcome.kind !== Types.OutcomeKind.NotRun) return outcome;
      if (flight.mayHaveRun) {
        const why = `an earlier attempt may have run; then ${outcome.reason}`;
        return outcomes.unknown(job.id, null, why);
      }
      yield* this.#noteNotRun(flight, outcome);
      return outcome;
    });
  }

  /** The outcome of the same key through another box, if there is one. */
  #findEarlier(flight: Flight): Effect.Effect<Types.Outcome | null> {
    return Effect.gen({ self: this }, function* () {
      const { job } = flight;
      if (job.repeatable || job.idempotencyKey === null) return null;
      const row = yield* Effect.result(this.#intents.read(job));
      if (row._tag === "Failure") {
        const why = "the store cannot tell whether the job ran before";
        // Nothing was sent by this box, but another one may have run it.
        return outcomes.unknown(job.id, null, why);
      }
      if (row.success === null) return null;
      const { outcome, digest } = row.success.row;
      if (digest !== job.digest) {
        const why = "the key was used for another request";
        return outcomes.notRun(job.id, why, null);
      }
      if (outcome?.kind === Types.OutcomeKind.NotRun) {
        // It did not run, so this box may take the claim over.
        flight.intentRevision = row.success.revision;
        return null;
      }
      return yield* this.#awaitOther(flight);
    });
  }

  #awaitOther(flight: Flight): Effect.Effect<Types.Outcome> {
    const { job, untilMs } = flight;
    const why = "the same key was sent through another box, " +
      "which has not recorded an outcome";
    return Effect.map(
      this.#intents.awaitOutcome(job, untilMs),
      (outcome) => outcome ?? outcomes.unknown(job.id, null, why),
    );
  }

  #attemptUntilDone(flight: Flight): Effect.Effect<Types.Outcome> {
    return Effect.gen({ self: this }, function* () {
      const { clock, random } = this.#ports;
      const { job } = flight;
      for (;;) {
        const grant = yield* this.#askForPlace(flight);
        if (grant.kind === Types.GrantKind.NotRun) {
          const { reason, retryAfterSeconds } = grant;
          return outcomes.notRun(job.id, reason ?? "", retryAfterSeconds);
        }
        const claimed = yield* this.#claimIntent(flight, grant);
        if (claimed !== null) return claimed;
        const dispatch = yield* this.#dispatch(flight, grant);
        const outcome = yield* this.#conclude(flight, grant, dispatch);
        if (outcome !== null) return outcome;
        if (clock.monotonicMs() >= flight.untilMs) {
          return outcomes.notRun(job.id, "the deadline passed", RETRY_AFTER_S);
        }
        yield* clock.sleep(random.jitter(ASK_BACKOFF_MS));
      }
    });
  }

  /** Asks owner after owner until one decides or the time is up. */
  #askForPlace(flight: Flight): Effect.Effect<Types.Grant> {
    return Effect.gen({ self: this }, function* () {
      const { clock, random, owners, box } = this.#ports;
      const { job, request } = flight;
      let why = "no box owns the cell";
      for (;;) {
        const waitMs = Math.floor(flight.untilMs - clock.monotonicMs());
        if (waitMs <= 0) return Types.createRefusal(job.id, why, RETRY_AFTER_S);
        const shape = dispatches.toShape(job);
        const kind = Types.PeerKind.Place as const;
        const { cell } = job;
        const req = { kind, cell, box, request, shape, waitMs };
        const asked = yield* Effect.result(
          owners.ask<Types.Grant>(cell, req, waitMs + ASK_MARGIN_MS),
        );
        if (asked._tag === "Success") return asked.success;
        why = asked.failure.message;
        yield* clock.sleep(random.jitter(ASK_BACKOFF_MS));
      }
    });
  }

  /** Null where the dispatch may go on. */
  #claimIntent(
    flight: Flight,
    grant: Types.Grant,
  ): Effect.Effect<Types.Outcome | null> {
    return Effect.gen({ self: this }, function* () {
      const { job } = flight;
      if (job.repeatable) return null;
      const { attempt, worker } = grant;
      const revision = flight.intentRevision;
      const own = { attempt, worker, revision };
      const claim = yield* Effect.result(this.#intents.claim(job, own));
      if (claim._tag === "Success" && claim.success.kind === "own") {
        flight.intentRevision = claim.success.revision;
        flight.claim = grant;
        return null;
      }
      yield* this.#release(flight, grant, { ran: false, uncertain: false });
      if (claim._tag === "Success") return yield* this.#awaitOther(flight);
      const why = "the intent could not be stored; nothing was sent";
      return outcomes.notRun(job.id, why, RETRY_AFTER_S);
    });
  }

  #dispatch(
    flight: Flight,
    grant: Types.Grant,
  ): Effect.Effect<dispatches.Dispatch> {
    return Effect.gen({ self: this }, function* () {
      const { clock, workers, owners, metrics } = this.#ports;
      if (owners.isWorkerLeaving(grant.worker)) {
        return { kind: "not-started", why: "the worker is leaving" } as const;
      }
      metrics.count("cairngate_dispatches_total");
      const limitMs = flight.untilMs - clock.monotonicMs() + ANSWER_MARGIN_MS;
      const order = dispatches.makeOrder(flight, grant, this.#ports.box);
      const run = workers.run(grant.endpoint, order);
      const ended = yield* Effect.result(clock.within(limitMs, run));
      if (ended._tag === "Failure") {
        return dispatches.readFailure(ended.failure);
      }
      if (ended.success === null) {
        return { kind: "uncertain", why: "no answer by the deadline" } as const;
      }
      return this.#checkAnswer(order, ended.success.value);
    });
  }

  /** Only the answer to this very request counts. */
  #checkAnswer(
    order: Types.HoldOrder,
    answer: Types.TaskAnswer,
  ): dispatches.Dispatch {
    if (!dispatches.isOwnAnswer(order, answer)) {
      this.#ports.metrics.count("cairngate_foreign_answers_total");
      return { kind: "uncertain", why: "the answer was not to this request" };
    }
    if (answer.state === Types.TaskState.Finished) {
      return { kind: "answered", result: answer.result };
    }
    return { kind: "uncertain", why: "the worker stopped the task" };
  }

  /** Tells the owner, and decides whether to try again (null). */
  #conclude(
    flight: Flight,
    grant: Types.Grant,
    dispatch: dispatches.Dispatch,
  ): Effect.Effect<Types.Outcome | null> {
    return Effect.gen({ self: this }, function* () {
      const { job } = flight;
      if (dispatch.kind === "answered") {
        yield* this.#releaseLater(flight, grant);
        return yield* this.#finish(flight, grant, dispatch.result);
      }
      if (dispatch.kind === "not-started") {
        yield* this.#release(flight, grant, { ran: false, uncertain: false });
        return null;
      }
      const reply = yield* this.#release(flight, grant, {
        ran: true,
        uncertain: true,
      });
      if (reply?.finished === true) {
        return yield* this.#finish(flight, grant, reply.result);
      }
      if (reply?.ran === false) return null;
      flight.mayHaveRun = true;
      if (job.repeatable && this.#mayRetry(flight)) return null;
      const outcome = outcomes.unknown(job.id, grant.attempt, dispatch.why);
      yield* this.#saveOutcome(flight, grant, outcome);
      return outcome;
    });
  }

  #mayRetry(flight: Flight): boolean {
    const { clock } = this.#ports;
    if (clock.monotonicMs() >= flight.untilMs) return false;
    return this.#retries.take(flight.job.team);
  }

  #finish(
    flight: Flight,
    grant: Types.Grant,
    result: unknown,
  ): Effect.Effect<Types.Outcome> {
    const outcome = outcomes.done(flight.job.id, grant.attempt, result);
    return Effect.as(this.#saveOutcome(flight, grant, outcome), outcome);
  }

  /**
   * Leaves word that a keyed job did not run, before the caller is told: a
   * box that was paused with the same key finds it and does not dispatch.
   */
  #noteNotRun(flight: Flight, outcome: Types.Outcome): Effect.Effect<void> {
    const { job, claim, intentRevision: revision } = flight;
    if (job.repeatable || job.idempotencyKey === null) return Effect.void;
    const attempt = claim?.attempt ?? "";
    const worker = claim?.worker ?? "";
    const row = { attempt, worker, revision, outcome };
    return this.#intents.saveOutcome(job, row);
  }

  /** Only unrepeatable jobs keep their outcome; the caller does not wait. */
  #saveOutcome(
    flight: Flight,
    grant: Types.Grant,
    outcome: Types.Outcome,
  ): Effect.Effect<void> {
    if (flight.job.repeatable) return Effect.void;
    const { attempt, worker } = grant;
    const save = this.#intents.saveOutcome(flight.job, {
      attempt,
      worker,
      outcome,
      revision: flight.intentRevision,
    });
    return Effect.asVoid(Effect.forkDetach(save));
  }

  #releaseLater(flight: Flight, grant: Types.Grant): Effect.Effect<void> {
    const release = this.#release(flight, grant, {
      ran: true,
      uncertain: false,
    });
    return Effect.asVoid(Effect.forkDetach(release));
  }

  #release(
    flight: Flight,
    grant: Types.Grant,
    how: { ran: boolean; uncertain: boolean },
  ): Effect.Effect<Types.ReleasedReply | null> {
    const { cell, id: jobId } = flight.job;
    const kind = Types.PeerKind.Released as const;
    const { attempt } = grant;
    const req = { kind, cell, jobId, attempt, ...how };
    return this.#ports.owners.ask<Types.ReleasedReply>(cell, req, RELEASE_MS)
      .pipe(Effect.catch(() => Effect.succeed(null)));
  }
}
