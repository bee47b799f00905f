/** Chooses what has to yield so that urgent work fits. */
import * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";
import type * as rank from "./rank.ts";
import * as stopRules from "./stop_rules.ts";
import type * as teamShares from "./team_shares.ts";
import * as victims from "./victim_cost.ts";

/** Places for a unit and the tasks that have to stop first. */
export interface Eviction {
  readonly places: placement.Places;
  readonly victims: ReadonlySet<Workflow.Task>;
  readonly cost: number;
}

/** What an eviction needs to know. */
export interface EvictionContext {
  readonly ranks: rank.Ranks;
  readonly nowMs: number;
  readonly wallMs: number;
  /** What stopping each task costs, as far as this plan has worked it out. */
  readonly costs: Map<Workflow.Task, number>;
  /** Whether tasks that were stopped for others often enough are spared. */
  readonly sparesStopped: boolean;
  /** Whether a task stops for another unit already; its room is given away. */
  readonly isTaken: (task: Workflow.Task) => boolean;
  /** Time until the run of a task ends that has run for some time, in ms. */
  readonly leftMs: (task: Workflow.Task, ranMs: number) => number;
  /** What teams have had; null where that does not count. */
  readonly shares: teamShares.TeamShares | null;
}

/** Core-seconds that one accelerator-second counts for. */
const ACCELERATOR_WEIGHT = 8;
/** Time for which a place is of no use around any stop and restart, in ms. */
const RESTART_MS = 1000;
/**
 * Cost of a start of a task that has few left, in core-seconds: more than all that an
 * endpoint runs. Such a task yields only where nothing else can.
 */
const FEW_STARTS_COST = 1e9;
/**
 * Such a task does not yield at all for this time from its start, in ms: if it ends its
 * endpoint, it mostly does so by then (after 10 ms in the users' record), and a start
 * that is cut short tells nothing. A guarantee waits for it no longer.
 */
const FEW_STARTS_KEPT_MS = 2000;
/** Work that a task with checkpoints loses at most, in ms. */
const LOST_WITH_CHECKPOINT_MS = 100;

/** Core-seconds of one second of a task; accelerators count as cores. */
function weightOf(step: Workflow.StepSpec): number {
  return step.cpuMillis / 1000 + ACCELERATOR_WEIGHT * step.accelerators;
}

/** Core-seconds that a unit brings, by its estimate. */
export function workOf({ step, tasks }: Workflow.Unit): number {
  return tasks.length * weightOf(step) * step.estimateMs / 1000;
}

/** Finds the cheapest set of victims; null where even that is not enough. */
export function findEviction(
  unit: Workflow.Unit,
  rooms: readonly fleet.WorkerRoom[],
  context: EvictionContext,
): Eviction | null {
  const near = placement.nearWorkers(unit, rooms);
  if (!placement.wantsOneRack(unit)) return evictAmong(unit, near, context);
  let best: Eviction | null = null;
  for (const rack of placement.groupByRack(near).values()) {
    const found = evictAmong(unit, rack, context);
    if (found !== null && (best === null || found.cost < best.cost)) {
      best = found;
    }
  }
  return best;
}

/**
 * Frees one task's room after another, each where it costs least. What a room costs
 * is worked out once, and again only where a choice has changed it: a gang of 32 on
 * 3,000 endpoints would else look at each of them 32 times
 * (`npm run measure -- --plans`).
 */
export function evictAmong(
  unit: Workflow.Unit,
  rooms: readonly fleet.WorkerRoom[],
  context: EvictionContext,
): Eviction | null {
  const chosen = new Set<Workflow.Task>();
  const places: fleet.WorkerRoom[] = [];
  const taken = new Map<fleet.WorkerRoom, number>();
  const offerOf = (room: fleet.WorkerRoom) => {
    const count = (taken.get(room) ?? 0) + 1;
    return victimsFor({ unit, room, count, chosen }, context);
  };
  const offers = new Map(rooms.map((room) => [room, offerOf(room)]));
  let cost = 0;
  while (places.length < unit.tasks.length) {
    const best = cheapest(offers);
    if (best === null) return null;
    const before = chosen.size;
    for (const victim of best.more.tasks) addGroup(chosen, victim);
    cost += best.more.cost;
    taken.set(best.room, (taken.get(best.room) ?? 0) + 1);
    places.push(best.room);
    const added = [...chosen].slice(before);
    const changed = rooms.filter((room) =>
      room === best.room ||
      added.some((task) => task.worker === room.worker.id)
    );
    for (const room of changed) offers.set(room, offerOf(room));
  }
  return { places, victims: chosen, cost };
}

/** The first of the rooms that cost least; null where none can be freed. */
function cheapest(
  offers: ReadonlyMap<fleet.WorkerRoom, Victims | null>,
): { readonly room: fleet.WorkerRoom; readonly more: Victims } | null {
  let best: { room: fleet.WorkerRoom; more: Victims } | null = null;
  for (const [room, more] of offers) {
    if (more === null) continue;
    if (best === null || more.cost < best.more.cost) best = { room, more };
    if (more.cost === 0) break;
  }
  return best;
}

interface Victims {
  readonly tasks: readonly Workflow.Task[];
  readonly cost: number;
}

/** Cheapest further victims on one worker so that `count` tasks fit. */
function victimsFor(
  search: {
    unit: Workflow.Unit;
    room: fleet.WorkerRoom;
    count: number;
    chosen: ReadonlySet<Workflow.Task>;
  },
  context: EvictionContext,
): Victims | null {
  const { unit, room, count, chosen } = search;
  const amounts = { ...room.soon };
  for (const task of room.worker.occupants) {
    if (chosen.has(task)) fleet.give(amounts, task.step);
  }
  if (room.fits(unit, amounts) >= count) return { tasks: [], cost: 0 };
  const candidates = room.worker.occupants
    .filter((task) =>
      !chosen.has(task) && isEvictable(task, context.nowMs) &&
      !context.isTaken(task) &&
      !(context.sparesStopped && stopRules.isSpared(groupOf(task))) &&
      context.ranks.mayEvict(unit.workflow, task.workflow)
    )
    .map((task) => ({
      task,
      cost: victims.weighCost(
        { cost: knownCost(task, context), task, claimant: unit.workflow },
        context,
      ),
    }))
    .sort((a, b) => a.cost - b.cost);
  const picked: Workflow.Task[] = [];
  let cost = 0;
  for (const candidate of candidates) {
    const { task } = candidate;
    const isKept = task.step.lasting &&
      isNeeded(task, [...chosen, ...picked]);
    if (isKept) continue;
    fleet.give(amounts, candidate.task.step);
    picked.push(candidate.task);
    cost += candidate.cost;
    if (room.fits(unit, amounts) >= count) return { tasks: picked, cost };
  }
  return null;
}

function knownCost(task: Workflow.Task, context: EvictionContext): number {
  const known = context.costs.get(task);
  if (known !== undefined) return known;
  const cost = costOf(task, context);
  context.costs.set(task, cost);
  return cost;
}

/**
 * What is lost when a task, and with it its gang, is stopped: the work since its
 * last checkpoint, and all of its work once more where it would have met its
 * objective and can not any more. Against counting lateness for urgent work alone,
 * plays of two heavy loads on 245 endpoints and one on 33 (tools/decisions, 12
 * seeds) earned 0.013, 0.000 and 0.005 more of what was owed.
 */
function costOf(task: Workflow.Task, context: EvictionContext): number {
  const { step } = task;
  const ranMs = Math.max(0, context.nowMs - task.startedAtMs);
  const lostMs = step.checkpoints
    ? Math.min(ranMs, LOST_WITH_CHECKPOINT_MS)
    : ranMs;
  const weight = weightOf(step);
  const group = groupOf(task);
  const leftMs = context.leftMs(task, ranMs);
  const isMissed = missesByStop(task, { ...context, leftMs, lostMs });
  const missed = isMissed ? weight * step.estimateMs / 1000 : 0;
  const isLast = group.some((one) => mayCrash(one, context.nowMs));
  const last = isLast ? FEW_STARTS_COST : 0;
  return last + group.length * (weight * (lostMs + RESTART_MS) / 1000 + missed);
}

/** Whether a task would end in time, as expected, unless it is stopped now. */
function missesByStop(
  task: Workflow.Task,
  now: { leftMs: number; lostMs: number; wallMs: number },
): boolean {
  const objectiveMs = Workflow.objectiveAtMs(task.workflow.spec, task.round);
  const endsMs = now.wallMs + now.leftMs;
  const endsAgainMs = endsMs + now.lostMs + RESTART_MS;
  return endsMs <= objectiveMs && endsAgainMs > objectiveMs;
}

function isEvictable(task: Workflow.Task, nowMs: number): boolean {
  const isKept = groupOf(task).some((one) =>
    one.hasFewStarts && nowMs - one.startedAtMs < FEW_STARTS_KEPT_MS
  );
  return !isKept && (task.state === Workflow.TaskState.Starting ||
    task.state === Workflow.TaskState.Running);
}

/** Whether a task has few starts left, and has not shown that it needs no more. */
function mayCrash(task: Workflow.Task, nowMs: number): boolean {
  return task.hasFewStarts &&
    !Workflow.isProvenLasting(task.step, nowMs - task.startedAtMs);
}

/** What stops with a task. */
function groupOf(task: Workflow.Task): readonly Workflow.Task[] {
  return task.step.gang ? task.workflow.siblings(task) : [task];
}

/** Whether a lasting step can not miss one more of its tasks. */
function isNeeded(
  task: Workflow.Task,
  chosen: readonly Workflow.Task[],
): boolean {
  const { lasting, mayMiss } = task.step;
  if (!lasting || mayMiss === 0) return false;
  const isAway = (other: Workflow.Task) =>
    chosen.includes(other) || other.state !== Workflow.TaskState.Running;
  const away = task.workflow.siblings(task).filter((other) =>
    other !== task && isAway(other)
  );
  return away.length >= mayMiss;
}

function addGroup(chosen: Set<Workflow.Task>, task: Workflow.Task): void {
  for (const member of groupOf(task)) {
    if (member.isPlaced) chosen.add(member);
  }
}
