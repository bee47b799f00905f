/**
 * Runs a short job while its caller waits: requests a grant from the cell's owner,
 * sends the work directly to the granted worker, and accepts only the answer to
 * its own request.
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
/** Time after its deadline in which a dispatched job may still answer. */
const ANSWER_MARGIN_MS = 200;
const RETRY_AFTER_S = 2;

/** A short job whose caller waits. */
interface PendingJob {
  readonly job: Types.Job;
  readonly request: string;
  readonly untilMs: number;
  /** Revision of the intent row; 0 if there is none. */
  intentRevision: number;
  /** Whether an attempt was sent that is not proven not to have run. */
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

  /** Runs a job and returns one of the three outcomes; it never fails. */
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

  /**
   * Returns the outcome of an earlier request with the same key, which may have
   * been sent through another box. Null if this box may run the job.
   */
  #findEarlierOutcome(
    pending: PendingJob,
  ): Effect.Effect<Types.Outcome | null> {
    return Effect.gen({ self: this }, function* () {
      const { job } = pending;
      if (job.repeatable || job.idempotencyKey === null) return null;
      const row = yield* Effect.result(this.#intents.read(job));
      if (row._tag === "Failure") {
        const reason = "the store cannot tell whether the job ran before";
        // This box has sent nothing, but another box may have run the job.
        return outcomes.unknown(job.id, null, reason);
      }
      if (row.success === null) return null;
      const { outcome, digest } = row.success.row;
      if (digest !== job.digest) {
        const reason = "the key was used for another request";
        return outcomes.notRun(job.id, reason, null);
      }
      if (outcome?.kind === Types.OutcomeKind.NotRun) {
        // The job did not run, so this box may take over the claim.
        pending.intentRevision = row.success.revision;
        return null;
      }
      return yield* this.#awaitOther(pending);
    });
  }

  /** Waits until the deadline for the outcome that the claim's holder records. */
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

  /** Requests a grant from the cell's owner, again after errors, until the deadline. */
  #requestGrant(pending: PendingJob): Effect.Effect<Types.Grant> {
    return Effect.gen({ self: this }, function* () {
      const { clock, random, owners, box } = this.#ports;
      const { job, request } = pending;
      let why = "no box owns the cell";
      for (;;) {
        const waitMs = Math.floor(pending.untilMs - clock.monotonicMs());
        if (waitMs <= 0) return Types.createRefusal(job.id, why, RETRY_AFTER_S);
        const shape = dispatches.toShape(job);
        const kind = Types.PeerKind.Place as const;
        const { cell } = job;
        const req = { kind, cell, box, request, shape, waitMs };
        const reply = yield* Effect.result(
          owners.request<Types.Grant>(
            cell,
            req,
            waitMs + OWNER_REPLY_MARGIN_MS,
          ),
        );
        if (reply._tag === "Success") return reply.success;
        why = reply.failure.message;
        yield* clock.sleep(random.jitter(OWNER_RETRY_DELAY_MS));
      }
    });
  }

  /** Claims the intent of an unrepeatable job. Null if the job may be dispatched. */
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

  /** Accepts only a finished answer to this order. */
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

  /** Reports the dispatch to the owner. Null if the job is to be tried again. */
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
   * Records that a job with a key did not run, before the caller gets the answer.
   * A box that was paused while it held the same key then fails to claim the intent
   * and doesn't dispatch the job.
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

  /** Saves the outcome of an unrepeatable job in the background. */
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

  /** Reports the end of an attempt to the owner. Null if the owner doesn't answer. */
  #release(
    pending: PendingJob,
    grant: Types.Grant,
    ending: { ran: boolean; uncertain: boolean },
  ): Effect.Effect<Types.ReleasedReply | null> {
    const { cell, id: jobId } = pending.job;
    const kind = Types.PeerKind.Released as const;
    const { attempt } = grant;
    const req = { kind, cell, jobId, attempt, ...ending };
    return this.#ports.owners.request<Types.ReleasedReply>(
      cell,
      req,
      RELEASE_TIMEOUT_MS,
    )
      .pipe(Effect.catch(() => Effect.succeed(null)));
  }
}
