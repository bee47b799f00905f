/** What a session with a worker tells the coordinator. */
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import type * as Effect from "effect/Effect";
import type * as silences from "../endpoints/silence_log.ts";
import type * as assignments from "./occupant.ts";
import type * as unreportedRuns from "./unheard_runs.ts";
import type * as healths from "../endpoints/endpoint_health.ts";

/** Why a run counts as lost. */
export enum LostCause {
  /** Its endpoint has gone, and had told so or was still answering. */
  Left = "left",
  LeaseExpired = "lease-out",
  /** The ends of all others of its gang show it, and its endpoint is not heard. */
  EndedBeforeGang = "ended-first",
  /** The endpoint answers and holds no such run. */
  NotHeld = "not-held",
  Refused = "refused",
  NeverSent = "never-sent",
  NotWanted = "not-wanted",
  /** The endpoint's listing changed between the plan and the start. */
  NoRoom = "no-room",
  /** Its data centre was evacuated between the plan and the start. */
  Evacuated = "evacuated",
}

const REASON_OF: Readonly<Record<LostCause, string>> = {
  [LostCause.Left]: "its endpoint has left as announced",
  [LostCause.LeaseExpired]: "its lease ran out unheard",
  [LostCause.EndedBeforeGang]:
    "all others of its gang broke, so it ended first, and its endpoint is not heard",
  [LostCause.NotHeld]: "its endpoint does not hold it",
  [LostCause.Refused]: "its start was refused",
  [LostCause.NeverSent]: "its start did not reach the endpoint",
  [LostCause.NotWanted]: "nobody wants it any more",
  [LostCause.NoRoom]: "its endpoint drains or its room has shrunk",
  [LostCause.Evacuated]: "its data centre is evacuated, or may be by now",
};

/** A cause for the log. */
export function describeCause(cause: LostCause): string {
  return REASON_OF[cause];
}

/** The end of a run, for the coordinator. */
export interface SessionEnd {
  readonly how: Workflow.RunEnd;
  readonly checkpoint: string;
  /** Why it counts as lost; null where it does not. */
  readonly cause: LostCause | null;
  /** Of a crash: what is known of who is to blame. */
  readonly crash?: Workflow.CrashEvidence;
  /** Of a lost run: how it ended may still be told. */
  readonly isOpen?: boolean;
}

/** The worker at which something happened. */
export interface SessionWorker {
  readonly ref: Ports.EndpointRef;
  readonly health: healths.EndpointHealth;
}

/** Told by a session of what happens at its worker. */
export abstract class SessionListener {
  /** A run is over; the effect ends when that is recorded. */
  abstract runEnded(
    worker: SessionWorker,
    assignment: assignments.Occupant,
    end: SessionEnd,
  ): Effect.Effect<void>;
  /**
   * More is known of a run that was over for the session before. The effect ends
   * when that is recorded.
   */
  abstract lateEnd(
    worker: SessionWorker,
    run: unreportedRuns.UnheardRun,
    end: SessionEnd,
  ): Effect.Effect<void>;
  /**
   * An endpoint reports a run as done that the session no longer tracks. The effect
   * ends when that is recorded.
   */
  abstract unexpectedDone(
    worker: SessionWorker,
    ended: Ports.EndedRun,
  ): Effect.Effect<void>;
  /**
   * The endpoint of a run that is over is not heard, and not listed or the task is in
   * doubt.
   */
  abstract runGone(worker: SessionWorker, run: unreportedRuns.UnheardRun): void;
  /** More endpoints crashed at once than was known when these crashes were counted. */
  abstract crashExcused(
    victims: readonly silences.Victim[],
    fellows: Workflow.CrashFellows,
  ): void;
  /** Another life has begun under the endpoint's id: what was known of it is over. */
  abstract lifeBegan(worker: SessionWorker): void;
  /** A run is confirmed to be there. */
  abstract runConfirmed(assignment: assignments.Occupant): void;
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
  const { how, checkpoint } = ended;
  return { how: END_OF_KIND[how], checkpoint, cause: null };
}

/** The end of a run that is nowhere any more. */
export function lost(cause: LostCause): SessionEnd {
  const isOpen = cause === LostCause.EndedBeforeGang;
  return { how: Workflow.RunEnd.Lost, checkpoint: "", cause, isOpen };
}

/** The end of a run whose endpoint has crashed. */
export function crashed(crash: Workflow.CrashEvidence): SessionEnd {
  const how = Workflow.RunEnd.Crashed;
  return { how, checkpoint: "", cause: null, crash };
}
