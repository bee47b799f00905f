/** A job as the owner of its cell keeps it beside the scheduler. */
import type * as Errors from "@cairngate/errors";
import type * as Types from "@cairngate/types";
import * as Deferred from "effect/Deferred";

/** One attempt to run a job. */
export interface Attempt {
  readonly id: string;
  readonly slots: readonly Types.Slot[];
  /** Worker names, by rank. */
  readonly workers: readonly string[];
  /** Boot ids of those workers when the attempt was made, by rank. */
  readonly bootIds: readonly (string | null)[];
  /** Whether a worker has reported the attempt. */
  isSeen: boolean;
  /** Whether any member was ordered to start. */
  isStartOrdered: boolean;
  /** Whether it is being stopped by this owner. */
  isStopping: boolean;
  /** Results of finished members, by rank. */
  readonly results: Map<number, unknown>;
}

/** A short job; its box holds the caller and the input. */
export interface ShortJob {
  readonly kind: "short";
  readonly shape: Types.JobShape;
  /** Null for a job that an earlier owner granted. */
  readonly granted:
    | Deferred.Deferred<Types.Grant, Errors.NotOwnerError>
    | null;
  attempt: Attempt | null;
}

/** A stored job. */
export interface StoredJob {
  readonly kind: "stored";
  readonly shape: Types.JobShape;
  record: Types.JobRecord;
  attempt: Attempt | null;
  /** Workers that have to be looked at before it may be placed again. */
  readonly workersToPoll: Set<string>;
  /** Members found on workers during recovery, by attempt. */
  readonly found: Map<string, FoundMember[]>;
  readonly ended: Deferred.Deferred<Types.JobRecord>;
  /** Whether the end is being written. */
  isEnding: boolean;
}

/** A member of a job found on a worker. */
export interface FoundMember {
  readonly worker: number;
  readonly report: Types.TaskReport;
}

/** A job of a cell. */
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

/** Creates an attempt that nobody has seen yet. */
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
