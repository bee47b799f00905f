/** What stopping a task weighs, beside what is lost with it, where teams compete. */
import type * as Workflow from "@cairngate/workflow";
import * as rank from "./rank.ts";
import * as teamShares from "./team_shares.ts";

/** A task that could yield. */
export interface Victim {
  readonly task: Workflow.Task;
  /** What is lost with it, in core-seconds. */
  readonly cost: number;
  readonly claimant: Workflow.Workflow;
}

/** Among victims of which one costs up to twice the other, shares decide. */
const ABOVE_FACTOR = 0.5;
/**
 * Work of a team that has had little yields beyond a guarantee only where all else
 * costs far more.
 */
const SPARED_FACTOR = 4;

/** Cost of a victim by what its team has had; its own team's work is not spared. */
export function weighCost(
  { task, cost, claimant }: Victim,
  context: {
    readonly ranks: rank.Ranks;
    readonly shares: teamShares.TeamShares | null;
  },
): number {
  const { shares, ranks } = context;
  if (shares === null) return cost;
  const team = task.workflow.spec.tenant;
  const level = teamShares.levelIn(shares, team);
  if (level === teamShares.ShareLevel.Above) return cost * ABOVE_FACTOR;
  const isSpared = level === teamShares.ShareLevel.Below &&
    team !== claimant.spec.tenant &&
    ranks.of(claimant) !== rank.Rank.Guaranteed;
  return isSpared ? cost * SPARED_FACTOR : cost;
}
