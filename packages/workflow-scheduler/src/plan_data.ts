/** What goes into a plan and what comes out of it, as plain data. */
import type * as Workflow from "@cairngate/workflow";
import type * as estimates from "./expected_run.ts";
import type * as fleet from "./fleet.ts";
import type * as hardLoads from "./hard_load.ts";
import type * as slowPlaces from "./slow_place.ts";
import type * as teamShares from "./team_shares.ts";
import type * as reserveSize from "./urgent_room.ts";
import type * as waiting from "./wait_reason.ts";

/** What a plan is made from. */
export interface PlanInput {
  readonly workers: readonly fleet.WorkerState[];
  readonly workflows: Iterable<Workflow.Workflow>;
  /** Accelerators that each tenant has paid for. */
  readonly guarantees: ReadonlyMap<string, number>;
  readonly nowMs: number;
  readonly wallMs: number;
  /** How much slower work runs away from its rack. */
  readonly remotePenalty: number;
  /** Whether the advice for a step lets it run on a worker now. */
  readonly isAdvised: (unit: Workflow.Unit, worker: string) => boolean;
  /** Kinds of hard load that the deployment has; left out: none. */
  readonly hardLoad?: hardLoads.HardLoad;
  /** Time that a stop takes at most, in ms; left out: none. */
  readonly stopMs?: number;
  /** Urgent work of a service as it came lately; left out: none. */
  readonly urgentTraffic?: (service: string) => reserveSize.UrgentTraffic;
  /** What runs of each queue took against their estimates; left out: as estimated. */
  readonly corrections?: estimates.Corrections;
  /** What teams have had; counts only where teams compete. Left out: not known. */
  readonly shares?: teamShares.TeamShares;
}

/** Start these tasks on these workers. */
export interface StartDecision {
  readonly unit: Workflow.Unit;
  /** Worker of each task, in the order of the tasks. */
  readonly workers: readonly string[];
  /** Why urgent work starts where it will be late; left out: it does not. */
  readonly slow?: slowPlaces.SlowReason;
}

/** Stop this task so that a more urgent unit fits. */
export interface StopDecision {
  readonly task: Workflow.Task;
  readonly claimant: Workflow.Unit;
}

/** Decisions of one plan. */
export interface Plan {
  readonly starts: readonly StartDecision[];
  readonly stops: readonly StopDecision[];
  readonly waits: readonly waiting.WaitDecision[];
  /** Endpoints that were left free for urgent work. */
  readonly kept: number;
}
