/** What a session with a worker tells the coordinator. */
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import type * as Effect from "effect/Effect";
import type * as occupants from "./occupant.ts";
import type * as healths from "./worker_health.ts";

/** The end of a run, for the coordinator. */
export interface SessionEnd {
  readonly how: Workflow.RunEnd;
  readonly checkpoint: string;
}

/** The worker at which something happened. */
export interface SessionWorker {
  readonly ref: Ports.WorkerRef;
  readonly health: healths.WorkerHealth;
}

/** Told by a session of what happens at its worker. */
export abstract class SessionListener {
  /** A run is over; the effect ends when that is recorded. */
  abstract runEnded(
    worker: SessionWorker,
    occupant: occupants.Occupant,
    end: SessionEnd,
  ): Effect.Effect<void>;
  /** A run is confirmed to be there. */
  abstract runConfirmed(occupant: occupants.Occupant): void;
  /** The room or the reach of the worker has changed. */
  abstract roomChanged(): void;
}

const END_OF_KIND: Readonly<Record<Ports.EndKind, Workflow.RunEnd>> = {
  done: Workflow.RunEnd.Done,
  failed: Workflow.RunEnd.Failed,
  stopped: Workflow.RunEnd.Stopped,
  lapsed: Workflow.RunEnd.Lapsed,
  broken: Workflow.RunEnd.Broken,
  alone: Workflow.RunEnd.Alone,
};

/** An end in the worker's words, for the coordinator. */
export function toSessionEnd(ended: Ports.EndedRun): SessionEnd {
  return { how: END_OF_KIND[ended.how], checkpoint: ended.checkpoint };
}

/** The end of a run that is nowhere any more. */
export const LOST: SessionEnd = {
  how: Workflow.RunEnd.Lost,
  checkpoint: "",
};
