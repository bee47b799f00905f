/** Inputs and results of a plan, as plain data. */
import type * as Workflow from "@cairngate/workflow";
import type * as estimates from "./run_estimator.ts";
import type * as fleet from "./fleet.ts";
import type * as hardLoads from "./hard_load.ts";
import type * as slowStarts from "./slow_start.ts";
import type * as teamShares from "./team_shares.ts";
import type * as reserveSize from "./reserve_size.ts";
import type * as waiting from "./wait_reason.ts";

/** Inputs of a plan. */
export interface PlanInput {
  readonly endpoints: readonly fleet.EndpointSnapshot[];
  readonly workflows: Iterable<Workflow.Workflow>;
  /** Accelerators that each team has paid for. */
  readonly guarantees: ReadonlyMap<string, number>;
  readonly nowMs: number;
  readonly wallMs: number;
  /** Factor by which work runs longer away from its rack. */
  readonly remotePenalty: number;
  /** Whether the advice for a unit allows it to run on an endpoint now. */
  readonly isAdvised: (unit: Workflow.Unit, endpoint: string) => boolean;
  /**
   * Whether the advice allows a unit on an endpoint, with or without a valid ticket;
   * defaults to unknown for all.
   */
  readonly isAllowed?: (unit: Workflow.Unit, endpoint: string) => boolean;
  /** Kinds of hard load in the deployment; defaults to none. */
  readonly hardLoad?: hardLoads.HardLoad;
  /** Longest time that a stop takes, in ms; defaults to 0. */
  readonly stopMs?: number;
  /** Recent urgent traffic of a service; defaults to none. */
  readonly urgentTraffic?: (service: string) => reserveSize.UrgentTraffic;
  /** Ratio of run time to estimate, by queue; defaults to 1. */
  readonly corrections?: estimates.Corrections;
  /** Recent use by team; applies only if teams compete. Left out if unknown. */
  readonly shares?: teamShares.TeamShares;
}

/** Starts the tasks of a unit on endpoints. */
export interface StartDecision {
  readonly unit: Workflow.Unit;
  /** Endpoint id of each task, in the order of the tasks. */
  readonly endpointIds: readonly string[];
  /** Why urgent work starts on endpoints where it will be late; left out otherwise. */
  readonly slowReason?: slowStarts.SlowReason;
}

/** Stops a task so that a more urgent unit can be placed. */
export interface StopDecision {
  readonly task: Workflow.Task;
  readonly claimant: Workflow.Unit;
}

/** Decisions of one plan. */
export interface Plan {
  readonly starts: readonly StartDecision[];
  readonly stops: readonly StopDecision[];
  readonly waits: readonly waiting.WaitDecision[];
  /** Number of endpoints reserved for urgent work. */
  readonly reservedCount: number;
}
