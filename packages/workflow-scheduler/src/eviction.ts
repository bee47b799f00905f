/** Chooses the tasks to stop so that an urgent unit can be placed. */
import * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";
import type * as rank from "./rank.ts";
import * as stopRules from "./stop_rules.ts";
import type * as teamShares from "./team_shares.ts";
import * as victimCost from "./victim_cost.ts";

/** A placement of a unit and the tasks that have to stop before it can start. */
export interface Eviction {
  readonly places: placement.Placement;
  readonly victims: ReadonlySet<Workflow.Task>;
  /** Sum of the weighted costs by which the victims were chosen. */
  readonly cost: number;
  /** Work that is lost with the victims, in core-seconds, without weights. */
  readonly loss: number;
}

/** Inputs of the search for victims. */
export interface EvictionContext {
  readonly ranks: rank.Ranks;
  readonly nowMs: number;
  readonly wallMs: number;
  /** Cached loss of stopping a task, in core-seconds; valid within one plan. */
  readonly losses: Map<Workflow.Task, number>;
  /** Whether to exclude tasks that were stopped for others too often. */
  readonly sparesOftenStopped: boolean;
  /** Whether this plan already stops a task for another unit, which takes its place. */
  readonly isAlreadyVictim: (task: Workflow.Task) => boolean;
  /** Expected remaining time of a task that has run for `ranMs`, in ms. */
  readonly remainingMs: (task: Workflow.Task, ranMs: number) => number;
  /** Recent use by team; null unless teams compete. */
  readonly shares: teamShares.TeamShares | null;
}

/** Core-seconds that are equivalent to one accelerator-second. */
const ACCELERATOR_WEIGHT = 8;
/** Time for which capacity is unused around a stop and a restart, in ms. */
const RESTART_OVERHEAD_MS = 1000;
/**
 * Loss for stopping a task that has few starts left, in core-seconds. It exceeds the
 * loss of everything else on an endpoint, so such a task is chosen last.
 */
const FEW_STARTS_LOSS = 1e9;
/**
 * Time after its start in which a task with few starts left is never stopped, in ms.
 * A task that crashes its endpoint mostly does so by then (after 10 ms in the users'
 * records), and a start that is stopped earlier does not show whether it would. The
 * limit bounds how long a guarantee waits for such a task.
 */
const FEW_STARTS_PROTECTED_MS = 2000;
/** Most work that a task with checkpoints loses, in ms. */
const MAX_CHECKPOINT_LOSS_MS = 100;

/** Cores that a task of a step uses, with accelerators converted to cores. */
function coreEquivalentsOf(step: Workflow.StepSpec): number {
  return step.cpuMillis / 1000 + ACCELERATOR_WEIGHT * step.accelerators;
}

/** Estimated work of a unit, in core-seconds. */
export function coreSecondsOf({ step, tasks }: Workflow.Unit): number {
  return tasks.length * coreEquivalentsOf(step) * step.estimateMs / 1000;
}

/** Finds the cheapest set of victims; null if no set makes the unit fit. */
export function findEviction(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  context: EvictionContext,
): Eviction | null {
  const near = placement.endpointsNearData(unit, endpoints);
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
 * Frees capacity for one task after another, each on the cheapest endpoint. The cost
 * of an endpoint is computed once and again only after a choice has changed it;
 * otherwise a gang of 32 on 3,000 endpoints would evaluate each endpoint 32 times
 * (`npm run measure -- --plans`).
 */
export function evictAmong(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  context: EvictionContext,
): Eviction | null {
  const chosen = new Set<Workflow.Task>();
  const places: fleet.Endpoint[] = [];
  const assignedCounts = new Map<fleet.Endpoint, number>();
  const optionOf = (endpoint: fleet.Endpoint) => {
    const need = (assignedCounts.get(endpoint) ?? 0) + 1;
    return findVictims({ unit, endpoint, need, chosen }, context);
  };
  const options = new Map(
    endpoints.map((endpoint) => [endpoint, optionOf(endpoint)]),
  );
  let cost = 0;
  let loss = 0;
  while (places.length < unit.tasks.length) {
    const best = findCheapest(options);
    if (best === null) return null;
    const countBefore = chosen.size;
    for (const victim of best.more.tasks) addGroup(chosen, victim);
    cost += best.more.cost;
    loss += best.more.loss;
    assignedCounts.set(
      best.endpoint,
      (assignedCounts.get(best.endpoint) ?? 0) + 1,
    );
    places.push(best.endpoint);
    const newVictims = [...chosen].slice(countBefore);
    const changed = endpoints.filter((endpoint) =>
      endpoint === best.endpoint ||
      newVictims.some((task) => task.endpoint === endpoint.state.id)
    );
    for (const endpoint of changed) options.set(endpoint, optionOf(endpoint));
  }
  return { places, victims: chosen, cost, loss };
}

/** First endpoint of the lowest cost; null if none can be freed. */
function findCheapest(
  options: ReadonlyMap<fleet.Endpoint, Victims | null>,
): { readonly endpoint: fleet.Endpoint; readonly more: Victims } | null {
  let best: { endpoint: fleet.Endpoint; more: Victims } | null = null;
  for (const [endpoint, more] of options) {
    if (more === null) continue;
    if (best === null || more.cost < best.more.cost) best = { endpoint, more };
    if (more.cost === 0) break;
  }
  return best;
}

interface Victims {
  readonly tasks: readonly Workflow.Task[];
  readonly cost: number;
  readonly loss: number;
}

/** Cheapest further victims on one endpoint so that `need` tasks fit. */
function findVictims(
  search: {
    unit: Workflow.Unit;
    endpoint: fleet.Endpoint;
    need: number;
    chosen: ReadonlySet<Workflow.Task>;
  },
  context: EvictionContext,
): Victims | null {
  const { unit, endpoint, need, chosen } = search;
  const free = { ...endpoint.freeAfterStops };
  for (const task of endpoint.state.tasks) {
    if (chosen.has(task)) fleet.addTask(free, task.step);
  }
  if (endpoint.fits(unit, free) >= need) return { tasks: [], cost: 0, loss: 0 };
  const candidates = endpoint.state.tasks
    .filter((task) =>
      !chosen.has(task) && isEvictable(task, context.nowMs) &&
      !context.isAlreadyVictim(task) &&
      !(context.sparesOftenStopped && stopRules.isSpared(groupOf(task))) &&
      context.ranks.mayEvict(unit.workflow, task.workflow)
    )
    .map((task) => ({ task, loss: cachedLossOf(task, context) }))
    .map(({ task, loss }) => ({
      task,
      loss,
      cost: victimCost.weighCost({ task, loss }, context.shares),
    }))
    .sort((a, b) => a.cost - b.cost);
  const picked: Workflow.Task[] = [];
  let cost = 0;
  let loss = 0;
  for (const candidate of candidates) {
    const { task } = candidate;
    const isProtected = task.step.lasting &&
      isStepAtMinimum(task, [...chosen, ...picked]);
    if (isProtected) continue;
    fleet.addTask(free, candidate.task.step);
    picked.push(candidate.task);
    cost += candidate.cost;
    loss += candidate.loss;
    if (endpoint.fits(unit, free) >= need) return { tasks: picked, cost, loss };
  }
  return null;
}

function cachedLossOf(task: Workflow.Task, context: EvictionContext): number {
  const cached = context.losses.get(task);
  if (cached !== undefined) return cached;
  const loss = lossOf(task, context);
  context.losses.set(task, loss);
  return loss;
}

/**
 * Loss of stopping a task and, with it, its gang, in core-seconds: the work since the
 * last checkpoint, plus the whole estimated work if the stop makes it miss its
 * objective. Counting a missed objective for all work, not only for urgent work, earned
 * 0.013, 0.000 and 0.005 more of the value due, in simulations of two heavy loads on
 * 245 endpoints and one on 33 (tools/decisions, 12 seeds).
 */
function lossOf(task: Workflow.Task, context: EvictionContext): number {
  const { step } = task;
  const ranMs = Math.max(0, context.nowMs - task.startedAtMs);
  const lostMs = step.checkpoints
    ? Math.min(ranMs, MAX_CHECKPOINT_LOSS_MS)
    : ranMs;
  const weight = coreEquivalentsOf(step);
  const group = groupOf(task);
  const remainingMs = context.remainingMs(task, ranMs);
  const isMissed = wouldMissByStop(task, { ...context, remainingMs, lostMs });
  const missedWork = isMissed ? weight * step.estimateMs / 1000 : 0;
  const hasFewStartsLeft = group.some((one) =>
    mayCrashEndpoint(one, context.nowMs)
  );
  const fewStartsLoss = hasFewStartsLeft ? FEW_STARTS_LOSS : 0;
  return fewStartsLoss +
    group.length *
      (weight * (lostMs + RESTART_OVERHEAD_MS) / 1000 + missedWork);
}

/** Whether a stop makes a task miss an objective that it would otherwise meet. */
function wouldMissByStop(
  task: Workflow.Task,
  timing: { remainingMs: number; lostMs: number; wallMs: number },
): boolean {
  const objectiveMs = Workflow.objectiveAtMs(task.workflow.spec, task.round);
  const endsMs = timing.wallMs + timing.remainingMs;
  const endsAfterRestartMs = endsMs + timing.lostMs + RESTART_OVERHEAD_MS;
  return endsMs <= objectiveMs && endsAfterRestartMs > objectiveMs;
}

function isEvictable(task: Workflow.Task, nowMs: number): boolean {
  const isProtected = groupOf(task).some((one) =>
    one.isNearStartLimit && nowMs - one.startedAtMs < FEW_STARTS_PROTECTED_MS
  );
  return !isProtected && (task.state === Workflow.TaskState.Starting ||
    task.state === Workflow.TaskState.Running);
}

/** Whether a task has few starts left; long-running lasting tasks are exempt. */
function mayCrashEndpoint(task: Workflow.Task, nowMs: number): boolean {
  return task.isNearStartLimit &&
    !Workflow.isProvenStable(task.step, nowMs - task.startedAtMs);
}

/** Tasks that stop together with a task. */
function groupOf(task: Workflow.Task): readonly Workflow.Task[] {
  return task.step.gang ? task.workflow.siblings(task) : [task];
}

/** Whether a lasting step would lack too many tasks if this one stopped too. */
function isStepAtMinimum(
  task: Workflow.Task,
  chosen: readonly Workflow.Task[],
): boolean {
  const { lasting, mayMiss } = task.step;
  if (!lasting || mayMiss === 0) return false;
  const others = [...task.workflow.groupOf(task).materialized].filter((other) =>
    other !== task
  );
  const available = others.filter((other) =>
    other.state === Workflow.TaskState.Running && !chosen.includes(other)
  );
  return task.step.count - 1 - available.length >= mayMiss;
}

function addGroup(chosen: Set<Workflow.Task>, task: Workflow.Task): void {
  for (const member of groupOf(task)) {
    if (member.isPlaced) chosen.add(member);
  }
}
