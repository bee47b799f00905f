/** Orders work and defines which work may stop other work. */
import * as Workflow from "@cairngate/workflow";
import * as shareOrder from "./share_order.ts";
import type * as teamShares from "./team_shares.ts";

/** Rank of work; urgent work may stop work of a higher rank number. */
export enum Rank {
  /** Urgent work within the guarantee of its team. */
  Guaranteed = 0,
  /** Urgent work beyond the guarantee. */
  Urgent = 1,
  /** First rank of all other work, which is ordered by its priority. */
  Ordinary = 2,
}

/** Ranks of all workflows during one plan. */
export class Ranks {
  readonly #guaranteed = new Set<Workflow.Workflow>();

  /** @param guarantees accelerators that each team has paid for */
  constructor(
    workflows: Iterable<Workflow.Workflow>,
    guarantees: ReadonlyMap<string, number>,
  ) {
    const urgent = [...workflows]
      .filter((w) => w.spec.policy.priority === 0 && !w.isOver)
      .sort((a, b) => a.spec.acceptedAtMs - b.spec.acceptedAtMs);
    const used = new Map<string, number>();
    for (const workflow of urgent) {
      const { tenant } = workflow.spec;
      const sum = (used.get(tenant) ?? 0) + acceleratorsOf(workflow);
      used.set(tenant, sum);
      if (sum <= (guarantees.get(tenant) ?? 0)) this.#guaranteed.add(workflow);
    }
  }

  /** Returns the rank of a workflow; ordinary work is ranked by its priority. */
  of(workflow: Workflow.Workflow): number {
    const { priority } = workflow.spec.policy;
    if (priority > 0) return Rank.Ordinary + priority - 1;
    return this.#guaranteed.has(workflow) ? Rank.Guaranteed : Rank.Urgent;
  }

  /** Whether a workflow may stop tasks of another one. */
  mayEvict(claimant: Workflow.Workflow, victim: Workflow.Workflow): boolean {
    if (claimant.spec.policy.priority > 0) return false;
    return this.of(victim) > this.of(claimant);
  }
}

/** Largest number of accelerators that a step of a workflow uses at once. */
export function acceleratorsOf(workflow: Workflow.Workflow): number {
  const acceleratorCounts = workflow.spec.steps.map((s) =>
    s.count * s.accelerators
  );
  return Math.max(0, ...acceleratorCounts);
}

/** Best outcome that a unit can still reach if it starts now. */
export enum Outcome {
  /** It ends by its objective. */
  InTime = 0,
  /** It ends late, but within three times its objective. */
  Late = 1,
  /** It ends too late to count. */
  None = 2,
}

const { LATE_FACTOR } = Workflow;

/** Best outcome of a unit that starts now and runs for the expected time. */
export function outcomeOf(
  unit: Workflow.Unit,
  wallMs: number,
  expectedMs = unit.step.estimateMs,
): Outcome {
  const { spec } = unit.workflow;
  const dueMs = Workflow.dueAtMs(spec, unit.round);
  const allowedMs = Workflow.objectiveAtMs(spec, unit.round) - dueMs;
  const endMs = wallMs - dueMs + expectedMs;
  if (endMs <= allowedMs) return Outcome.InTime;
  return endMs <= allowedMs * LATE_FACTOR ? Outcome.Late : Outcome.None;
}

/** Time until a unit must end to reach an outcome, in ms. */
export function timeToDeadlineMs(
  unit: Workflow.Unit,
  wallMs: number,
  outcome: Outcome,
): number {
  const { spec } = unit.workflow;
  const dueMs = Workflow.dueAtMs(spec, unit.round);
  const allowedMs = Workflow.objectiveAtMs(spec, unit.round) - dueMs;
  const factor = outcome === Outcome.InTime ? 1 : LATE_FACTOR;
  return dueMs + allowedMs * factor - wallMs;
}

/**
 * Time that a unit may still wait without a worse outcome, in ms: until it would miss
 * its objective or, if it already has, until its result would no longer count.
 */
export function slackMs(unit: Workflow.Unit, wallMs: number): number {
  const { spec } = unit.workflow;
  const dueMs = Workflow.dueAtMs(spec, unit.round);
  const allowedMs = Workflow.objectiveAtMs(spec, unit.round) - dueMs;
  const endMs = wallMs - dueMs + unit.step.estimateMs;
  if (endMs <= allowedMs) return allowedMs - endMs;
  return Math.max(0, allowedMs * LATE_FACTOR - endMs);
}

/** Units in the order in which the plan decides on them. */
export interface SortedUnits {
  readonly units: readonly Workflow.Unit[];
  /** Units behind others with a later objective, because their team has used more. */
  readonly passedOver: ReadonlySet<Workflow.Unit>;
}

/** Criteria for the order of units besides their ranks. */
export interface SortContext {
  readonly wallMs: number;
  /** Recent use by team; null unless teams compete. */
  readonly shares: teamShares.TeamShares | null;
  /** Best outcome of a unit; defaults to the outcome by its estimate. */
  readonly bestOutcomeOf?: (unit: Workflow.Unit) => Outcome;
}

/**
 * Orders units by rank, then by the best outcome that they can reach, then, if teams
 * compete, by the level of their team's use, then by the time of their objective.
 */
export function sortUnits(
  units: readonly Workflow.Unit[],
  ranks: Ranks,
  context: SortContext,
): SortedUnits {
  const { wallMs, shares } = context;
  const bestOutcomeOf = context.bestOutcomeOf ??
    ((unit) => outcomeOf(unit, wallMs));
  const keyed = units.map((unit) => ({
    unit,
    rank: ranks.of(unit.workflow),
    outcome: bestOutcomeOf(unit),
    level: shares === null ? 0 : shareOrder.shareLevelOf(unit, wallMs, shares),
    objectiveMs: Workflow.objectiveAtMs(unit.workflow.spec, unit.round),
  }));
  keyed.sort((a, b) =>
    a.rank - b.rank || a.outcome - b.outcome || a.level - b.level ||
    a.objectiveMs - b.objectiveMs || a.unit.stepIndex - b.unit.stepIndex
  );
  return {
    units: keyed.map(({ unit }) => unit),
    passedOver: shares === null ? new Set() : shareOrder.findPassedOver(keyed),
  };
}
