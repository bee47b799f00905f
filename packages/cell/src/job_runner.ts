/** Executes the scheduler's decisions and ends jobs. */
import * as Types from "@cairngate/types";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as states from "./cell_state.ts";
import * as owned from "./owned_job.ts";

/** A grant that no worker has reported within this time is revoked. */
const GRANT_TIMEOUT_MS = 4000;
// The retries also give preempted tasks time to write their checkpoints.
const STOP_RETRY_DELAY_MS = 500;
const MAX_STOP_RETRIES = 6;

/** Executes the decisions of one cell's scheduler. */
export class JobRunner {
  readonly #state: states.CellState;

  constructor(state: states.CellState) {
    this.#state = state;
  }

  /** Starts the execution of a decision. */
  execute(decision: Types.Decision): void {
    const job = this.#state.jobs.get(decision.jobId);
    if (job === undefined) return;
    switch (decision.kind) {
      case Types.DecisionKind.Start:
        return this.#start(job, decision.slots);
      case Types.DecisionKind.Preempt:
        return this.#state.fork(this.#preempt(job, decision.claimant));
      case Types.DecisionKind.Expire:
        return this.#expire(job);
    }
  }

  /** Records a finished member; ends the job once all members have finished. */
  noteFinished(job: owned.OwnedJob, rank: number, result: unknown): void {
    const { attempt } = job;
    if (attempt === null) return;
    attempt.results.set(rank, result);
    if (attempt.results.size < attempt.slots.length) return;
    if (job.kind === "short") this.releaseShort(job);
    else this.#complete(job, attempt);
  }

  /**
   * Stops the whole job after the loss of a member. A short job is released; a
   * stored one waits again if it is repeatable or no member has run.
   */
  handleMemberLoss(job: owned.OwnedJob, why: string): void {
    const { attempt } = job;
    if (attempt === null || attempt.isStopping) return;
    attempt.isStopping = true;
    this.#state.ports.metrics.count("cairngate_members_lost_total");
    if (job.kind === "short") return this.releaseShort(job);
    this.#state.fork(this.#stopIncomplete(job, attempt, why));
  }

  /** Removes a short job and frees its place. */
  releaseShort(job: owned.ShortJob): void {
    const { id } = job.shape;
    this.#state.scheduler.finish(id);
    this.#state.jobs.delete(id);
    this.#state.wake();
  }

  /**
   * Writes the end of a stored job and completes the requests that wait for
   * it. Returns false if the ownership was lost before the write.
   */
  end(job: owned.StoredJob, record: Types.JobRecord): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      job.isEnding = true;
      this.#state.scheduler.finish(job.shape.id);
      this.#state.wake();
      const saved = yield* this.#state.records.saveEnd(record);
      if (!saved) return false;
      job.record = record;
      this.#acknowledge(job);
      this.#state.endedIds.add(job.shape.id);
      this.#state.jobs.delete(job.shape.id);
      Deferred.doneUnsafe(job.ended, Effect.succeed(record));
      return true;
    });
  }

  #start(job: owned.OwnedJob, slots: readonly Types.Slot[]): void {
    const places = this.#state.placesOf(slots);
    const id = this.#state.nextAttemptId();
    job.attempt = owned.createAttempt(id, slots, places);
    if (job.kind === "short") this.#grant(job, job.attempt);
    else this.#state.fork(this.#startStored(job, job.attempt));
  }

  #grant(job: owned.ShortJob, attempt: owned.Attempt): void {
    const worker = attempt.workers[0];
    const grant: Types.Grant = {
      kind: Types.GrantKind.Granted,
      jobId: job.shape.id,
      attempt: attempt.id,
      epoch: this.#state.lease.epoch,
      worker,
      endpoint: this.#state.links.get(worker)?.worker.endpoint ?? "",
      mask: attempt.slots[0].mask,
      reason: null,
      retryAfterSeconds: null,
    };
    if (job.granted !== null) {
      Deferred.doneUnsafe(job.granted, Effect.succeed(grant));
    }
    this.#state.fork(this.#revokeUnused(job, attempt));
  }

  /** Revokes a grant that its box has not dispatched in time. */
  #revokeUnused(
    job: owned.ShortJob,
    attempt: owned.Attempt,
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#state.ports.clock.sleep(GRANT_TIMEOUT_MS);
      if (job.attempt !== attempt || attempt.isSeen) return;
      yield* this.stopWithRetries(job, attempt);
      if (job.attempt === attempt) this.releaseShort(job);
    });
  }

  #startStored(
    job: owned.StoredJob,
    attempt: owned.Attempt,
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { orders, scheduler } = this.#state;
      const progress = scheduler.get(job.shape.id)?.progress ?? 0;
      const recorded = yield* this.#recordStart(job, attempt);
      if (!recorded || job.attempt !== attempt) {
        return yield* this.#abandonStart(
          job,
          attempt,
          "the start was not noted",
        );
      }
      const held = yield* orders.holdAll(job, attempt, progress);
      if (!held || attempt.isStopping) {
        return yield* this.#abandonStart(job, attempt, "a hold was refused");
      }
      const started = yield* orders.startAll(job.shape, attempt);
      if (!started && !attempt.isStopping) {
        this.handleMemberLoss(job, "a member could not be started");
      }
    });
  }

  /**
   * Writes the start of the job to the store. During a store outage a
   * repeatable job starts without this record; an unrepeatable one waits.
   */
  #recordStart(
    job: owned.StoredJob,
    attempt: owned.Attempt,
  ): Effect.Effect<boolean> {
    const { clock } = this.#state.ports;
    const record: Types.JobRecord = {
      ...job.record,
      state: Types.JobState.Running,
      attempt: attempt.id,
      workers: [...new Set(attempt.workers)],
      updatedAtMs: clock.wallMs(),
    };
    job.record = record;
    const isHoldover = this.#state.lease.isHoldover;
    if (isHoldover && job.shape.repeatable) return Effect.succeed(true);
    return Effect.gen({ self: this }, function* () {
      const saved = yield* Effect.result(this.#state.records.save(record));
      if (saved._tag === "Success") return true;
      if (saved.failure._tag === "StoreUnavailableError") {
        return job.shape.repeatable;
      }
      yield* this.#state.lease.renew();
      return false;
    });
  }

  #abandonStart(
    job: owned.StoredJob,
    attempt: owned.Attempt,
    why: string,
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      if (attempt.isStopping) return;
      attempt.isStopping = true;
      yield* this.#stopIncomplete(job, attempt, why);
    });
  }

  /** Stops the remaining members of an attempt; the job then waits again or ends. */
  #stopIncomplete(
    job: owned.StoredJob,
    attempt: owned.Attempt,
    why: string,
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { id } = job.shape;
      this.#state.ports.log.info(`Stopping all members of job ${id}: ${why}.`);
      const stopped = yield* this.#state.orders.stopAll(
        job.shape,
        attempt,
        true,
      );
      if (job.attempt !== attempt) return;
      const mayHaveRun = stopped.ran ||
        (!stopped.complete && attempt.isStartOrdered);
      if (stopped.results !== null) return this.#complete(job, attempt);
      if (job.shape.repeatable || !mayHaveRun) {
        return this.#requeue(job, { progress: stopped.progress, detail: why });
      }
      yield* this.end(job, endRecord(job, Types.JobState.Unknown, why));
    });
  }

  #requeue(
    job: owned.StoredJob,
    options: { progress: number; detail: string },
  ): void {
    job.attempt = null;
    const nowMs = this.#state.ports.clock.wallMs();
    this.#state.scheduler.requeue(job.shape.id, { ...options, nowMs });
    this.#state.wake();
  }

  /** Stops a preempted job; its claimant starts once the scheduler is updated. */
  #preempt(
    job: owned.OwnedJob,
    claimant: string | null,
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { attempt } = job;
      if (attempt === null || attempt.isStopping) return;
      attempt.isStopping = true;
      const detail = claimant === null
        ? "moved to make a rack whole"
        : `stopped for ${claimant}`;
      this.#state.ports.metrics.count("cairngate_preemptions_total");
      const stopped = yield* this.stopWithRetries(job, attempt);
      if (job.attempt !== attempt) return;
      if (job.kind === "short") return this.releaseShort(job);
      if (stopped.results !== null) {
        stopped.results.forEach((r, rank) => attempt.results.set(rank, r));
        return this.#complete(job, attempt);
      }
      this.#requeue(job, { progress: stopped.progress, detail });
    });
  }

  /** Stops an attempt, with retries while a worker does not answer. */
  stopWithRetries(job: owned.OwnedJob, attempt: owned.Attempt) {
    return Effect.gen({ self: this }, function* () {
      const { orders, ports } = this.#state;
      let stopped = yield* orders.stopAll(job.shape, attempt, true);
      for (let i = 0; i < MAX_STOP_RETRIES && !stopped.complete; i++) {
        yield* ports.clock.sleep(STOP_RETRY_DELAY_MS);
        stopped = yield* orders.stopAll(job.shape, attempt, true);
      }
      return stopped;
    });
  }

  #complete(job: owned.StoredJob, attempt: owned.Attempt): void {
    if (job.isEnding) return;
    const results = [...attempt.results.entries()]
      .sort(([a], [b]) => a - b)
      .map(([, result]) => result);
    const result = job.shape.gang === 1 ? results[0] : results;
    const record = { ...endRecord(job, Types.JobState.Done, null), result };
    const durationMs = this.#state.ports.clock.wallMs() -
      job.shape.submittedAtMs;
    this.#state.ports.metrics.observeMs("cairngate_job_seconds", durationMs);
    this.#state.fork(this.end(job, record));
  }

  #expire(job: owned.OwnedJob): void {
    const why = "its deadline passed while it waited";
    if (job.kind === "stored") {
      const record = endRecord(job, Types.JobState.NotRun, why);
      return this.#state.fork(this.end(job, record));
    }
    this.#state.jobs.delete(job.shape.id);
    if (job.granted === null) return;
    Deferred.doneUnsafe(
      job.granted,
      Effect.succeed(Types.createRefusal(job.shape.id, why, null)),
    );
  }

  #acknowledge(job: owned.StoredJob): void {
    const { attempt } = job;
    attempt?.workers.forEach((worker, rank) => {
      const key = { jobId: job.shape.id, attempt: attempt.id, rank };
      this.#state.links.get(worker)?.acknowledge(key);
    });
  }
}

/** Returns the record of an ended job. */
export function endRecord(
  job: owned.StoredJob,
  state: Types.JobState,
  reason: string | null,
): Types.JobRecord {
  return { ...job.record, state, reason };
}
