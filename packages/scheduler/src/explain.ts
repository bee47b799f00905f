/** Explains why a job runs, waits or yields. */
import * as Types from "@cairngate/types";
import * as entries from "./job_entry.ts";
import type * as layouts from "./layout.ts";
import type * as reservations from "./reservations.ts";

/** Inputs of an explanation. */
export interface ExplainContext {
  readonly nowMs: number;
  readonly layout: layouts.CellLayout;
  readonly jobs: readonly entries.JobEntry[];
  readonly reservations: reservations.Reservations;
  readonly usedBy: (team: string) => number;
}

/** Number of waiting jobs that an explanation lists. */
const MAX_AHEAD = 5;

/** Explains a job that waits or runs. */
export function explainJob(
  entry: entries.JobEntry,
  context: ExplainContext,
): Types.Explanation {
  const { shape } = entry;
  const isWaiting = entry.state === Types.JobState.Waiting;
  return {
    jobId: shape.id,
    team: shape.team,
    service: shape.service,
    tier: shape.tier,
    state: entry.state,
    accelerators: shape.accelerators,
    gang: shape.gang,
    adjacency: shape.adjacency,
    entitlement: entry.entitlement,
    workers: namesOfWorkers(entry, context.layout),
    waitsFor: listReasons(entry, context),
    ahead: isWaiting ? listAhead(entry, context) : [],
    startsWhen: describeStart(entry, context),
    history: entry.history,
  };
}

function namesOfWorkers(
  entry: entries.JobEntry,
  layout: layouts.CellLayout,
): string[] {
  const names = entry.slots.map((s) => layout.workers[s.worker]?.name ?? "?");
  return [...new Set(names)];
}

function listReasons(
  entry: entries.JobEntry,
  context: ExplainContext,
): Types.Reason[] {
  const atMs = context.nowMs;
  if (entry.state === Types.JobState.Claiming) {
    const names = [...entry.victims].map((v) => v.shape.id).join(", ");
    const detail = `it starts after these jobs have stopped: ${names}`;
    return [{ kind: Types.ReasonKind.WaitsForVictims, atMs, detail }];
  }
  if (entry.state !== Types.JobState.Waiting) return [];
  const quota = quotaReason(entry, context);
  if (quota !== null) return [quota];
  const reasons = [blockReason(entry, context)];
  const ahead = listAhead(entry, context).length;
  if (ahead > 0) {
    const detail = `at least ${ahead} job(s) are ahead in the queue`;
    reasons.push({ kind: Types.ReasonKind.WaitsBehind, atMs, detail });
  }
  return reasons;
}

function quotaReason(
  entry: entries.JobEntry,
  context: ExplainContext,
): Types.Reason | null {
  const team = context.layout.teams.find((t) => t.name === entry.shape.team);
  const quota = team?.quota ?? 0;
  const used = context.usedBy(entry.shape.team);
  if (used + entry.size <= quota) return null;
  const detail = `the team uses ${used} of its quota of ${quota} ` +
    `accelerators and the job needs ${entry.size}`;
  const atMs = context.nowMs;
  return { kind: Types.ReasonKind.WaitsForQuota, atMs, detail };
}

function blockReason(
  entry: entries.JobEntry,
  context: ExplainContext,
): Types.Reason {
  const atMs = context.nowMs;
  const reservation = context.reservations.get(entry.shape.id);
  if (reservation !== undefined) {
    const racks = [...reservation.racks].map((r) => context.layout.racks[r]);
    const detail = `rack(s) ${racks.join(", ")} are reserved for this job`;
    return { kind: Types.ReasonKind.WaitsForReservation, atMs, detail };
  }
  return {
    kind: Types.ReasonKind.WaitsForBlock,
    atMs,
    detail: describeNeed(entry),
  };
}

function describeNeed(entry: entries.JobEntry): string {
  const { gang, accelerators, adjacency, repeatable } = entry.shape;
  // A job that cannot yield must not occupy guaranteed blocks: a claim on the
  // guarantee could not preempt it.
  const where = repeatable ? "" : " outside all guaranteed blocks";
  const members = `${gang} block(s) of ${accelerators}${where}`;
  switch (adjacency) {
    case Types.Adjacency.Worker:
      return `${members} on one worker`;
    case Types.Adjacency.Rack:
      return `${members} in one rack`;
    default:
      return `${members} anywhere`;
  }
}

function listAhead(
  entry: entries.JobEntry,
  context: ExplainContext,
): string[] {
  const rank = Types.rankTier(entry.shape.tier);
  const ahead = context.jobs.filter((other) => {
    if (other.state !== Types.JobState.Waiting || other === entry) return false;
    const otherRank = Types.rankTier(other.shape.tier);
    return otherRank < rank ||
      (otherRank === rank && entries.goesBefore(other, entry));
  });
  ahead.sort((a, b) =>
    Types.rankTier(a.shape.tier) - Types.rankTier(b.shape.tier) ||
    entries.compareOrder(a, b)
  );
  return ahead.slice(0, MAX_AHEAD).map((other) => other.shape.id);
}

function describeStart(
  entry: entries.JobEntry,
  context: ExplainContext,
): string | null {
  if (entry.state === Types.JobState.Claiming) {
    return "as soon as the stopping jobs have saved their progress";
  }
  if (entry.state !== Types.JobState.Waiting) return null;
  const reservation = context.reservations.get(entry.shape.id);
  if (reservation !== undefined) {
    const seconds = Math.ceil((reservation.atMs - context.nowMs) / 1000);
    return `about ${Math.max(0, seconds)} s from now, by the estimates`;
  }
  if (quotaReason(entry, context) !== null) {
    return "when a job of the same team ends or the quota of the team is raised";
  }
  return `when ${describeNeed(entry)} become free`;
}
