/** States of a task and outcomes of its runs. */

/** State of a task. */
export enum TaskState {
  /** Not placed. */
  Waiting = "waiting",
  /** Placed; the endpoint has not confirmed the start. */
  Starting = "starting",
  Running = "running",
  /** The run was ordered to stop but still occupies its place. */
  Stopping = "stopping",
  Done = "done",
}

/** How a run ended, as its endpoint reports it. */
export enum RunEnd {
  Done = "done",
  /** Failed through a fault of the task or of its endpoint. */
  Failed = "failed",
  Stopped = "stopped",
  /** The endpoint's lease expired. */
  Lapsed = "lapsed",
  /** Another member of the gang ended. */
  GangBroken = "broken",
  /** The other members of the gang did not arrive. */
  GangIncomplete = "alone",
  /** The endpoint is gone or never had the run. */
  Lost = "lost",
  /** The endpoint crashed with the run on it. */
  Crashed = "crashed",
}
