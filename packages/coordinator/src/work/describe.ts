/** Converts the state of a coordinator into plain data for the state dump. */
import type * as Admission from "@cairngate/admission";
import * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import type * as evacuations from "../endpoints/evacuation_tracker.ts";
import type * as stopTrackers from "../load/stop_tracker.ts";
import type * as directories from "../endpoints/endpoint_directory.ts";
import * as sentences from "./run_descriptions.ts";

/** A workflow that has not ended. */
export interface WorkflowDump {
  readonly id: string;
  readonly queue: string;
  readonly tenant: string;
  readonly priority: number;
  readonly state: Workflow.WorkflowState;
  readonly cancelled: boolean;
  /** Number of tasks by state. */
  readonly tasks: Readonly<Record<string, number>>;
  /** Why its ready tasks wait; null where none waits. */
  readonly waitsFor: Scheduler.WaitReason | null;
  /** Time for which none of them has started, in ms; null where none waits. */
  readonly waitsForMs: number | null;
}

/** Why a workflow waits, and for how long. */
export interface WaitDump {
  readonly reason: Scheduler.WaitReason;
  /** Time for which nothing of the step has started, in ms. */
  readonly forMs: number;
}

/** An endpoint and the runs that it holds. */
export interface EndpointDump {
  readonly id: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly usable: boolean;
  /** Speed relative to the other endpoints; 1 is typical. */
  readonly speed: number;
  readonly runs: readonly string[];
}

/** A data centre that is being evacuated: no task starts there. */
export interface EvacuationDump {
  readonly dataCentre: string;
  /** Time of day at which this box learned of it, in ms since 1970. */
  readonly sinceMs: number;
  /** Runs still in progress there. */
  readonly runs: number;
}

/** The guarantees of all teams compared with the usable accelerators. */
export interface GuaranteeDump {
  /** Accelerators guaranteed to all teams together. */
  readonly paidFor: number;
  /** Accelerators on which tasks may start now. */
  readonly open: number;
  /** Guaranteed accelerators that are not available now. */
  readonly short: number;
}

/** Recent use of one team compared with its entitlement. */
export interface TeamShareDump {
  readonly team: string;
  /** Share of the fleet to which the team is entitled, 0 to 1. */
  readonly weight: number;
  /** Share of the fleet that the team has used recently, 0 to 1. */
  readonly use: number;
  /** `below`, `within` or `above` its share. */
  readonly level: string;
  /** Number of its waiting units: tasks, or whole gangs. */
  readonly waiting: number;
}

/** State of a coordinator, as in the state dump. */
export interface CoordinatorDump {
  /** Fencing token of the term. */
  readonly token: number;
  /** Median delay of endpoint answers beyond the requested wait, in ms. */
  readonly lateMs: number;
  readonly workflows: readonly WorkflowDump[];
  readonly workers: readonly EndpointDump[];
  readonly evacuations: readonly EvacuationDump[];
  readonly guarantees: GuaranteeDump;
  /** Kinds of hard load that planning takes into account. */
  readonly hardLoad: Scheduler.HardLoad;
  /** Preemptions of this term by their result. */
  readonly stops: stopTrackers.StopCounts;
  /** Ratio of actual to estimated run times by queue. */
  readonly estimates: readonly Scheduler.EstimateAccuracy[];
  /** Shares of teams; empty where teams do not compete. */
  readonly teamShares: readonly TeamShareDump[];
  /** Capacity forecast used for admission; null without hard load. */
  readonly forecast: Admission.Forecast | null;
}

/** A run that counted toward giving a workflow up, or may have. */
export interface RunDump extends Workflow.RunEntry {
  /** The run described in one sentence. */
  readonly sentence: string;
}

/** Why a workflow was given up. */
export interface GiveUpDump extends Omit<Workflow.GiveUp, "history"> {
  /** Runs that counted, or may have; null in records of versions without them. */
  readonly runs: readonly RunDump[] | null;
  /** Whether runs that counted may be missing from the list. */
  readonly isPartial: boolean;
}

/** State of one workflow as stored in its rows. */
export interface WorkflowReport {
  readonly id: string;
  readonly state: Workflow.WorkflowState;
  /** Null where it was not given up. */
  readonly giveUp: GiveUpDump | null;
}

/** Describes why a workflow was given up. */
export function describeGiveUp(giveUp: Workflow.GiveUp): GiveUpDump {
  const { history, ...rest } = giveUp;
  const runs = history?.entries.map((entry) => ({
    ...entry,
    sentence: sentences.describeRun(entry),
  }));
  return {
    ...rest,
    runs: runs ?? null,
    isPartial: history?.isPartial ?? true,
  };
}

/** Describes one workflow. */
export function describeWorkflow(
  workflow: Workflow.Workflow,
  wait: WaitDump | null,
): WorkflowDump {
  const { id, tenant, policy } = workflow.spec;
  return {
    id,
    queue: policy.queue,
    tenant,
    priority: policy.priority,
    state: workflow.visibleState,
    cancelled: workflow.cancelled,
    tasks: workflow.countByState(),
    waitsFor: wait?.reason ?? null,
    waitsForMs: wait?.forMs ?? null,
  };
}

/** Describes one endpoint. */
export function describeEndpoint(
  endpoint: Scheduler.EndpointSnapshot,
): EndpointDump {
  const { id, dataCentre, rack, usable, speed, tasks } = endpoint;
  const runs = tasks.map(({ name, run }) => `${name}@${run}`);
  return { id, dataCentre, rack, usable, speed, runs };
}

/** Describes the data centres that are being evacuated. */
export function describeEvacuations(
  active: readonly evacuations.Evacuation[],
  directory: directories.EndpointDirectory,
): EvacuationDump[] {
  return active.map((evacuation) => ({
    ...evacuation,
    runs: directory.runsIn(evacuation.dataCentre),
  }));
}

/** Compares the guarantees with the open accelerators. */
export function describeGuarantees(
  guarantees: ReadonlyMap<string, number>,
  open: number,
): GuaranteeDump {
  const paidFor = [...guarantees.values()].reduce(
    (sum, count) => sum + count,
    0,
  );
  return { paidFor, open, short: Math.max(0, paidFor - open) };
}

/** Describes the use of teams, highest use relative to entitlement first. */
export function describeShares(
  shares: Scheduler.TeamShares,
  startable: readonly Workflow.Workflow[],
  wallMs: number,
): TeamShareDump[] {
  const waiting = new Map<string, number>();
  for (const workflow of shares.size === 0 ? [] : startable) {
    const { tenant } = workflow.spec;
    const units = workflow.readyUnits(wallMs).length;
    waiting.set(tenant, (waiting.get(tenant) ?? 0) + units);
  }
  return [...shares]
    .sort(([, a], [, b]) => b.use / b.weight - a.use / a.weight)
    .map(([team, { weight, use, level }]) => ({
      team,
      weight,
      use,
      level: Scheduler.ShareLevel[level].toLowerCase(),
      waiting: waiting.get(team) ?? 0,
    }));
}
