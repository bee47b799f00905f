/** Describes the state of a cell for status requests. */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";
import type * as layouts from "./layout.ts";
import type * as schedulers from "./scheduler.ts";

/** Bits of a worker's mask, one per accelerator. */
const MASK_BITS = 8;

/** The part of a cell's status that comes from the scheduler. */
export type CellDescription = Pick<
  Types.CellStatus,
  "racks" | "teams" | "fragmentation" | "waiting" | "running"
>;

/**
 * Describes racks, teams and fragmentation. Each worker of a rack is a text with
 * a character per accelerator: `g` with a guaranteed task, `o` with an
 * opportunistic one, `.` without a task, `x` unavailable.
 */
export function describeCell(
  scheduler: schedulers.Scheduler,
): CellDescription {
  const jobs = [...scheduler.jobs()];
  const waiting = jobs.filter((job) => job.state === Types.JobState.Waiting);
  return {
    racks: scheduler.layout.racks.map((name, rack) => ({
      name,
      workers: renderRack(scheduler, rack),
    })),
    teams: scheduler.layout.teams.map((team) => describeTeam(scheduler, team)),
    fragmentation: Placement.computeFragmentation(scheduler.occupancy.space)
      .map(({ block, value }) => ({ block, value: value ?? 0 })),
    waiting: waiting.length,
    running: jobs.length - waiting.length,
  };
}

function renderRack(scheduler: schedulers.Scheduler, rack: number): string[] {
  const first = rack * Placement.WORKERS_PER_RACK;
  const lines: string[] = [];
  for (let i = 0; i < Placement.WORKERS_PER_RACK; i++) {
    const worker = scheduler.layout.workers[first + i];
    if (worker !== undefined) lines.push(renderWorker(scheduler, worker));
  }
  return lines;
}

function renderWorker(
  scheduler: schedulers.Scheduler,
  worker: layouts.CellWorker,
): string {
  const { occupancy } = scheduler;
  let text = "";
  for (let bit = 0; bit < Math.min(MASK_BITS, worker.accelerators); bit++) {
    const task = occupancy.taskAt(worker.index, bit);
    if (task === null) text += occupancy.isAvailable(worker.index) ? "." : "x";
    else if (task.entitlement === Types.Entitlement.Guaranteed) text += "g";
    else text += "o";
  }
  return text;
}

function describeTeam(
  scheduler: schedulers.Scheduler,
  team: Types.TeamSpec,
): Types.TeamStatus {
  const teamJobs = [...scheduler.jobs()].filter((j) =>
    j.shape.team === team.name
  );
  const guaranteedJobs = teamJobs.filter((j) =>
    j.entitlement === Types.Entitlement.Guaranteed
  );
  const guaranteedCount = team.guarantee.reduce(
    (n, b) => n + b.accelerators * b.count,
    0,
  );
  const usedGuaranteed = guaranteedJobs.reduce((n, j) => n + j.size, 0);
  return {
    team: team.name,
    tier: team.tier,
    guaranteed: guaranteedCount,
    used: scheduler.usedBy(team.name),
    usedGuaranteed,
    reclaimable: guaranteedCount - usedGuaranteed,
    waiting: teamJobs.filter((j) => j.state === Types.JobState.Waiting).length,
    shortfall: teamShortfall(scheduler, team),
  };
}

/** Accelerators of a team's unbound blocks for which there is no room now. */
function teamShortfall(
  scheduler: schedulers.Scheduler,
  team: Types.TeamSpec,
): number {
  const { tracker } = scheduler.occupancy;
  const shortfall = tracker.shortfall();
  const unbound = tracker.unboundOf(team.name);
  let missing = 0;
  shortfall.forEach((count, order) => {
    const blocks = Math.min(count, unbound[order] ?? 0);
    missing += blocks * Placement.sizeOf(order);
  });
  return missing;
}
