/** Whose turn it is among work of one rank, where teams compete. */
import * as Workflow from "@cairngate/workflow";
import * as teamShares from "./team_shares.ts";

/**
 * Nobody is passed over for longer than this share of the time that its objective
 * leaves beside its run: half of it is left for finding a place once its turn has come.
 */
const PASSED_OVER_SHARE = 0.5;

/** Turn of a unit; a lower one comes first. */
export function turnOf(
  unit: Workflow.Unit,
  wallMs: number,
  shares: teamShares.TeamShares,
): number {
  const { spec } = unit.workflow;
  if (mayBePassedOver(unit, wallMs)) {
    return teamShares.levelIn(shares, spec.tenant);
  }
  return teamShares.ShareLevel.Below;
}

/** Whether others may still go first without making a unit miss its objective. */
function mayBePassedOver(unit: Workflow.Unit, wallMs: number): boolean {
  const { spec } = unit.workflow;
  const dueMs = Workflow.dueAtMs(spec, unit.round);
  const allowedMs = Workflow.objectiveAtMs(spec, unit.round) - dueMs;
  const spareMs = Math.max(0, allowedMs - unit.step.estimateMs);
  return wallMs - dueMs < spareMs * PASSED_OVER_SHARE;
}

/** What the order goes by, of one unit. */
export interface Ordered {
  readonly unit: Workflow.Unit;
  readonly rank: number;
  readonly hope: number;
  readonly turn: number;
  readonly objectiveMs: number;
}

/** Units that would have come before others, had nobody had more than others. */
export function passedOver(
  sorted: readonly Ordered[],
): ReadonlySet<Workflow.Unit> {
  const found = new Set<Workflow.Unit>();
  let group: Ordered | null = null;
  /** Latest objective of the lower turns of the group, and of the turn itself. */
  let before = Number.NEGATIVE_INFINITY;
  let own = Number.NEGATIVE_INFINITY;
  for (const one of sorted) {
    const isSameGroup = group?.rank === one.rank && group.hope === one.hope;
    if (!isSameGroup) before = own = Number.NEGATIVE_INFINITY;
    else if (group?.turn !== one.turn) before = Math.max(before, own);
    own = Math.max(own, one.objectiveMs);
    if (one.objectiveMs < before) found.add(one.unit);
    group = one;
  }
  return found;
}
