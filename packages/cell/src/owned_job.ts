/** The owner's state of a job, beyond what the scheduler keeps. */
import type * as Errors from "@cairngate/errors";
import type * as Types from "@cairngate/types";
import * as Deferred from "effect/Deferred";

/** One attempt to run a job. */
export interface Attempt {
  readonly id: string;
  readonly slots: readonly Types.Slot[];
  /** Worker names, by rank. */
  readonly workers: readonly string[];
  /** Boot ids of those workers when the attempt was created, by rank. */
  readonly bootIds: readonly (string | null)[];
  /** Whether a worker has reported the attempt. */
  isSeen: boolean;
  /** Whether a start order was sent to any member. */
  isStartOrdered: boolean;
  /** Whether this owner is stopping the attempt. */
  isStopping: boolean;
  /** Results of finished members, by rank. */
  readonly results: Map<number, unknown>;
}

/** A short job. The box of its caller keeps the input and dispatches it. */
export interface ShortJob {
  readonly kind: "short";
  readonly shape: Types.JobShape;
  /** Completes with the decision; null for a job that an earlier owner granted. */
  readonly granted:
    | Deferred.Deferred<Types.Grant, Errors.NotOwnerError>
    | null;
  attempt: Attempt | null;
}

/** A job that is kept as a row of the store. */
export interface StoredJob {
  readonly kind: "stored";
  readonly shape: Types.JobShape;
  record: Types.JobRecord;
  attempt: Attempt | null;
  /**
   * Workers that may still run the job. It isn't placed again before each of
   * them has sent its inventory or is gone.
   */
  readonly workersToPoll: Set<string>;
  /** Members found on workers during recovery, by attempt. */
  readonly found: Map<string, FoundMember[]>;
  readonly ended: Deferred.Deferred<Types.JobRecord>;
  /** Whether the end of the job is being written to the store. */
  isEnding: boolean;
}

/** A member of a job that a worker reported during recovery. */
export interface FoundMember {
  readonly worker: number;
  readonly report: Types.TaskReport;
}

/** A job of an owned cell. */
export type OwnedJob = ShortJob | StoredJob;

/** Creates a stored job from its row. */
export function createStoredJob(record: Types.JobRecord): StoredJob {
  return {
    kind: "stored",
    shape: record.job,
    record,
    attempt: null,
    workersToPoll: new Set(record.workers),
    found: new Map(),
    ended: Deferred.makeUnsafe(),
    isEnding: false,
  };
}

/** Creates an attempt that no worker has reported yet. */
export function createAttempt(
  id: string,
  slots: readonly Types.Slot[],
  places: Pick<Attempt, "workers" | "bootIds">,
): Attempt {
  return {
    id,
    slots,
    ...places,
    isSeen: false,
    isStartOrdered: false,
    isStopping: false,
    results: new Map(),
  };
}
