/** Which workflows a caller may see and cancel. */
import type * as spec from "./spec.ts";

/** The queue and the team in whose name a caller acts. */
export interface CallerScope {
  readonly queue: string;
  /** Team; empty without a known key. */
  readonly team: string;
  /** Whether the queue needs no key. */
  readonly anonymous: boolean;
}

/**
 * Whether a caller sees a workflow: those of its team, those submitted anonymously, and
 * all workflows of a queue that needs no key.
 */
export function isInScope(
  { queue, team, anonymous }: CallerScope,
  { tenant, policy }: Pick<spec.WorkflowSpec, "tenant" | "policy">,
): boolean {
  const isOfTeam = tenant === "" || team === tenant || anonymous;
  return policy.queue === queue && isOfTeam;
}
