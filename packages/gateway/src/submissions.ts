/** Accepts, cancels and shows workflows; every answer rests on stored rows. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import type * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as access from "./access.ts";
import type * as desks from "./admission_desk.ts";
import * as cancellation from "./cancellation.ts";
import * as filings from "./known_filings.ts";
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
  readonly desk: desks.AdmissionDesk;
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
const COPY_LOOK_MS = 300;

/** Callers' side of the workflows. */
export class Submissions {
  readonly #rows: workflowRows.WorkflowRows;
  readonly #cancellation: cancellation.Cancellation;
  readonly #waiting: waiting.WaitingCounts;
  readonly #clock: Ports.Clock;
  readonly #rowBytes: number;
  readonly #desk: desks.AdmissionDesk;
  readonly #filings = new filings.KnownFilings();

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
   * @param waitsMs how long the caller still waits for the answer
   */
  accept(
    allowed: access.Access,
    submission: Submission,
    waitsMs?: number,
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
      const rejected = this.#filings.mayHave(id)
        ? null
        : this.#desk.judge(spec);
      return rejected === null
        ? this.#file(spec, waitsMs)
        : this.#rejectUnlessStored(spec, rejected, waitsMs);
    });
  }

  /**
   * Stores a workflow; until it is known to be stored, it may be.
   * @param mayBeStored whether an earlier copy may be stored: that this one was not
   * written proves nothing then
   */
  #file(
    spec: Workflow.WorkflowSpec,
    waitsMs?: number,
    mayBeStored = this.#filings.mayHave(spec.id),
  ): Effect.Effect<void, Errors.StoreUnavailableError> {
    if (!this.#filings.mayHave(spec.id)) this.#desk.noteAccepted(spec);
    const filed = this.#filings.watch(spec.id, this.#rows.file(spec, waitsMs));
    return mayBeStored ? Effect.mapError(filed, withDoubt) : filed;
  }

  /** To reject what is stored already, or may be, would be untrue. */
  #rejectUnlessStored(
    spec: Workflow.WorkflowSpec,
    rejected: Errors.RejectedError,
    waitsMs?: number,
  ): Effect.Effect<void, Errors.RejectedError | Errors.StoreUnavailableError> {
    return Effect.gen({ self: this }, function* () {
      const begunAtMs = this.#clock.monotonicMs();
      const look = this.#rows.look(spec.id, COPY_LOOK_MS);
      const seen = yield* this.#clock.within(COPY_LOOK_MS, look);
      // It was accepted before.
      if (seen !== null && seen.value.found.length > 0) return;
      const isNowhere = seen !== null && seen.value.failure === null &&
        !this.#filings.mayHave(spec.id);
      if (isNowhere) {
        this.#desk.noteRejected(spec, rejected);
        return yield* rejected;
      }
      const tookMs = this.#clock.monotonicMs() - begunAtMs;
      const leftMs = waitsMs === undefined ? undefined : waitsMs - tookMs;
      return yield* this.#file(spec, leftMs, true);
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
      const isOwn = found !== null && isVisible(allowed, found.spec);
      if (!isOwn) return yield* new Errors.UnknownJobError({ jobId: id });
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
  const isOfTenant = spec.tenant === "" || allowed.tenant === spec.tenant ||
    allowed.route.anonymous;
  return isOfQueue && isOfTenant;
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
function withDoubt(
  { operation, cause }: Errors.StoreUnavailableError,
): Errors.StoreUnavailableError {
  return new Errors.StoreUnavailableError({
    operation,
    cause,
    perhapsDone: true,
  });
}
