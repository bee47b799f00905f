/**
 * Cancels a workflow for its caller. A coordinator records a start only while no
 * mark of a cancel lies in the partition of that record. So a cancel is
 * acknowledged once its mark lies in each partition that such a record may be
 * in: that of the progress, or before there is one, all that hold the workflow.
 */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as workflowRows from "./workflow_rows.ts";

/**
 * While some partition can't be read, the cancel is sure only once the
 * coordinator has recorded the workflow where this box reads it. In ms: a
 * coordinator that reads the mark does so within two writes of a slow store.
 */
const CONFIRM_TIMEOUT_MS = 2000;
/** Time between two looks for that record, in ms. */
const RETRY_INTERVAL_MS = 150;
/**
 * Longest time of a whole cancel, in ms: callers get an answer well within the
 * 6 s that they wait for one.
 */
const CANCEL_TIMEOUT_MS = 4500;

/**
 * The home is waited for as long as the store's client waits for one call, in
 * ms: where the home holds the progress, one look is enough.
 */
const HOME_READ_TIMEOUT_MS = 1000;

/** What the cancellations need. */
export interface CancellationOptions {
  readonly rows: workflowRows.WorkflowRows;
  readonly clock: Ports.Clock;
}

/** Why a cancel is not acknowledged. */
export type CancelFailure =
  | Errors.UnknownJobError
  | Errors.StoreUnavailableError;

/** Callers' cancels. */
export class Cancellation {
  readonly #rows: workflowRows.WorkflowRows;
  readonly #clock: Ports.Clock;

  constructor({ rows, clock }: CancellationOptions) {
    this.#rows = rows;
    this.#clock = clock;
  }

  /** Cancels a workflow that the caller may see; ends when that is kept. */
  cancel(
    id: string,
    isVisible: (spec: Workflow.WorkflowSpec) => boolean,
  ): Effect.Effect<void, CancelFailure> {
    const attempt = Effect.suspend(() =>
      this.#markUntilConfirmed(id, isVisible)
    );
    return Effect.flatMap(
      this.#clock.within(CANCEL_TIMEOUT_MS, attempt),
      (timed) =>
        timed === null ? unconfirmed("no answer in time") : Effect.void,
    );
  }

  #markUntilConfirmed(
    id: string,
    isVisible: (spec: Workflow.WorkflowSpec) => boolean,
  ): Effect.Effect<void, CancelFailure> {
    const deadlineMs = this.#clock.monotonicMs() + CONFIRM_TIMEOUT_MS;
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        const lookup = yield* this.#rows.lookUp(id, HOME_READ_TIMEOUT_MS);
        const [first] = lookup.copies;
        if (first === undefined && lookup.failure !== null) {
          return yield* lookup.failure;
        }
        if (first === undefined || !isVisible(first.spec)) {
          return yield* new Errors.UnknownJobError({ jobId: id });
        }
        if (yield* this.#markCopies(lookup)) return;
        if (this.#clock.monotonicMs() >= deadlineMs) {
          return yield* unconfirmed("a partition that may hold it is away");
        }
        yield* this.#clock.sleep(RETRY_INTERVAL_MS);
      }
    });
  }

  /** Marks all that was found; tells whether nothing can start after that. */
  #markCopies(
    { copies, failure }: workflowRows.LookupResult,
  ): Effect.Effect<boolean, Errors.StoreUnavailableError> {
    const active = copies.find(({ progress }) => progress !== null);
    if (active !== undefined && isSettled(active)) return Effect.succeed(true);
    const targets = active === undefined ? copies : [active];
    const marked = Effect.forEach(
      targets.filter(({ isCancelled }) => !isCancelled),
      (target) => this.#rows.markCancelled(target),
      { concurrency: "unbounded" },
    );
    const isComplete = active !== undefined || failure === null;
    return Effect.map(
      marked,
      (results) => isComplete && !results.includes(false),
    );
  }
}

/** Whether the record itself says that nothing will start. */
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
