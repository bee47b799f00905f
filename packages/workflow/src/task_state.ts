/** Where a task is in its life, and how its runs end. */

/** Where a task is in its life. */
export enum TaskState {
  /** Runs nowhere. */
  Waiting = "waiting",
  /** Has a place; the worker has not confirmed the start. */
  Starting = "starting",
  Running = "running",
  /** Was told to stop; its place is not free yet. */
  Stopping = "stopping",
  Done = "done",
}

/** How a run ended, as its worker tells. */
export enum RunEnd {
  Done = "done",
  /** By its own fault or its worker's. */
  Failed = "failed",
  Stopped = "stopped",
  /** The worker's lease ran out. */
  Lapsed = "lapsed",
  /** Another member of the gang ended. */
  Broken = "broken",
  /** The other members of the gang did not come. */
  Alone = "alone",
  /** The worker is gone or never had the run. */
  Lost = "lost",
  /** The worker has crashed with the run on it. */
  Crashed = "crashed",
}
