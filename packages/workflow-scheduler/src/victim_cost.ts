/** What stopping a task weighs, where teams compete. */
import type * as Workflow from "@cairngate/workflow";
import * as teamShares from "./team_shares.ts";

/** A task that could yield. */
export interface Victim {
  readonly task: Workflow.Task;
  /** What is lost with it, in core-seconds. */
  readonly loss: number;
}

/** Where one victim costs up to twice what another does, shares decide. */
const ABOVE_SHARE_FACTOR = 0.5;

/**
 * Cost by which a victim is chosen: less where its team has had more than its share.
 * Whether a claim is worth it goes by the loss, whoever the victims are.
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
