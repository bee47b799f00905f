/** Who comes first, and who may make whom yield. */
import * as Workflow from "@cairngate/workflow";
import * as shareOrder from "./share_order.ts";
import type * as teamShares from "./team_shares.ts";

/** Rank of work; a lower rank may make a higher one yield. */
export enum Rank {
  /** Urgent work inside its tenant's guarantee. */
  Guaranteed = 0,
  /** Urgent work beyond the guarantee. */
  Urgent = 1,
  /** All other work; its priority follows. */
  Ordinary = 2,
}

/** Knows the ranks of all workflows during one plan. */
export class Ranks {
  readonly #guaranteed = new Set<Workflow.Workflow>();

  /** @param guarantees accelerators that each tenant has paid for */
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

  /** Rank of a workflow; ordinary work is ordered by its priority. */
  of(workflow: Workflow.Workflow): number {
    const { priority } = workflow.spec.policy;
    if (priority > 0) return Rank.Ordinary + priority - 1;
    return this.#guaranteed.has(workflow) ? Rank.Guaranteed : Rank.Urgent;
  }

  /** Whether work of one rank may make another yield. */
  mayEvict(claimant: Workflow.Workflow, victim: Workflow.Workflow): boolean {
    if (claimant.spec.policy.priority > 0) return false;
    return this.of(victim) > this.of(claimant);
  }
}

/** Most accelerators that one step of a workflow uses at once. */
export function acceleratorsOf(workflow: Workflow.Workflow): number {
  const acceleratorCounts = workflow.spec.steps.map((s) =>
    s.count * s.accelerators
  );
  return Math.max(0, ...acceleratorCounts);
}

/** What a unit that starts now can still reach. */
export enum Hope {
  /** It ends by its objective. */
  InTime = 0,
  /** It ends late, but within three times its objective. */
  Late = 1,
  None = 2,
}

const { LATE_FACTOR } = Workflow;

/** What a unit can still reach if it starts now and takes as long as expected. */
export function hopeOf(
  unit: Workflow.Unit,
  wallMs: number,
  expectedMs = unit.step.estimateMs,
): Hope {
  const { spec } = unit.workflow;
  const dueMs = Workflow.dueAtMs(spec, unit.round);
  const allowedMs = Workflow.objectiveAtMs(spec, unit.round) - dueMs;
  const endMs = wallMs - dueMs + expectedMs;
  if (endMs <= allowedMs) return Hope.InTime;
  return endMs <= allowedMs * LATE_FACTOR ? Hope.Late : Hope.None;
}

/** Time that is left until a unit has to have ended to reach so much, in ms. */
export function timeToDeadlineMs(
  unit: Workflow.Unit,
  wallMs: number,
  outcome: Hope,
): number {
  const { spec } = unit.workflow;
  const dueMs = Workflow.dueAtMs(spec, unit.round);
  const allowedMs = Workflow.objectiveAtMs(spec, unit.round) - dueMs;
  const factor = outcome === Hope.InTime ? 1 : LATE_FACTOR;
  return dueMs + allowedMs * factor - wallMs;
}

/**
 * Time that a unit may still wait without reaching less: until it would miss its
 * objective, or, where it has, the time after which its end is of no use.
 */
export function slackMs(unit: Workflow.Unit, wallMs: number): number {
  const { spec } = unit.workflow;
  const dueMs = Workflow.dueAtMs(spec, unit.round);
  const allowedMs = Workflow.objectiveAtMs(spec, unit.round) - dueMs;
  const endMs = wallMs - dueMs + unit.step.estimateMs;
  if (endMs <= allowedMs) return allowedMs - endMs;
  return Math.max(0, allowedMs * LATE_FACTOR - endMs);
}

/** Units in the order in which they are decided for. */
export interface SortedUnits {
  readonly units: readonly Workflow.Unit[];
  /** Those behind others with a later objective, as their teams have had more. */
  readonly passedOver: ReadonlySet<Workflow.Unit>;
}

/** What units are ordered by beside their ranks. */
export interface SortContext {
  readonly wallMs: number;
  /** Null where shares do not count. */
  readonly shares: teamShares.TeamShares | null;
  /** What a unit can still reach; left out: by its estimate. */
  readonly hopeOf?: (unit: Workflow.Unit) => Hope;
}

/**
 * Orders units: rank first, then what they can still reach, then, where teams
 * compete, whose turn it is, then the time by which they should end.
 */
export function sortUnits(
  units: readonly Workflow.Unit[],
  ranks: Ranks,
  context: SortContext,
): SortedUnits {
  const { wallMs, shares } = context;
  const outcomeOf = context.hopeOf ?? ((unit) => hopeOf(unit, wallMs));
  const keyed = units.map((unit) => ({
    unit,
    rank: ranks.of(unit.workflow),
    outcome: outcomeOf(unit),
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
