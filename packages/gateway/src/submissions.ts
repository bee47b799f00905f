/** Accepts, cancels and shows workflows; every answer rests on stored rows. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import type * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as access from "./access.ts";
import type * as admission from "./admission_desk.ts";
import * as cancellation from "./cancellation.ts";
import * as recentWrites from "./known_filings.ts";
import * as waiting from "./waiting_counts.ts";
import * as workflowRows from "./workflow_rows.ts";

/** What a caller hands in, already in the product's terms. */
export interface Submission {
  readonly id: string;
  readonly payload: string;
  readonly steps: readonly Workflow.StepSpec[];
  readonly schedule: Workflow.Schedule | null;
}

/** What the submissions need. */
export interface SubmissionOptions {
  readonly store: TableClient.StoreClient;
  readonly clock: Ports.Clock;
  /** Most bytes of one row's value. */
  readonly rowBytes: number;
  /** Rejects what surely can't be of use under hard load. */
  readonly desk: admission.AdmissionDesk;
}

/** How a workflow stands, whoever's it is. */
export interface WorkflowStanding {
  readonly state: Workflow.WorkflowState;
  /** Null where it was not given up. */
  readonly giveUp: Workflow.GiveUp | null;
}

/** What a row holds beside the workflow. */
const ROW_OVERHEAD_BYTES = 1000;
/**
 * A look for a stored copy that takes longer is given up, in ms, and the workflow
 * written: a rejection is worth no more of the time that its caller has.
 */
const COPY_LOOKUP_TIMEOUT_MS = 300;

/** Callers' side of the workflows. */
export class Submissions {
  readonly #rows: workflowRows.WorkflowRows;
  readonly #cancellation: cancellation.Cancellation;
  readonly #waiting: waiting.WaitingCounts;
  readonly #clock: Ports.Clock;
  readonly #rowBytes: number;
  readonly #desk: admission.AdmissionDesk;
  readonly #recentWrites = new recentWrites.RecentWrites();

  constructor(options: SubmissionOptions) {
    this.#rowBytes = options.rowBytes;
    this.#desk = options.desk;
    this.#rows = new workflowRows.WorkflowRows(options);
    const { clock } = options;
    this.#cancellation = new cancellation.Cancellation({
      rows: this.#rows,
      clock,
    });
    this.#waiting = new waiting.WaitingCounts(options);
    this.#clock = clock;
  }

  /**
   * Stores a workflow; the same id again changes nothing. An error without
   * `perhapsDone` proves that it is not stored. One that surely can't be of use is
   * rejected: it is not stored, and this box has sent no write of it.
   * @param callerWaitMs how long the caller still waits for the answer
   */
  accept(
    allowed: access.Access,
    submission: Submission,
    callerWaitMs?: number,
  ): Effect.Effect<
    void,
    | Errors.BadRequestError
    | Errors.TooLargeError
    | Errors.RejectedError
    | Errors.StoreUnavailableError
  > {
    const { id, payload, steps, schedule } = submission;
    const fault = Workflow.findStepFault(steps, schedule);
    if (fault !== null) return Effect.fail(new Errors.BadRequestError(fault));
    const spec: Workflow.WorkflowSpec = {
      id,
      tenant: allowed.tenant,
      policy: policyOf(allowed.route),
      payload,
      steps,
      schedule,
      acceptedAtMs: this.#clock.wallMs(),
    };
    const limitBytes = this.#rowBytes - ROW_OVERHEAD_BYTES;
    if (Buffer.byteLength(JSON.stringify(spec)) > limitBytes) {
      const what = "The workflow";
      return Effect.fail(new Errors.TooLargeError({ what, limitBytes }));
    }
    return Effect.suspend(() => {
      const rejected = this.#recentWrites.mayBeStored(id)
        ? null
        : this.#desk.findRejection(spec);
      return rejected === null
        ? this.#insert(spec, callerWaitMs)
        : this.#rejectUnlessStored(spec, rejected, callerWaitMs);
    });
  }

  /**
   * Stores a workflow; until it is known to be stored, it may be.
   * @param mayBeStored whether an earlier copy may be stored: that this one was not
   * written proves nothing then
   */
  #insert(
    spec: Workflow.WorkflowSpec,
    callerWaitMs?: number,
    mayBeStored = this.#recentWrites.mayBeStored(spec.id),
  ): Effect.Effect<void, Errors.StoreUnavailableError> {
    if (!this.#recentWrites.mayBeStored(spec.id)) this.#desk.noteAccepted(spec);
    const inserted = this.#recentWrites.track(
      spec.id,
      this.#rows.insert(spec, callerWaitMs),
    );
    return mayBeStored ? Effect.mapError(inserted, asPerhapsDone) : inserted;
  }

  /** To reject what is stored already, or may be, would be untrue. */
  #rejectUnlessStored(
    spec: Workflow.WorkflowSpec,
    rejected: Errors.RejectedError,
    callerWaitMs?: number,
  ): Effect.Effect<void, Errors.RejectedError | Errors.StoreUnavailableError> {
    return Effect.gen({ self: this }, function* () {
      const startMs = this.#clock.monotonicMs();
      const lookup = this.#rows.lookUp(spec.id, COPY_LOOKUP_TIMEOUT_MS);
      const timed = yield* this.#clock.within(COPY_LOOKUP_TIMEOUT_MS, lookup);
      // It was accepted before.
      if (timed !== null && timed.value.copies.length > 0) return;
      const isNotStored = timed !== null && timed.value.failure === null &&
        !this.#recentWrites.mayBeStored(spec.id);
      if (isNotStored) {
        this.#desk.noteRejected(spec, rejected);
        return yield* rejected;
      }
      const elapsedMs = this.#clock.monotonicMs() - startMs;
      const remainingMs = callerWaitMs === undefined
        ? undefined
        : callerWaitMs - elapsedMs;
      return yield* this.#insert(spec, remainingMs, true);
    });
  }

  /**
   * Cancels a workflow; fails where there is none. An error with `perhapsDone`
   * means that it may be cancelled or not.
   */
  cancel(
    allowed: access.Access,
    id: string,
  ): Effect.Effect<void, cancellation.CancelFailure> {
    return this.#cancellation.cancel(id, (spec) => isVisible(allowed, spec));
  }

  /** The state of a workflow, from its rows. */
  state(
    allowed: access.Access,
    id: string,
  ): Effect.Effect<
    Workflow.WorkflowState,
    Errors.UnknownJobError | Errors.StoreUnavailableError
  > {
    return Effect.map(this.#find(allowed, id), stateOf);
  }

  /** How a workflow stands, for operators; null where there is none. */
  standing(
    id: string,
  ): Effect.Effect<WorkflowStanding | null, Errors.StoreUnavailableError> {
    return Effect.map(this.#rows.find(id), (found) => {
      if (found === null) return null;
      const giveUp = Workflow.readGiveUp(found.progress ?? {});
      return { state: stateOf(found), giveUp };
    });
  }

  /** Accepted workflows of a queue of which nothing has begun. */
  countWaiting(
    allowed: access.Access,
  ): Effect.Effect<number, Errors.StoreUnavailableError> {
    return this.#waiting.of(allowed.route.queue);
  }

  #find(
    allowed: access.Access,
    id: string,
  ): Effect.Effect<
    workflowRows.FoundWorkflow,
    Errors.UnknownJobError | Errors.StoreUnavailableError
  > {
    return Effect.gen({ self: this }, function* () {
      const found = yield* this.#rows.find(id);
      const isAllowed = found !== null && isVisible(allowed, found.spec);
      if (!isAllowed) return yield* new Errors.UnknownJobError({ jobId: id });
      return found;
    });
  }
}

/** The state that the rows show; without a record nothing has begun. */
function stateOf(
  { progress, isCancelled }: workflowRows.FoundWorkflow,
): Workflow.WorkflowState {
  const state = progress?.state ?? Workflow.WorkflowState.Queued;
  if (Workflow.isFinal(state)) return state;
  return isCancelled || progress?.cancelled === true
    ? Workflow.WorkflowState.Cancelled
    : state;
}

/** A tenant sees its own workflows, and those that were handed in openly. */
function isVisible(
  allowed: access.Access,
  spec: Workflow.WorkflowSpec,
): boolean {
  const isOfQueue = spec.policy.queue === allowed.route.queue;
  const isOfTeam = spec.tenant === "" || allowed.tenant === spec.tenant ||
    allowed.route.anonymous;
  return isOfQueue && isOfTeam;
}

function policyOf(route: Ports.QueueRoute): Workflow.QueuePolicy {
  const {
    queue,
    service,
    priority,
    attempts,
    stretch,
    latencyMs,
    advice,
  } = route;
  return { queue, service, priority, attempts, stretch, latencyMs, advice };
}

/** The same failure of a workflow that may be stored all the same. */
function asPerhapsDone(
  { operation, cause }: Errors.StoreUnavailableError,
): Errors.StoreUnavailableError {
  return new Errors.StoreUnavailableError({
    operation,
    cause,
    perhapsDone: true,
  });
}
