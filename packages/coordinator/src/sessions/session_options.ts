/** What a session with an endpoint is given, for all its parts. */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import type * as silences from "../endpoints/silence_log.ts";
import type * as terms from "../election/term.ts";
import type * as ports from "../ports.ts";
import type * as recoveries from "../work/recovery.ts";
import type * as loads from "./box_load.ts";
import type * as unansweredStarts from "./loose_starts.ts";
import type * as listeners from "./session_listener.ts";

/** What a session needs. */
export interface SessionOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly term: terms.Term;
  readonly listener: listeners.SessionListener;
  readonly recovery: recoveries.Recovery;
  readonly ref: Ports.EndpointRef;
  /** Birth that its entry tells; null: none. */
  readonly listedBornMs: number | null;
  /** Unanswered starts, including those of earlier sessions with this endpoint. */
  readonly loose: unansweredStarts.LooseStarts;
  /** Our time by which leases of earlier coordinators have run out. */
  readonly lapsesAtMs: number;
  /** Delay of this box; one for all sessions. */
  readonly load: loads.BoxLoad;
  /** Longest time between two looks at runs that come on, in ms. */
  readonly progressWaitMs: () => number;
  /** Whether its listing still lets it run these tasks together. */
  readonly mayHold: (tasks: readonly Workflow.Task[]) => boolean;
  /** Where it stands; nothing starts there while the operator evacuates it. */
  readonly dataCentre: string;
  /** Which endpoints have fallen silent or crashed; one for all sessions. */
  readonly silences: silences.SilenceLog;
  /** Another endpoint is known at its address: only an answer tells whose it is. */
  readonly isContested: boolean;
  /** Told of each answer of this life: no other one is at its address. */
  readonly onHeard: (ref: Ports.EndpointRef) => void;
}
