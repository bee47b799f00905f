/** Weighs the cost of stopping a task by the share of its team. */
import type * as Workflow from "@cairngate/workflow";
import * as teamShares from "./team_shares.ts";

/** A task that could be stopped. */
export interface Victim {
  readonly task: Workflow.Task;
  /** Work that is lost with the task, in core-seconds. */
  readonly loss: number;
}

/** Prefers victims of teams above their share at up to twice the cost of others. */
const ABOVE_SHARE_FACTOR = 0.5;

/**
 * Cost by which victims are chosen, reduced if the team is above its share. Whether an
 * eviction is worthwhile depends on the unweighted loss instead.
 */
export function weighCost(
  { task, loss }: Victim,
  shares: teamShares.TeamShares | null,
): number {
  if (shares === null) return loss;
  const level = teamShares.levelOfTeam(shares, task.workflow.spec.tenant);
  return level === teamShares.ShareLevel.Above
    ? loss * ABOVE_SHARE_FACTOR
    : loss;
}
