/** What a coordinator knows, as plain data for people. */
import type * as Admission from "@cairngate/admission";
import * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import type * as evacuations from "../endpoints/evacuation_book.ts";
import type * as stopBooks from "../load/stop_book.ts";
import type * as directories from "../endpoints/endpoint_directory.ts";
import * as sentences from "./run_sentences.ts";

/** One workflow that has not ended. */
export interface WorkflowDump {
  readonly id: string;
  readonly queue: string;
  readonly tenant: string;
  readonly priority: number;
  readonly state: Workflow.WorkflowState;
  readonly cancelled: boolean;
  /** Tasks by their state. */
  readonly tasks: Readonly<Record<string, number>>;
  /** Why its next tasks wait; null where none does. */
  readonly waitsFor: Scheduler.WaitReason | null;
  /** For how long nothing of them has started, in ms; null where none waits. */
  readonly waitsForMs: number | null;
}

/** What a workflow waits for. */
export interface WaitDump {
  readonly reason: Scheduler.WaitReason;
  /** For how long nothing of the step has started, in ms. */
  readonly forMs: number;
}

/** One worker. */
export interface EndpointDump {
  readonly id: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly usable: boolean;
  /** Speed beside the other endpoints; 1 is the usual one. */
  readonly speed: number;
  readonly runs: readonly string[];
}

/** A data centre in which nothing starts. */
export interface EvacuationDump {
  readonly dataCentre: string;
  /** Time of day at which this box learned of it, in ms since 1970. */
  readonly sinceMs: number;
  /** Runs that go on there. */
  readonly runs: number;
}

/** What teams have paid for beside what there is. */
export interface GuaranteeDump {
  /** Accelerators that all teams together have paid for. */
  readonly paidFor: number;
  /** Accelerators that may be given work now. */
  readonly open: number;
  /** Accelerators that guarantees can not have now. */
  readonly short: number;
}

/** What one team has had, beside what it is entitled to. */
export interface TeamShareDump {
  readonly team: string;
  /** Share of the fleet that it is entitled to, 0 to 1. */
  readonly weight: number;
  /** Share of the fleet that it has lately had, 0 to 1. */
  readonly use: number;
  readonly level: string;
  /** Units of it that wait: tasks, or whole gangs. */
  readonly waiting: number;
}

/** A coordinator's state. */
export interface CoordinatorDump {
  readonly token: number;
  /** How late this box is with its own work, in ms. */
  readonly lateMs: number;
  readonly workflows: readonly WorkflowDump[];
  readonly workers: readonly EndpointDump[];
  readonly evacuations: readonly EvacuationDump[];
  readonly guarantees: GuaranteeDump;
  /** Kinds of hard load that the decisions take into account. */
  readonly hardLoad: Scheduler.HardLoad;
  /** Stops for other work in this term, by what came of them. */
  readonly stops: stopBooks.StopCounts;
  /** What runs of each queue took against their estimates. */
  readonly estimates: readonly Scheduler.EstimateWorth[];
  /** Shares of teams; empty where teams do not compete. */
  readonly teamShares: readonly TeamShareDump[];
  /** Room that boxes admit work by; null without hard load. */
  readonly forecast: Admission.Forecast | null;
}

/** One run for which a workflow was given up. */
export interface RunDump extends Workflow.RunEntry {
  /** The same for people. */
  readonly sentence: string;
}

/** Why a workflow was given up. */
export interface GiveUpDump extends Omit<Workflow.GiveUp, "history"> {
  /** Runs that counted, or might have; null: an earlier version kept none. */
  readonly runs: readonly RunDump[] | null;
  /** More runs may have counted. */
  readonly isPartial: boolean;
}

/** What the rows of one workflow tell. */
export interface WorkflowStory {
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
  const tasks: Record<string, number> = {};
  for (const { state } of workflow.tasks) {
    tasks[state] = (tasks[state] ?? 0) + 1;
  }
  return {
    id,
    queue: policy.queue,
    tenant,
    priority: policy.priority,
    state: workflow.state,
    cancelled: workflow.cancelled,
    tasks,
    waitsFor: wait?.reason ?? null,
    waitsForMs: wait?.forMs ?? null,
  };
}

/** Describes one worker. */
export function describeEndpoint(
  endpoint: Scheduler.WorkerState,
): EndpointDump {
  const { id, dataCentre, rack, usable, speed, occupants } = endpoint;
  const runs = occupants.map(({ name, run }) => `${name}@${run}`);
  return { id, dataCentre, rack, usable, speed, runs };
}

/** Describes the data centres in which nothing starts. */
export function describeEvacuations(
  active: readonly evacuations.Evacuation[],
  directory: directories.EndpointDirectory,
): EvacuationDump[] {
  return active.map((evacuation) => ({
    ...evacuation,
    runs: directory.runsIn(evacuation.dataCentre),
  }));
}

/** Describes what guarantees can have now. */
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

/** Describes what teams have had, those with most beside their share first. */
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
