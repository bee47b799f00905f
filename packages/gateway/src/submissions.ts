/** Accepts, cancels and shows workflows; every response is based on stored rows. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import type * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as access from "./access.ts";
import type * as admission from "./admission_controller.ts";
import * as cancelMarks from "./cancel_marks.ts";
import * as cancellation from "./cancellation.ts";
import * as recentWrites from "./recent_writes.ts";
import * as storedChecks from "./stored_check.ts";
import * as waiting from "./waiting_counts.ts";
import * as workflowRows from "./workflow_rows.ts";

/** A workflow as a caller submits it, after decoding. */
export interface Submission {
  readonly id: string;
  readonly payload: string;
  readonly steps: readonly Workflow.StepSpec[];
  readonly schedule: Workflow.Schedule | null;
}

/** Options of Submissions. */
export interface SubmissionOptions {
  readonly store: TableClient.StoreClient;
  readonly clock: Ports.Clock;
  /** Maximum size of one row's value, in bytes. */
  readonly rowBytes: number;
  /** Rejects workflows that can't finish in time under hard load. */
  readonly admission: admission.AdmissionController;
}

/** State of a workflow for operators, regardless of its team. */
export interface WorkflowStatus {
  readonly state: Workflow.WorkflowState;
  /** Why it was given up; null where it was not. */
  readonly giveUp: Workflow.GiveUp | null;
}

/** Room in a row for other data than the workflow, in bytes. */
const ROW_OVERHEAD_BYTES = 1000;
/** Carries out the workflow requests of callers. */
export class Submissions {
  readonly #rows: workflowRows.WorkflowRows;
  readonly #cancellation: cancellation.Cancellation;
  readonly #waiting: waiting.WaitingCounts;
  readonly #clock: Ports.Clock;
  readonly #rowBytes: number;
  readonly #admission: admission.AdmissionController;
  readonly #writes = new recentWrites.RecentWrites();
  readonly #storedCheck: storedChecks.StoredCheck;

  constructor(options: SubmissionOptions) {
    this.#rowBytes = options.rowBytes;
    this.#admission = options.admission;
    this.#rows = new workflowRows.WorkflowRows(options);
    const { clock } = options;
    this.#cancellation = new cancellation.Cancellation({
      rows: this.#rows,
      marks: new cancelMarks.CancelMarks(options),
      clock,
    });
    this.#waiting = new waiting.WaitingCounts(options);
    this.#storedCheck = new storedChecks.StoredCheck({
      rows: this.#rows,
      clock,
      writes: this.#writes,
    });
    this.#clock = clock;
  }

  /**
   * Stores a workflow; the same id again changes nothing. An error without
   * `perhapsDone` proves that it is not stored. A workflow that can't finish in time
   * is rejected: it is not stored, and this box has sent no write of it.
   * @param callerWaitMs how long the caller still waits for the response, in ms
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
    const fault = Workflow.findInvalidField(steps, schedule);
    if (fault !== null) return Effect.fail(new Errors.BadRequestError(fault));
    const spec: Workflow.WorkflowSpec = {
      id,
      tenant: allowed.team,
      policy: policyOf(allowed.route),
      configVersion: allowed.configVersion,
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
      const rejected = this.#writes.mayBeStored(id)
        ? null
        : this.#admission.checkAdmission(spec);
      return rejected === null
        ? this.#insert(spec, callerWaitMs)
        : this.#rejectUnlessStored(spec, rejected, callerWaitMs);
    });
  }

  /**
   * Stores a workflow. From here on it counts as possibly stored, unless the write
   * provably fails.
   * @param mayBeStored whether an earlier copy may be stored: then a failure of this
   * write does not prove that the workflow is not stored
   */
  #insert(
    spec: Workflow.WorkflowSpec,
    callerWaitMs?: number,
    mayBeStored = this.#writes.mayBeStored(spec.id),
  ): Effect.Effect<void, Errors.StoreUnavailableError> {
    if (!this.#writes.mayBeStored(spec.id)) this.#admission.noteAccepted(spec);
    const inserted = this.#writes.track(
      spec.id,
      this.#rows.insert(spec, callerWaitMs),
    );
    return mayBeStored ? Effect.mapError(inserted, asPerhapsDone) : inserted;
  }

  /** Rejects a workflow only if it is provably not stored; otherwise accepts it. */
  #rejectUnlessStored(
    spec: Workflow.WorkflowSpec,
    rejected: Errors.RejectedError,
    callerWaitMs?: number,
  ): Effect.Effect<void, Errors.RejectedError | Errors.StoreUnavailableError> {
    if (rejected.reason === Errors.RejectReason.NoMemory) {
      return this.#rejectForMemory(spec, rejected);
    }
    return Effect.gen({ self: this }, function* () {
      const startMs = this.#clock.monotonicMs();
      const presence = yield* this.#storedCheck.find(spec.id);
      if (presence === storedChecks.Presence.Stored) return;
      if (presence === storedChecks.Presence.Absent) {
        this.#admission.noteRejected(spec, rejected);
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
   * Rejects a workflow only if it is provably not stored; otherwise it stays open
   * whether it is. Accepting it could end the coordinator.
   */
  #rejectForMemory(
    spec: Workflow.WorkflowSpec,
    rejected: Errors.RejectedError,
  ): Effect.Effect<void, Errors.RejectedError | Errors.StoreUnavailableError> {
    return Effect.gen({ self: this }, function* () {
      const presence = yield* this.#storedCheck.findLimited(spec.id);
      if (presence === storedChecks.Presence.Stored) return;
      if (presence === storedChecks.Presence.Unknown) {
        return yield* presenceUnknown();
      }
      this.#admission.noteRejected(spec, rejected);
      return yield* rejected;
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
    return this.#cancellation.cancel(id, scopeOf(allowed));
  }

  /** Returns the state of a workflow, from its rows. */
  state(
    allowed: access.Access,
    id: string,
  ): Effect.Effect<
    Workflow.WorkflowState,
    Errors.UnknownJobError | Errors.StoreUnavailableError
  > {
    return Effect.map(this.#find(allowed, id), stateOf);
  }

  /** Returns the state of a workflow for operators; null where there is none. */
  findStatus(
    id: string,
  ): Effect.Effect<WorkflowStatus | null, Errors.StoreUnavailableError> {
    return Effect.map(this.#rows.find(id), (found) => {
      if (found === null) return null;
      const giveUp = Workflow.decodeGiveUp(found.progress ?? {});
      return { state: stateOf(found), giveUp };
    });
  }

  /** Counts the accepted workflows of a queue that have not begun. */
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
      const isAllowed = found !== null &&
        Workflow.isInScope(scopeOf(allowed), found.spec);
      if (!isAllowed) return yield* new Errors.UnknownJobError({ jobId: id });
      return found;
    });
  }
}

/** Derives the state from the rows; without a progress row nothing has begun. */
function stateOf(
  { progress, isCancelled }: workflowRows.FoundWorkflow,
): Workflow.WorkflowState {
  const state = progress === null
    ? Workflow.WorkflowState.Queued
    : Workflow.visibleStateOf(progress);
  if (Workflow.isFinal(state)) return state;
  return isCancelled || progress?.cancelled === true
    ? Workflow.WorkflowState.Cancelled
    : state;
}

function scopeOf({ route, team }: access.Access): Workflow.CallerScope {
  const { queue, anonymous } = route;
  return { queue, team, anonymous };
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

function presenceUnknown(): Errors.StoreUnavailableError {
  return new Errors.StoreUnavailableError({
    operation: "read",
    cause: "it is not known whether an earlier request was accepted",
    perhapsDone: true,
  });
}

/** Marks a failure as one of a workflow that may be stored nevertheless. */
function asPerhapsDone(
  { operation, cause }: Errors.StoreUnavailableError,
): Errors.StoreUnavailableError {
  return new Errors.StoreUnavailableError({
    operation,
    cause,
    perhapsDone: true,
  });
}
