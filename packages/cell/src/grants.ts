/** Placement of short jobs at the request of the boxes of their callers. */
import * as Errors from "@cairngate/errors";
import * as Types from "@cairngate/types";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as states from "./cell_state.ts";
import type * as runners from "./job_runner.ts";

const MAX_RETRY_AFTER_S = 30;
/** Each such number of jobs in the cell adds a second to the retry time. */
const JOBS_PER_RETRY_SECOND = 50;

/** Grants places to short jobs and releases them. */
export class Grants {
  readonly #state: states.CellState;
  readonly #runner: runners.JobRunner;

  constructor(state: states.CellState, runner: runners.JobRunner) {
    this.#state = state;
    this.#runner = runner;
  }

  /**
   * Places a short job. Returns a grant, or a refusal if the team has too many
   * waiting jobs or no place becomes free within `req.waitMs`.
   */
  place(
    req: Types.Place,
  ): Effect.Effect<Types.Grant, Errors.NotOwnerError> {
    return Effect.gen({ self: this }, function* () {
      const { clock, metrics } = this.#state.ports;
      const refusal = this.#refuseOverload(req.shape);
      if (refusal !== null) return refusal;
      yield* this.#stopEarlier(req.shape.id);
      const granted = Deferred.makeUnsafe<Types.Grant, Errors.NotOwnerError>();
      const kind = "short" as const;
      const { shape } = req;
      this.#state.jobs.set(shape.id, { kind, shape, granted, attempt: null });
      this.#state.scheduler.submit(shape, { nowMs: clock.wallMs() });
      this.#state.wake();
      const startMs = clock.monotonicMs();
      const timed = yield* clock.within(req.waitMs, Deferred.await(granted))
        .pipe(Effect.onInterrupt(() => this.withdraw(shape.id)));
      metrics.observeMs(
        "cairngate_decision_wait_seconds",
        clock.monotonicMs() - startMs,
      );
      if (timed !== null) return timed.value;
      yield* this.withdraw(shape.id);
      const why = "no place became free in time";
      return Types.createRefusal(shape.id, why, this.#retryAfter());
    });
  }

  /** Removes a waiting short job. */
  withdraw(jobId: string): Effect.Effect<void> {
    return Effect.sync(() => {
      const job = this.#state.jobs.get(jobId);
      // The job runner revokes a granted attempt that is not dispatched in time.
      if (job?.kind !== "short" || job.attempt !== null) return;
      this.#state.scheduler.cancel(jobId);
      this.#state.jobs.delete(jobId);
      this.#state.wake();
    });
  }

  /**
   * Releases the place of a granted attempt. If its end is uncertain, the
   * attempt is stopped first, and the reply says whether it had run.
   */
  release(req: Types.Released): Effect.Effect<Types.ReleasedReply> {
    return Effect.gen({ self: this }, function* () {
      const job = this.#state.jobs.get(req.jobId);
      const isCurrent = job?.kind === "short" &&
        job.attempt?.id === req.attempt;
      if (!req.uncertain) {
        if (isCurrent) this.#runner.releaseShort(job);
        return { ran: req.ran, finished: false, result: null };
      }
      if (!isCurrent || job.attempt === null) {
        return { ran: null, finished: false, result: null };
      }
      const { attempt } = job;
      attempt.isStopping = true;
      const stopped = yield* this.#runner.stopWithRetries(job, attempt);
      if (job.attempt === attempt) this.#runner.releaseShort(job);
      if (!stopped.complete) {
        return { ran: null, finished: false, result: null };
      }
      const finished = stopped.results !== null;
      const result = stopped.results?.[0] ?? null;
      return { ran: stopped.ran, finished, result };
    });
  }

  /**
   * Fails all pending requests with `NotOwnerError` after the ownership was
   * lost; the boxes then ask the next owner.
   */
  refuseAll(): void {
    const { cell, epoch } = this.#state.lease;
    for (const job of this.#state.jobs.values()) {
      if (job.kind !== "short" || job.granted === null) continue;
      Deferred.doneUnsafe(
        job.granted,
        Effect.fail(new Errors.NotOwnerError({ cell, epoch })),
      );
    }
  }

  /** Stops an earlier attempt, which its box abandoned by asking again. */
  #stopEarlier(jobId: string): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const job = this.#state.jobs.get(jobId);
      if (job?.kind !== "short") return;
      const { attempt } = job;
      if (attempt !== null) {
        attempt.isStopping = true;
        yield* this.#runner.stopWithRetries(job, attempt);
      }
      this.#runner.releaseShort(job);
    });
  }

  #refuseOverload(shape: Types.JobShape): Types.Grant | null {
    const { scheduler } = this.#state;
    const team = scheduler.layout.teams.find((t) => t.name === shape.team);
    if (team === undefined) {
      return Types.createRefusal(shape.id, "the team has no cell here", null);
    }
    let waiting = 0;
    for (const job of scheduler.jobs()) {
      if (job.shape.team !== shape.team) continue;
      if (job.state === Types.JobState.Waiting) waiting++;
    }
    if (waiting < team.waitingLimit) return null;
    const why = `${waiting} jobs of the team wait already`;
    return Types.createRefusal(shape.id, why, this.#retryAfter());
  }

  #retryAfter(): number {
    const seconds = 1 + this.#state.jobs.size / JOBS_PER_RETRY_SECOND;
    return Math.min(MAX_RETRY_AFTER_S, Math.ceil(seconds));
  }
}
