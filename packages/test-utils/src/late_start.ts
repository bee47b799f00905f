/** A start that is still to be delivered after its run has completed. */
import * as StandIns from "@cairngate/stand-ins";
import * as fleets from "./test_fleet.ts";

const { Delivered, Late } = StandIns.OrderOutcome;

/**
 * Submits a task whose first start is late, and waits until the second one has completed
 * it. Returns the time at which the first one is delivered.
 */
export async function completeBeforeLateStart(
  fleet: fleets.TestFleet,
  { id, runMs }: { readonly id: string; readonly runMs: number },
): Promise<number> {
  const { workers, clock } = fleet;
  workers.behave = () => ({ runMs, fails: false });
  const sentAtMs: number[] = [];
  workers.decideOutcome = (_, order) => {
    if (order !== "start") return Delivered;
    sentAtMs.push(clock.monotonicMs());
    return sentAtMs.length === 1 ? Late : Delivered;
  };
  await fleet.submit("node-1", id, {
    steps: [fleets.buildStep({ estimateMs: runMs })],
  });
  await fleet.until(() =>
    workers.runs.some(({ acknowledgedAtMs }) => acknowledgedAtMs !== null)
  );
  return sentAtMs[0] + workers.lateMs;
}
