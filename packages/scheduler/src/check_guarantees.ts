/** Checks that the guarantees of a configuration can all be met at once. */
import * as Errors from "@cairngate/errors";
import * as Placement from "@cairngate/placement";
import type * as Types from "@cairngate/types";
import * as layouts from "./layout.ts";

/** Lists the guaranteed blocks of the teams by team and order. */
export function listDemands(
  teams: readonly Types.TeamSpec[],
): Placement.GuaranteeDemand[] {
  return teams.flatMap((team) =>
    team.guarantee.map((block) => ({
      team: team.name,
      order: Placement.orderOf(block.accelerators),
      count: block.count,
    }))
  );
}

/** Null if all guarantees of a cell fit at once, else an error on the largest block. */
export function checkGuarantees(
  layout: layouts.CellLayout,
): Errors.InfeasibleGuaranteeError | null {
  const tracker = new Placement.GuaranteeTracker(
    layout.racks.length,
    listDemands(layout.teams),
  );
  markMissing(layout, tracker);
  const shortfall = tracker.shortfall();
  const order = shortfall.findLastIndex((missing) => missing > 0);
  if (order < 0) return null;
  return describeShortfall(layout, { order, missing: shortfall[order] });
}

/** Marks the accelerators that racks of the cell lack as unavailable. */
export function markMissing(
  layout: layouts.CellLayout,
  tracker: Placement.GuaranteeTracker,
): void {
  layout.workers.forEach((worker, index) => {
    const missing = missingMask(worker);
    if (missing !== 0) tracker.mark(index, missing);
  });
}

/** Mask of the accelerators that a rack position lacks; full without a worker. */
export function missingMask(worker: Types.WorkerSpec | undefined): number {
  if (worker === undefined) return Placement.FULL_MASK;
  return Placement.FULL_MASK & ~((1 << worker.accelerators) - 1);
}

function describeShortfall(
  layout: layouts.CellLayout,
  shortfall: { order: number; missing: number },
): Errors.InfeasibleGuaranteeError {
  const block = Placement.sizeOf(shortfall.order);
  const affectedTeams = layout.teams.filter((team) =>
    team.guarantee.some((b) => b.accelerators === block)
  );
  const total = affectedTeams.flatMap((t) => t.guarantee)
    .filter((b) => b.accelerators === block)
    .reduce((sum, b) => sum + b.count, 0);
  return new Errors.InfeasibleGuaranteeError({
    team: affectedTeams.at(-1)?.name ?? "?",
    block,
    missing: shortfall.missing,
    wouldFit: `${total - shortfall.missing} of ${total} blocks of ${block}`,
  });
}
