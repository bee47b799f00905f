/** Dependencies and parameters of a session with an endpoint, shared by its parts. */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import type * as failureLogs from "../endpoints/endpoint_failure_log.ts";
import type * as terms from "../election/term.ts";
import type * as ports from "../ports.ts";
import type * as recoveries from "../work/recovery.ts";
import type * as loads from "./box_load.ts";
import type * as lateStartStops from "./late_start_stops.ts";
import type * as unansweredStarts from "./unanswered_starts.ts";
import type * as listeners from "./session_listener.ts";

/** Dependencies and parameters of a session. */
export interface SessionOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly term: terms.Term;
  readonly listener: listeners.SessionListener;
  readonly recovery: recoveries.Recovery;
  readonly ref: Ports.EndpointRef;
  /** Birth time named by its entry; null if there is none. */
  readonly listedBornMs: number | null;
  /** Unanswered starts, including those of earlier sessions with this endpoint. */
  readonly unansweredStarts: unansweredStarts.UnansweredStarts;
  /** Time of this box's clock by which leases of earlier coordinators have expired. */
  readonly lapsesAtMs: number;
  /** Time until which orders of an earlier session with it may still arrive. */
  readonly previousOrdersUntilMs: number;
  /** Delay of this box; shared by all sessions. */
  readonly load: loads.BoxLoad;
  /** Limits how many endpoints get frequent stops; shared by all sessions. */
  readonly stopRetrySlots: lateStartStops.StopRetrySlots;
  /** Maximum time between two polls at runs that report progress, in ms. */
  readonly progressWaitMs: () => number;
  /** Whether its listing still allows these tasks to run together. */
  readonly mayHold: (tasks: readonly Workflow.Task[]) => boolean;
  /** Data centre of the endpoint; nothing starts there while it is evacuated. */
  readonly dataCentre: string;
  /** Endpoints that are silent or have crashed; shared by all sessions. */
  readonly failureLog: failureLogs.EndpointFailureLog;
  /** Whether another endpoint is known at its address; it has to answer first. */
  readonly isContested: boolean;
  /** Receives each answer of this incarnation: no other one is at its address. */
  readonly onAnswered: (ref: Ports.EndpointRef) => void;
}
