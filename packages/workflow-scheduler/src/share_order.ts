/** Whose turn it is among work of one rank, where teams compete. */
import * as Workflow from "@cairngate/workflow";
import * as teamShares from "./team_shares.ts";

/**
 * Nobody is passed over for longer than this share of the time that its objective
 * leaves beside its run: half of it is left for finding a place once its turn has come.
 */
const MAX_PASSED_OVER_SHARE = 0.5;

/** Turn of a unit; a lower one comes first. */
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

/** Whether others may still go first without making a unit miss its objective. */
function mayBePassedOver(unit: Workflow.Unit, wallMs: number): boolean {
  const { spec } = unit.workflow;
  const dueMs = Workflow.dueAtMs(spec, unit.round);
  const allowedMs = Workflow.objectiveAtMs(spec, unit.round) - dueMs;
  const slackMs = Math.max(0, allowedMs - unit.step.estimateMs);
  return wallMs - dueMs < slackMs * MAX_PASSED_OVER_SHARE;
}

/** What the order goes by, of one unit. */
export interface SortEntry {
  readonly unit: Workflow.Unit;
  readonly rank: number;
  readonly outcome: number;
  readonly level: number;
  readonly objectiveMs: number;
}

/** Units that would have come before others, had nobody had more than others. */
export function findPassedOver(
  sorted: readonly SortEntry[],
): ReadonlySet<Workflow.Unit> {
  const result = new Set<Workflow.Unit>();
  let last: SortEntry | null = null;
  /** Latest objective of the lower turns of the group, and of the turn itself. */
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
