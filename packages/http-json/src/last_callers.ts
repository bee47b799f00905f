/** Ends the requests that never become complete while a server closes. */
import type * as budgets from "./body_budget.ts";
import type * as connectionLimits from "./connection_limit.ts";

/** Time from the close of a server until bodies that still arrive are refused, in ms. */
const LAST_BODIES_MS = 500;
/** Time from then until connections are closed that wait for their callers, in ms. */
const LAST_CALLERS_MS = 500;

/** Refuses unfinished bodies, then closes the connections that remain, after a while. */
export function giveUpLastCallers(
  bodies: budgets.BodyBudget,
  connections: connectionLimits.ConnectionLimit,
): void {
  setTimeout(() => {
    bodies.evictArriving();
    setTimeout(() => connections.closeWaiting(), LAST_CALLERS_MS);
  }, LAST_BODIES_MS);
}
