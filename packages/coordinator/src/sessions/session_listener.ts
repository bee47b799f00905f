/** Events that a session with an endpoint reports to the coordinator. */
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import type * as Effect from "effect/Effect";
import type * as failureLogs from "../endpoints/endpoint_failure_log.ts";
import type * as assignments from "./assignment.ts";
import type * as unreportedRuns from "./unreported_runs.ts";
import type * as healths from "../endpoints/endpoint_health.ts";

/** Why a run counts as lost. */
export enum LostCause {
  /** Its endpoint has left, after it was draining or while it still answered. */
  Left = "left",
  LeaseExpired = "lease-out",
  /** The ends of its whole gang show it, and its endpoint does not answer. */
  EndedBeforeGang = "ended-first",
  /** The endpoint answers and does not hold the run. */
  NotHeld = "not-held",
  Refused = "refused",
  InvalidTicket = "invalid-ticket",
  NeverSent = "never-sent",
  NotWanted = "not-wanted",
  /** The listing of the endpoint changed between the plan and the start. */
  NoCapacity = "no-room",
  /** Its data centre was evacuated between the plan and the start. */
  Evacuated = "evacuated",
}

const REASON_OF: Readonly<Record<LostCause, string>> = {
  [LostCause.Left]: "its endpoint has left",
  [LostCause.LeaseExpired]:
    "its lease expired without an answer of its endpoint",
  [LostCause.EndedBeforeGang]:
    "the ends of its gang show that it ended first, and its endpoint is silent",
  [LostCause.NotHeld]: "its endpoint does not hold it",
  [LostCause.Refused]: "its start was refused",
  [LostCause.InvalidTicket]: "its endpoint did not accept its ticket",
  [LostCause.NeverSent]: "its start did not reach the endpoint",
  [LostCause.NotWanted]: "it was no longer needed",
  [LostCause.NoCapacity]: "its endpoint is draining or has too little capacity",
  [LostCause.Evacuated]: "its data centre is being evacuated, or may be",
};

/** Describes a cause for the log. */
export function describeCause(cause: LostCause): string {
  return REASON_OF[cause];
}

/** The end of a run as reported to the coordinator. */
export interface RunEndReport {
  readonly how: Workflow.RunEnd;
  readonly checkpoint: string;
  /** Why it counts as lost; null if it does not. */
  readonly cause: LostCause | null;
  /** Evidence on the cause of a crash. */
  readonly crash?: Workflow.CrashEvidence;
  /**
   * Crashes of earlier incarnations of the endpoint to which copies of the start may
   * have been delivered; omitted if there were none.
   */
  readonly earlierCrashes?: readonly Workflow.CrashEvidence[];
  /** Whether the actual end of a lost run may still be reported. */
  readonly isUnresolved?: boolean;
}

/** The endpoint of a session. */
export interface SessionEndpoint {
  readonly ref: Ports.EndpointRef;
  readonly health: healths.EndpointHealth;
}

/** Receives the events of a session. */
export abstract class SessionListener {
  /** Handles the end of a run; the effect completes when the end is recorded. */
  abstract runEnded(
    endpoint: SessionEndpoint,
    assignment: assignments.Assignment,
    end: RunEndReport,
  ): Effect.Effect<void>;
  /**
   * Handles news of a run that was already over for the session; the effect completes
   * when they are recorded.
   */
  abstract lateEndReported(
    endpoint: SessionEndpoint,
    run: unreportedRuns.UnreportedRun,
    end: RunEndReport,
  ): Effect.Effect<void>;
  /**
   * Handles a run that an endpoint reports as done or failed and the session does not
   * track; the effect completes when that is recorded.
   */
  abstract unexpectedEnd(
    endpoint: SessionEndpoint,
    ended: Ports.EndedRun,
  ): Effect.Effect<void>;
  /**
   * Handles a run that is over and whose endpoint does not answer, where the endpoint
   * is not listed or the task may have crashed it.
   */
  abstract runGone(
    endpoint: SessionEndpoint,
    run: unreportedRuns.UnreportedRun,
  ): void;
  /** Handles crashes that were part of a larger outage than known when counted. */
  abstract crashExcused(
    affectedRuns: readonly failureLogs.AffectedRun[],
    scale: Workflow.CrashScale,
  ): void;
  /**
   * Handles a new incarnation under the endpoint's id, which invalidates what was
   * known of the endpoint.
   */
  abstract incarnationStarted(endpoint: SessionEndpoint): void;
  /** Handles the confirmation that the endpoint holds a run. */
  abstract runConfirmed(assignment: assignments.Assignment): void;
  /**
   * Handles a run that an endpoint holds or reports as ended and that the session does
   * not track.
   */
  abstract untrackedRunReported(run: Ports.RunRef): void;
  /** Handles a change of the capacity or the reachability of the endpoint. */
  abstract capacityChanged(): void;
}

const END_OF_KIND: Readonly<Record<Ports.EndKind, Workflow.RunEnd>> = {
  done: Workflow.RunEnd.Done,
  failed: Workflow.RunEnd.Failed,
  stopped: Workflow.RunEnd.Stopped,
  lapsed: Workflow.RunEnd.Lapsed,
  broken: Workflow.RunEnd.GangBroken,
  alone: Workflow.RunEnd.GangIncomplete,
};

/** Whether an endpoint has reported this end, so that the run had begun there. */
export function isReportedEnd(how: Workflow.RunEnd): boolean {
  return Object.values(END_OF_KIND).includes(how);
}

/** Converts an end as named by endpoints. */
export function toRunEndReport(ended: Ports.EndedRun): RunEndReport {
  const { how, checkpoint } = ended;
  return { how: END_OF_KIND[how], checkpoint, cause: null };
}

/** Creates the end of a run that does not run anywhere any more. */
export function lost(cause: LostCause): RunEndReport {
  const isUnresolved = cause === LostCause.EndedBeforeGang;
  return {
    how: Workflow.RunEnd.Lost,
    checkpoint: "",
    cause,
    isUnresolved,
  };
}

/** Creates the end of a run whose endpoint has crashed. */
export function crashed(crash: Workflow.CrashEvidence): RunEndReport {
  const how = Workflow.RunEnd.Crashed;
  return { how, checkpoint: "", cause: null, crash };
}
