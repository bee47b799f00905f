/** Makes a plan: which units start where, and which tasks stop for them. */
import * as Workflow from "@cairngate/workflow";
import * as eviction from "./eviction.ts";
import * as fleet from "./fleet.ts";
import type * as hardLoads from "./hard_load.ts";
import * as isolation from "./isolation.ts";
import * as placement from "./placement.ts";
import * as rank from "./rank.ts";
import * as reservation from "./reservation.ts";
import * as retry from "./retry_pause.ts";
import type * as teamShares from "./team_shares.ts";
import * as waiting from "./wait_reason.ts";

const { WaitReason } = waiting;

/** What a plan is made from. */
export interface PlanInput {
  readonly workers: readonly fleet.WorkerState[];
  readonly workflows: Iterable<Workflow.Workflow>;
  /** Accelerators that each tenant has paid for. */
  readonly guarantees: ReadonlyMap<string, number>;
  readonly nowMs: number;
  readonly wallMs: number;
  /** How much slower work runs away from its rack. */
  readonly remotePenalty: number;
  /** Whether the advice for a step lets it run on a worker now. */
  readonly isAdvised: (unit: Workflow.Unit, worker: string) => boolean;
  /** Kinds of hard load that the deployment has; left out: none. */
  readonly hardLoad?: hardLoads.HardLoad;
  /** What teams have had; counts only where teams compete. Left out: not known. */
  readonly shares?: teamShares.TeamShares;
}

/** Start these tasks on these workers. */
export interface StartDecision {
  readonly unit: Workflow.Unit;
  /** Worker of each task, in the order of the tasks. */
  readonly workers: readonly string[];
}

/** Stop this task so that a more urgent unit fits. */
export interface StopDecision {
  readonly task: Workflow.Task;
  readonly claimant: Workflow.Unit;
}

/** Decisions of one plan. */
export interface Plan {
  readonly starts: readonly StartDecision[];
  readonly stops: readonly StopDecision[];
  readonly waits: readonly waiting.WaitDecision[];
}

/** Decides for all units that are ready. */
export function makePlan(input: PlanInput): Plan {
  return new Planner(input).run();
}

/** Gangs for which room is kept in one plan. */
const MOST_RESERVED = 4;

/** Below this share in use, work waits only briefly for a better place. */
const IDLE_SHARE = 0.55;
const IDLE_WAIT_MS = 2000;

class Planner {
  readonly #input: PlanInput;
  readonly #ranks: rank.Ranks;
  readonly #rooms: readonly fleet.WorkerRoom[];
  readonly #byId: ReadonlyMap<string, fleet.WorkerRoom>;
  readonly #starts: StartDecision[] = [];
  readonly #stops = new Map<Workflow.Task, StopDecision>();
  readonly #waits: waiting.WaitDecision[] = [];
  /** Most of the fleet is free: nothing should wait for a better place. */
  readonly #isIdle: boolean;
  readonly #evictions: eviction.EvictionContext;
  /** Null where shares do not count. */
  readonly #shares: teamShares.TeamShares | null;
  /** Units behind others that come later by their objectives. */
  #passedOver: ReadonlySet<Workflow.Unit> = new Set();
  #reserved = 0;
  /** Steps of which a task found no room; its siblings find none either. */
  readonly #blocked = new Set<readonly Workflow.Task[]>();

  constructor(input: PlanInput) {
    this.#input = input;
    this.#ranks = new rank.Ranks(input.workflows, input.guarantees);
    const { nowMs, wallMs } = input;
    const teamsCompete = input.hardLoad?.teamsCompete === true;
    this.#shares = teamsCompete ? input.shares ?? null : null;
    this.#evictions = {
      ranks: this.#ranks,
      nowMs,
      wallMs,
      costs: new Map(),
      shares: this.#shares,
    };
    this.#rooms = input.workers.map((w) => new fleet.WorkerRoom(w));
    this.#isIdle = fleet.usedShare(this.#rooms) < IDLE_SHARE;
    this.#byId = new Map(this.#rooms.map((r) => [r.worker.id, r]));
  }

  run(): Plan {
    const units: Workflow.Unit[] = [];
    for (const workflow of this.#input.workflows) {
      units.push(...workflow.readyUnits(this.#input.wallMs));
    }
    const ready = units.filter((unit) => !this.#pauses(unit));
    const sorted = rank.sortUnits(ready, this.#ranks, {
      wallMs: this.#input.wallMs,
      shares: this.#shares,
    });
    this.#passedOver = sorted.passedOver;
    for (const some of groupSiblings(sorted.units)) this.#decideAll(some);
    return {
      starts: this.#starts,
      stops: [...this.#stops.values()],
      waits: this.#waits,
    };
  }

  #pauses(unit: Workflow.Unit): boolean {
    if (!retry.mustPause(unit, this.#input)) return false;
    this.#waits.push({ unit, reason: WaitReason.Pause });
    return true;
  }

  /**
   * One search finds places for all single tasks of a step that fit: a search for
   * each of 40 tasks looked at each endpoint 40 times (plan_growth_test.ts).
   */
  #decideAll(units: readonly Workflow.Unit[]): void {
    const [first] = units;
    if (units.length === 1) return this.#decide(first);
    const siblings = first.workflow.siblings(first.tasks[0]);
    if (this.#blocked.has(siblings)) return;
    const all = { ...first, tasks: units.flatMap(({ tasks }) => tasks) };
    const rooms = this.#roomsFor(all);
    const places = this.#findForEach(all, rooms);
    places.forEach((room, i) => this.#start(units[i], [room]));
    for (const unit of units.slice(places.length)) {
      this.#decideWithoutRoom(unit, rooms);
      if (this.#blocked.has(siblings)) return;
    }
  }

  /** Near their data first; elsewhere only where waiting does not pay. */
  #findForEach(
    all: Workflow.Unit,
    rooms: readonly fleet.WorkerRoom[],
  ): placement.Places {
    const near = placement.nearWorkers(all, rooms);
    const places = placement.findForEach(all, near, placement.freeNow);
    const isFull = places.length === all.tasks.length;
    if (isFull || near === rooms) return places;
    const one = { ...all, tasks: all.tasks.slice(0, 1) };
    if (this.#shouldStayNear(one, rooms)) return places;
    const rest = { ...all, tasks: all.tasks.slice(places.length) };
    const nearRooms = new Set(near);
    const others = rooms.filter((room) => !nearRooms.has(room));
    return [
      ...places,
      ...placement.findForEach(rest, others, placement.freeNow),
    ];
  }

  #decide(unit: Workflow.Unit): void {
    const siblings = unit.workflow.siblings(unit.tasks[0]);
    if (this.#blocked.has(siblings) && !isolation.isSuspect(unit)) return;
    const rooms = this.#roomsFor(unit);
    const places = this.#findFree(unit, rooms);
    if (places !== null) return this.#start(unit, places);
    this.#decideWithoutRoom(unit, rooms);
  }

  /** A unit for which nothing is free makes others yield, or waits. */
  #decideWithoutRoom(
    unit: Workflow.Unit,
    rooms: readonly fleet.WorkerRoom[],
  ): void {
    if (this.#mayClaim(unit) && this.#claim(unit, rooms)) return;
    this.#reserveAhead(unit, rooms);
    // Its siblings need no endpoint of their own, and may find room.
    if (!isolation.isSuspect(unit)) {
      this.#blocked.add(unit.workflow.siblings(unit.tasks[0]));
    }
    this.#waits.push({ unit, reason: this.#reasonFor(unit, rooms) });
  }

  /**
   * Why a unit found no place among these rooms. On a fleet that is mostly in use
   * the answer is room; to look further for each waiting step would cost a search
   * of all endpoints.
   */
  #reasonFor(
    unit: Workflow.Unit,
    rooms: readonly fleet.WorkerRoom[],
  ): waiting.WaitReason {
    const { nowMs } = this.#input;
    if (unit.workflow.spec.policy.advice !== null) return WaitReason.Advice;
    const isHeld = isolation.isSuspect(unit) &&
      isolation.isHeldBack(unit, nowMs);
    if (isHeld) return WaitReason.Hold;
    const eligible = this.#rooms.filter(({ worker }) =>
      fleet.isEligible(worker, unit)
    );
    if (eligible.length === 0) return WaitReason.Endpoints;
    const isPassedOver = this.#passedOver.has(unit);
    if (!this.#isIdle) return isPassedOver ? WaitReason.Share : WaitReason.Room;
    const fitsAmong = (
      some: readonly fleet.WorkerRoom[],
      roomOf: placement.RoomOf,
    ) => placement.findAmong(unit, some, roomOf) !== null;
    if (fitsAmong(rooms, placement.freeNow)) return WaitReason.NearData;
    const steady = retry.roomsWithoutDoubt(unit, eligible, nowMs);
    if (fitsAmong(steady, placement.freeNow)) return WaitReason.OwnEndpoint;
    if (fitsAmong(eligible, placement.freeNow)) return WaitReason.Doubt;
    if (isPassedOver) return WaitReason.Share;
    return fitsAmong(eligible, placement.freeBefore)
      ? WaitReason.Reserved
      : WaitReason.Room;
  }

  /** Urgent work beyond a guarantee claims only while that is of use. */
  #mayClaim(unit: Workflow.Unit): boolean {
    if (unit.workflow.spec.policy.priority > 0) return false;
    const isGuaranteed = this.#ranks.of(unit.workflow) === rank.Rank.Guaranteed;
    return isGuaranteed ||
      rank.hopeOf(unit, this.#input.wallMs) === rank.Hope.InTime;
  }

  /** Keeps the room that a waiting gang will get first from later units. */
  #reserveAhead(
    unit: Workflow.Unit,
    rooms: readonly fleet.WorkerRoom[],
  ): void {
    const isDue = unit.step.gang && !this.#isIdle;
    if (!isDue || this.#reserved >= MOST_RESERVED) return;
    const places = reservation.findEarliest(unit, rooms, this.#input.nowMs);
    if (places === null) return;
    this.#reserved++;
    for (const room of places) room.claim(unit, 1);
  }

  #roomsFor(unit: Workflow.Unit): readonly fleet.WorkerRoom[] {
    const rooms = this.#allRoomsFor(unit);
    return isolation.isSuspect(unit)
      ? isolation.roomsApart(unit, rooms, this.#input.nowMs)
      : rooms;
  }

  #allRoomsFor(unit: Workflow.Unit): readonly fleet.WorkerRoom[] {
    const all = this.#rooms.filter(({ worker }) =>
      fleet.isEligible(worker, unit)
    );
    const eligible = retry.roomsWithoutDoubt(unit, all, this.#input.nowMs);
    if (unit.workflow.spec.policy.advice === null) return eligible;
    return eligible.filter(({ worker }) =>
      this.#input.isAdvised(unit, worker.id)
    );
  }

  #findFree(
    unit: Workflow.Unit,
    rooms: readonly fleet.WorkerRoom[],
  ): placement.Places | null {
    const near = placement.findNear(unit, rooms, placement.freeNow);
    if (near !== null) return near;
    if (this.#shouldStayNear(unit, rooms)) return null;
    return placement.findAmong(unit, rooms, placement.freeNow);
  }

  /** Waiting pays while the unit would still end earlier near its data. */
  #shouldStayNear(
    unit: Workflow.Unit,
    rooms: readonly fleet.WorkerRoom[],
  ): boolean {
    const { step, workflow } = unit;
    if (step.rack === null && !placement.wantsOneRack(unit)) return true;
    if (!placement.couldBeNear(unit, rooms)) return false;
    const dueMs = Workflow.dueAtMs(workflow.spec, unit.round);
    const gainMs = (this.#input.remotePenalty - 1) * step.estimateMs;
    const patienceMs = this.#isIdle ? Math.min(gainMs, IDLE_WAIT_MS) : gainMs;
    return this.#input.wallMs - dueMs < patienceMs;
  }

  #start(unit: Workflow.Unit, places: placement.Places): void {
    const workers = places.map((room) => room.worker.id);
    for (const room of places) room.claim(unit, 1);
    if (isolation.isSuspect(unit)) { for (const room of places) room.close(); }
    this.#starts.push({ unit, workers });
  }

  /** Keeps room that is being freed, or makes others yield. */
  #claim(
    unit: Workflow.Unit,
    rooms: readonly fleet.WorkerRoom[],
  ): boolean {
    const soon = placement.findNear(unit, rooms, placement.freeSoon);
    if (soon !== null) return this.#reserve(unit, soon);
    const context = this.#evictions;
    const found = eviction.findEviction(unit, rooms, context) ??
      eviction.evictAmong(unit, rooms, context);
    if (found === null || !this.#isWorth(unit, found)) return false;
    for (const victim of found.victims) this.#stop(victim, unit);
    return this.#reserve(unit, found.places);
  }

  /** Beyond a guarantee nobody makes others lose more work than it brings. */
  #isWorth(unit: Workflow.Unit, found: eviction.Eviction): boolean {
    return this.#ranks.of(unit.workflow) === rank.Rank.Guaranteed ||
      found.loss <= eviction.workOf(unit);
  }

  #reserve(unit: Workflow.Unit, places: placement.Places): boolean {
    for (const room of places) room.claim(unit, 1);
    this.#waits.push({ unit, reason: WaitReason.Stops });
    return true;
  }

  #stop(task: Workflow.Task, claimant: Workflow.Unit): void {
    if (this.#stops.has(task)) return;
    this.#stops.set(task, { task, claimant });
    const room = task.worker === null ? undefined : this.#byId.get(task.worker);
    if (task.state !== Workflow.TaskState.Stopping) room?.expect(task);
  }
}

/** Single tasks of one step that follow one another; all others by themselves. */
function groupSiblings(
  sorted: readonly Workflow.Unit[],
): readonly (readonly Workflow.Unit[])[] {
  const groups: Workflow.Unit[][] = [];
  let lastSiblings: readonly Workflow.Task[] | null = null;
  for (const unit of sorted) {
    const isSingle = !unit.step.gang && !isolation.isSuspect(unit);
    const siblings = unit.workflow.siblings(unit.tasks[0]);
    if (isSingle && siblings === lastSiblings) {
      groups[groups.length - 1].push(unit);
      continue;
    }
    groups.push([unit]);
    lastSiblings = isSingle ? siblings : null;
  }
  return groups;
}
