/** Orders work of one rank by the use of its teams, where teams compete. */
import * as Workflow from "@cairngate/workflow";
import * as teamShares from "./team_shares.ts";

/**
 * Share of its slack for which a unit may be passed over. The rest is left for finding
 * a placement once the unit is no longer passed over.
 */
const MAX_PASSED_OVER_SHARE = 0.5;

/** Level of the unit's team, or the lowest one if it may not be passed over. */
export function shareLevelOf(
  unit: Workflow.Unit,
  wallMs: number,
  shares: teamShares.TeamShares,
): number {
  const { spec } = unit.workflow;
  if (mayBePassedOver(unit, wallMs)) {
    return teamShares.levelOfTeam(shares, spec.tenant);
  }
  return teamShares.ShareLevel.Below;
}

/** Whether other units may go first without making a unit miss its objective. */
function mayBePassedOver(unit: Workflow.Unit, wallMs: number): boolean {
  const { spec } = unit.workflow;
  const dueMs = Workflow.dueAtMs(spec, unit.round);
  const allowedMs = Workflow.objectiveAtMs(spec, unit.round) - dueMs;
  const slackMs = Math.max(0, allowedMs - unit.step.estimateMs);
  return wallMs - dueMs < slackMs * MAX_PASSED_OVER_SHARE;
}

/** Sort keys of one unit. */
export interface SortEntry {
  readonly unit: Workflow.Unit;
  readonly rank: number;
  readonly outcome: number;
  readonly level: number;
  readonly objectiveMs: number;
}

/** Units that would come earlier if the use of teams did not count. */
export function findPassedOver(
  sorted: readonly SortEntry[],
): ReadonlySet<Workflow.Unit> {
  const result = new Set<Workflow.Unit>();
  let last: SortEntry | null = null;
  /** Latest objective among lower levels of the group, and within the level itself. */
  let lowerMs = Number.NEGATIVE_INFINITY;
  let ownMs = Number.NEGATIVE_INFINITY;
  for (const entry of sorted) {
    const isSameGroup = last?.rank === entry.rank &&
      last.outcome === entry.outcome;
    if (!isSameGroup) lowerMs = ownMs = Number.NEGATIVE_INFINITY;
    else if (last?.level !== entry.level) lowerMs = Math.max(lowerMs, ownMs);
    ownMs = Math.max(ownMs, entry.objectiveMs);
    if (entry.objectiveMs < lowerMs) result.add(entry.unit);
    last = entry;
  }
  return result;
}
