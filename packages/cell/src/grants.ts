/** Places for short jobs, asked for by the boxes that hold the callers. */
import * as Errors from "@cairngate/errors";
import * as Types from "@cairngate/types";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as states from "./cell_state.ts";
import type * as runners from "./job_runner.ts";

const MAX_RETRY_AFTER_S = 30;
const JOBS_PER_RETRY_SECOND = 50;

/** Grants places and takes them back. */
export class Grants {
  readonly #state: states.CellState;
  readonly #runner: runners.JobRunner;

  constructor(state: states.CellState, runner: runners.JobRunner) {
    this.#state = state;
    this.#runner = runner;
  }

  /** Finds a place for a short job; answers when it is decided. */
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

  /** A job that waits will not be dispatched any more. */
  withdraw(jobId: string): Effect.Effect<void> {
    return Effect.sync(() => {
      const job = this.#state.jobs.get(jobId);
      // A granted attempt is watched, and taken back if it is not dispatched.
      if (job?.kind !== "short" || job.attempt !== null) return;
      this.#state.scheduler.cancel(jobId);
      this.#state.jobs.delete(jobId);
      this.#state.wake();
    });
  }

  /** A granted attempt has ended, or its end is not known. */
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

  /** The cell is lost: every waiting box asks the next owner. */
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

  /** A box that asks again has given its earlier attempt up. */
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
