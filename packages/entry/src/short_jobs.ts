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

const OWNER_RETRY_DELAY_MS = 60;
const OWNER_REPLY_MARGIN_MS = 500;
const RELEASE_TIMEOUT_MS = 6000;
/** Time a dispatched job has beyond its deadline to deliver its answer. */
const ANSWER_MARGIN_MS = 200;
const RETRY_AFTER_S = 2;

/** One short job on its way. */
interface PendingJob {
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
      this.#retries.recordFirstTry(job.team);
      const pending: PendingJob = {
        job,
        request: random.id(),
        untilMs: clock.monotonicMs() + waitMs,
        intentRevision: 0,
        mayHaveRun: false,
        claim: null,
      };
      const earlier = yield* this.#findEarlierOutcome(pending);
      if (earlier !== null) return earlier;
      const outcome = yield* this.#attemptUntilDone(pending);
      if (outcome.kind !== Types.OutcomeKind.NotRun) return outcome;
      if (pending.mayHaveRun) {
        const reason =
          `an earlier attempt may have run; then ${outcome.reason}`;
        return outcomes.unknown(job.id, null, reason);
      }
      yield* this.#recordNotRun(pending, outcome);
      return outcome;
    });
  }

  /** The outcome of the same key through another box, if there is one. */
  #findEarlierOutcome(
    pending: PendingJob,
  ): Effect.Effect<Types.Outcome | null> {
    return Effect.gen({ self: this }, function* () {
      const { job } = pending;
      if (job.repeatable || job.idempotencyKey === null) return null;
      const row = yield* Effect.result(this.#intents.read(job));
      if (row._tag === "Failure") {
        const reason = "the store cannot tell whether the job ran before";
        // Nothing was sent by this box, but another one may have run it.
        return outcomes.unknown(job.id, null, reason);
      }
      if (row.success === null) return null;
      const { outcome, digest } = row.success.row;
      if (digest !== job.digest) {
        const reason = "the key was used for another request";
        return outcomes.notRun(job.id, reason, null);
      }
      if (outcome?.kind === Types.OutcomeKind.NotRun) {
        // It did not run, so this box may take the claim over.
        pending.intentRevision = row.success.revision;
        return null;
      }
      return yield* this.#awaitOther(pending);
    });
  }

  #awaitOther(pending: PendingJob): Effect.Effect<Types.Outcome> {
    const { job, untilMs } = pending;
    const reason = "the same key was sent through another box, " +
      "which has not recorded an outcome";
    return Effect.map(
      this.#intents.awaitOutcome(job, untilMs),
      (outcome) => outcome ?? outcomes.unknown(job.id, null, reason),
    );
  }

  #attemptUntilDone(pending: PendingJob): Effect.Effect<Types.Outcome> {
    return Effect.gen({ self: this }, function* () {
      const { clock, random } = this.#ports;
      const { job } = pending;
      for (;;) {
        const grant = yield* this.#requestGrant(pending);
        if (grant.kind === Types.GrantKind.NotRun) {
          const { reason, retryAfterSeconds } = grant;
          return outcomes.notRun(job.id, reason ?? "", retryAfterSeconds);
        }
        const claimed = yield* this.#claimIntent(pending, grant);
        if (claimed !== null) return claimed;
        const dispatch = yield* this.#dispatch(pending, grant);
        const outcome = yield* this.#conclude(pending, grant, dispatch);
        if (outcome !== null) return outcome;
        if (clock.monotonicMs() >= pending.untilMs) {
          return outcomes.notRun(job.id, "the deadline passed", RETRY_AFTER_S);
        }
        yield* clock.sleep(random.jitter(OWNER_RETRY_DELAY_MS));
      }
    });
  }

  /** Asks owner after owner until one decides or the time is up. */
  #requestGrant(pending: PendingJob): Effect.Effect<Types.Grant> {
    return Effect.gen({ self: this }, function* () {
      const { clock, random, owners, box } = this.#ports;
      const { job, request } = pending;
      let reason = "no box owns the cell";
      for (;;) {
        const waitMs = Math.floor(pending.untilMs - clock.monotonicMs());
        if (waitMs <= 0) {
          return Types.createRefusal(job.id, reason, RETRY_AFTER_S);
        }
        const shape = dispatches.toShape(job);
        const kind = Types.PeerKind.Place as const;
        const { cell } = job;
        const req = { kind, cell, box, request, shape, waitMs };
        const reply = yield* Effect.result(
          owners.ask<Types.Grant>(cell, req, waitMs + OWNER_REPLY_MARGIN_MS),
        );
        if (reply._tag === "Success") return reply.success;
        reason = reply.failure.message;
        yield* clock.sleep(random.jitter(OWNER_RETRY_DELAY_MS));
      }
    });
  }

  /** Null where the dispatch may go on. */
  #claimIntent(
    pending: PendingJob,
    grant: Types.Grant,
  ): Effect.Effect<Types.Outcome | null> {
    return Effect.gen({ self: this }, function* () {
      const { job } = pending;
      if (job.repeatable) return null;
      const { attempt, worker } = grant;
      const revision = pending.intentRevision;
      const claimant = { attempt, worker, revision };
      const claim = yield* Effect.result(this.#intents.claim(job, claimant));
      if (claim._tag === "Success" && claim.success.kind === "own") {
        pending.intentRevision = claim.success.revision;
        pending.claim = grant;
        return null;
      }
      yield* this.#release(pending, grant, { ran: false, uncertain: false });
      if (claim._tag === "Success") return yield* this.#awaitOther(pending);
      const reason = "the intent could not be stored; nothing was sent";
      return outcomes.notRun(job.id, reason, RETRY_AFTER_S);
    });
  }

  #dispatch(
    pending: PendingJob,
    grant: Types.Grant,
  ): Effect.Effect<dispatches.Dispatch> {
    return Effect.gen({ self: this }, function* () {
      const { clock, workers, owners, metrics } = this.#ports;
      if (owners.isWorkerLeaving(grant.worker)) {
        return {
          kind: "not-started",
          reason: "the worker is leaving",
        } as const;
      }
      metrics.count("cairngate_dispatches_total");
      const limitMs = pending.untilMs - clock.monotonicMs() + ANSWER_MARGIN_MS;
      const order = dispatches.makeOrder(pending, grant, this.#ports.box);
      const run = workers.run(grant.endpoint, order);
      const ended = yield* Effect.result(clock.within(limitMs, run));
      if (ended._tag === "Failure") {
        return dispatches.classifyFailure(ended.failure);
      }
      if (ended.success === null) {
        return {
          kind: "uncertain",
          reason: "no answer by the deadline",
        } as const;
      }
      return this.#checkAnswer(order, ended.success.value);
    });
  }

  /** Only the answer to this very request counts. */
  #checkAnswer(
    order: Types.HoldOrder,
    answer: Types.TaskAnswer,
  ): dispatches.Dispatch {
    if (!dispatches.isAnswerToOrder(order, answer)) {
      this.#ports.metrics.count("cairngate_foreign_answers_total");
      return {
        kind: "uncertain",
        reason: "the answer was not to this request",
      };
    }
    if (answer.state === Types.TaskState.Finished) {
      return { kind: "answered", result: answer.result };
    }
    return { kind: "uncertain", reason: "the worker stopped the task" };
  }

  /** Tells the owner, and decides whether to try again (null). */
  #conclude(
    pending: PendingJob,
    grant: Types.Grant,
    dispatch: dispatches.Dispatch,
  ): Effect.Effect<Types.Outcome | null> {
    return Effect.gen({ self: this }, function* () {
      const { job } = pending;
      if (dispatch.kind === "answered") {
        yield* this.#releaseLater(pending, grant);
        return yield* this.#finish(pending, grant, dispatch.result);
      }
      if (dispatch.kind === "not-started") {
        yield* this.#release(pending, grant, { ran: false, uncertain: false });
        return null;
      }
      const reply = yield* this.#release(pending, grant, {
        ran: true,
        uncertain: true,
      });
      if (reply?.finished === true) {
        return yield* this.#finish(pending, grant, reply.result);
      }
      if (reply?.ran === false) return null;
      pending.mayHaveRun = true;
      if (job.repeatable && this.#mayRetry(pending)) return null;
      const outcome = outcomes.unknown(job.id, grant.attempt, dispatch.reason);
      yield* this.#saveOutcome(pending, grant, outcome);
      return outcome;
    });
  }

  #mayRetry(pending: PendingJob): boolean {
    const { clock } = this.#ports;
    if (clock.monotonicMs() >= pending.untilMs) return false;
    return this.#retries.take(pending.job.team);
  }

  #finish(
    pending: PendingJob,
    grant: Types.Grant,
    result: unknown,
  ): Effect.Effect<Types.Outcome> {
    const outcome = outcomes.done(pending.job.id, grant.attempt, result);
    return Effect.as(this.#saveOutcome(pending, grant, outcome), outcome);
  }

  /**
   * Leaves word that a keyed job did not run, before the caller is told: a
   * box that was paused with the same key finds it and does not dispatch.
   */
  #recordNotRun(
    pending: PendingJob,
    outcome: Types.Outcome,
  ): Effect.Effect<void> {
    const { job, claim, intentRevision: revision } = pending;
    if (job.repeatable || job.idempotencyKey === null) return Effect.void;
    const attempt = claim?.attempt ?? "";
    const worker = claim?.worker ?? "";
    const row = { attempt, worker, revision, outcome };
    return this.#intents.saveOutcome(job, row);
  }

  /** Only unrepeatable jobs keep their outcome; the caller does not wait. */
  #saveOutcome(
    pending: PendingJob,
    grant: Types.Grant,
    outcome: Types.Outcome,
  ): Effect.Effect<void> {
    if (pending.job.repeatable) return Effect.void;
    const { attempt, worker } = grant;
    const save = this.#intents.saveOutcome(pending.job, {
      attempt,
      worker,
      outcome,
      revision: pending.intentRevision,
    });
    return Effect.asVoid(Effect.forkDetach(save));
  }

  #releaseLater(pending: PendingJob, grant: Types.Grant): Effect.Effect<void> {
    const release = this.#release(pending, grant, {
      ran: true,
      uncertain: false,
    });
    return Effect.asVoid(Effect.forkDetach(release));
  }

  #release(
    pending: PendingJob,
    grant: Types.Grant,
    ending: { ran: boolean; uncertain: boolean },
  ): Effect.Effect<Types.ReleasedReply | null> {
    const { cell, id: jobId } = pending.job;
    const kind = Types.PeerKind.Released as const;
    const { attempt } = grant;
    const req = { kind, cell, jobId, attempt, ...ending };
    return this.#ports.owners.ask<Types.ReleasedReply>(
      cell,
      req,
      RELEASE_TIMEOUT_MS,
    )
      .pipe(Effect.catch(() => Effect.succeed(null)));
  }
}
