/**
 * Cancels workflows for callers. A coordinator records a start only while the
 * partition of that record holds no cancel mark. So a cancel is acknowledged once
 * its mark is stored in each partition that may hold such a record: the one with
 * the progress or, before any progress, all that hold a copy of the workflow.
 *
 * A workflow that no partition holds may still come: the write of its submission may
 * take effect seconds after it was sent. So there is no such workflow only once an early
 * cancel is stored in its home partition, and no partition that was read after that
 * holds it.
 */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as cancelMarks from "./cancel_marks.ts";
import type * as workflowRows from "./workflow_rows.ts";

/**
 * Timeout of the confirmation, in ms. While some partition can't be read, a cancel is
 * confirmed only once the coordinator has recorded progress where this box can read
 * it. A coordinator that reads the mark does so within two writes of a slow store.
 */
const CONFIRM_TIMEOUT_MS = 2000;
/** Time between two lookups of that progress, in ms. */
const RETRY_INTERVAL_MS = 150;
/**
 * Timeout of a whole cancel, in ms: callers get a response well within the 6 s for
 * which they wait.
 */
const CANCEL_TIMEOUT_MS = 4500;

/**
 * Timeout of the read in the home partition, in ms: the same as for one call of the
 * store's client. Where the home holds the progress, no other partition is read.
 */
const HOME_READ_TIMEOUT_MS = 1000;

/** Options of a Cancellation. */
export interface CancellationOptions {
  readonly rows: workflowRows.WorkflowRows;
  readonly marks: cancelMarks.CancelMarks;
  readonly clock: Ports.Clock;
}

/** Why a cancel fails or is not confirmed. */
export type CancelFailure =
  | Errors.UnknownJobError
  | Errors.StoreUnavailableError;

/** Carries out the cancels of callers. */
export class Cancellation {
  readonly #rows: workflowRows.WorkflowRows;
  readonly #marks: cancelMarks.CancelMarks;
  readonly #clock: Ports.Clock;

  constructor({ rows, marks, clock }: CancellationOptions) {
    this.#rows = rows;
    this.#marks = marks;
    this.#clock = clock;
  }

  /** Cancels a workflow in the caller's scope; ends when that is stored. */
  cancel(
    id: string,
    scope: Workflow.CallerScope,
  ): Effect.Effect<void, CancelFailure> {
    const attempt = Effect.suspend(() => this.#markUntilConfirmed(id, scope));
    return Effect.flatMap(
      this.#clock.within(CANCEL_TIMEOUT_MS, attempt),
      (timed) =>
        timed === null ? unconfirmed("no answer in time") : Effect.void,
    );
  }

  #markUntilConfirmed(
    id: string,
    scope: Workflow.CallerScope,
  ): Effect.Effect<void, CancelFailure> {
    const deadlineMs = this.#clock.monotonicMs() + CONFIRM_TIMEOUT_MS;
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        const lookup = yield* this.#lookUp(id, scope);
        const [first] = lookup.copies;
        if (first === undefined && lookup.failure !== null) {
          return yield* lookup.failure;
        }
        const isUnknown = first === undefined
          ? lookup.isMarkedEarly
          : !Workflow.isInScope(scope, first.spec);
        if (isUnknown) return yield* new Errors.UnknownJobError({ jobId: id });
        if (first !== undefined && (yield* this.#markCopies(lookup))) return;
        if (this.#clock.monotonicMs() >= deadlineMs) {
          return yield* unconfirmed(
            "a partition that may hold it is unavailable",
          );
        }
        yield* this.#clock.sleep(RETRY_INTERVAL_MS);
      }
    });
  }

  /**
   * Looks a workflow up. Where its home does not hold it, an early cancel is stored
   * before the other partitions are read.
   */
  #lookUp(id: string, scope: Workflow.CallerScope): Effect.Effect<
    workflowRows.LookupResult & { readonly isMarkedEarly: boolean }
  > {
    let isMarkedEarly = false;
    const onAbsentAtHome = Effect.map(
      this.#marks.markEarly(id, scope),
      (isMarked) => {
        isMarkedEarly = isMarked;
      },
    );
    return Effect.map(
      this.#rows.lookUp(id, HOME_READ_TIMEOUT_MS, onAbsentAtHome),
      (lookup) => ({ ...lookup, isMarkedEarly }),
    );
  }

  /** Marks the copies as cancelled; returns whether no task can start any more. */
  #markCopies(
    { copies, failure }: workflowRows.LookupResult,
  ): Effect.Effect<boolean, Errors.StoreUnavailableError> {
    const active = copies.find(({ progress }) => progress !== null);
    if (active !== undefined && isSettled(active)) return Effect.succeed(true);
    const targets = active === undefined ? copies : [active];
    const marked = Effect.forEach(
      targets.filter(({ isCancelled }) => !isCancelled),
      (target) => this.#marks.markCopy(target),
      { concurrency: "unbounded" },
    );
    const isComplete = active !== undefined || failure === null;
    return Effect.map(
      marked,
      (results) => isComplete && !results.includes(false),
    );
  }
}

/** Whether the progress already rules out further starts. */
function isSettled({ progress }: workflowRows.FoundWorkflow): boolean {
  return progress !== null &&
    (progress.cancelled === true || Workflow.isFinal(progress.state));
}

function unconfirmed(
  cause: string,
): Effect.Effect<never, Errors.StoreUnavailableError> {
  const operation = "cancel";
  return Effect.fail(
    new Errors.StoreUnavailableError({ operation, cause, perhapsDone: true }),
  );
}
