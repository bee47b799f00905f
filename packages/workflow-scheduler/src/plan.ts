/** Makes a plan: which units start where, and which tasks stop for them. */
import * as Workflow from "@cairngate/workflow";
import * as eviction from "./eviction.ts";
import * as outlooks from "./expected_run.ts";
import * as fleet from "./fleet.ts";
import * as isolation from "./isolation.ts";
import * as keptRooms from "./kept_rooms.ts";
import * as placement from "./placement.ts";
import type * as data from "./plan_data.ts";
import * as rank from "./rank.ts";
import * as reservation from "./reservation.ts";
import * as retry from "./retry_pause.ts";
import * as stopRules from "./stop_rules.ts";
import * as urgentRoom from "./urgent_room.ts";
import * as siblingGroups from "./sibling_groups.ts";
import * as slowPlaces from "./slow_place.ts";
import * as runTimes from "./run_times.ts";
import * as bands from "./speed_bands.ts";
import * as speedClaims from "./speed_claims.ts";
import type * as teamShares from "./team_shares.ts";
import * as waiting from "./wait_reason.ts";
import * as whys from "./why_waiting.ts";

const { WaitReason } = waiting;

export type {
  Plan,
  PlanInput,
  StartDecision,
  StopDecision,
} from "./plan_data.ts";

/** Decides for all units that are ready. */
export function makePlan(input: data.PlanInput): data.Plan {
  return new Planner(input).run();
}

/** Gangs for which room is kept in one plan. */
const MOST_RESERVED = 4;

/** Below this share in use, work waits only briefly for a better place. */
const IDLE_SHARE = 0.55;
const IDLE_WAIT_MS = 2000;

class Planner {
  readonly #input: data.PlanInput;
  readonly #ranks: rank.Ranks;
  readonly #rooms: readonly fleet.EndpointRoom[];
  readonly #byId: ReadonlyMap<string, fleet.EndpointRoom>;
  readonly #starts: data.StartDecision[] = [];
  readonly #stops = new Map<Workflow.Task, data.StopDecision>();
  readonly #waits: waiting.WaitDecision[] = [];
  /** Most of the fleet is free: nothing should wait for a better place. */
  readonly #isIdle: boolean;
  readonly #evictions: eviction.EvictionContext;
  /** Whether stops are weighed, and room is kept: only where teams compete. */
  readonly #weighsStops: boolean;
  readonly #kept: keptRooms.KeptRooms;
  readonly #endings: reservation.EndingContext;
  readonly #times: runTimes.RunTimes;
  /** Null where shares do not count. */
  readonly #shares: teamShares.TeamShares | null;
  /** Units behind others that come later by their objectives. */
  #passedOver: ReadonlySet<Workflow.Unit> = new Set();
  #reserved = 0;
  /** Searches for ends that come in time; each looks at all runs. */
  #endSearches = 0;
  /** Steps of which a task found no room; its siblings find none either. */
  readonly #blocked = new Set<readonly Workflow.Task[]>();

  constructor(input: data.PlanInput) {
    this.#input = input;
    this.#ranks = new rank.Ranks(input.workflows, input.guarantees);
    const { nowMs, wallMs } = input;
    const teamsCompete = input.hardLoad?.teamsCompete === true;
    this.#weighsStops = teamsCompete;
    this.#shares = teamsCompete ? input.shares ?? null : null;
    this.#rooms = input.workers.map((w) => new fleet.EndpointRoom(w));
    this.#isIdle = fleet.usedShare(this.#rooms) < IDLE_SHARE;
    this.#byId = new Map(this.#rooms.map((r) => [r.worker.id, r]));
    this.#times = new runTimes.RunTimes(input);
    this.#evictions = {
      ranks: this.#ranks,
      nowMs,
      wallMs,
      costs: new Map(),
      sparesStopped: this.#weighsStops,
      isTaken: (task) => this.#weighsStops && this.#stops.has(task),
      shares: this.#shares,
      leftMs: (task, ranMs) => this.#times.leftMs(task, ranMs),
    };
    this.#endings = { nowMs, runMs: (task) => this.#times.runMs(task) };
    const { NO_URGENT_TRAFFIC } = urgentRoom;
    this.#kept = new keptRooms.KeptRooms({
      rooms: this.#rooms,
      trafficOf: (service) =>
        this.#weighsStops
          ? input.urgentTraffic?.(service) ?? NO_URGENT_TRAFFIC
          : NO_URGENT_TRAFFIC,
      stopMs: this.#stopMs,
    });
  }

  /** Time that stops are reckoned to take, in ms; none where they are not weighed. */
  get #stopMs(): number {
    return this.#weighsStops ? this.#input.stopMs ?? 0 : 0;
  }

  run(): data.Plan {
    const units: Workflow.Unit[] = [];
    for (const workflow of this.#input.workflows) {
      units.push(...workflow.readyUnits(this.#input.wallMs));
    }
    const ready = units.filter((unit) => !this.#pauses(unit));
    const sorted = rank.sortUnits(ready, this.#ranks, {
      wallMs: this.#input.wallMs,
      shares: this.#shares,
      hopeOf: (unit) => this.#times.hopeOf(unit),
    });
    this.#passedOver = sorted.passedOver;
    for (const some of siblingGroups.groupSiblings(sorted.units)) {
      this.#decideAll(some);
    }
    return {
      starts: this.#starts,
      stops: [...this.#stops.values()],
      waits: this.#waits,
      kept: this.#kept.size,
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
    const places = this.#findForEach(all, this.#kept.openFor(all, rooms));
    places.forEach((room, i) => this.#start(units[i], [room]));
    for (const unit of units.slice(places.length)) {
      this.#decideWithoutRoom(unit, rooms);
      if (this.#blocked.has(siblings)) return;
    }
  }

  /** Near their data first; elsewhere only where waiting does not pay. */
  #findForEach(
    all: Workflow.Unit,
    rooms: readonly fleet.EndpointRoom[],
  ): placement.Places {
    const near = placement.nearWorkers(all, rooms);
    const places = this.#findForEachNear(all, near);
    const isFull = places.length === all.tasks.length;
    if (isFull || near === rooms) return places;
    const one = { ...all, tasks: all.tasks.slice(0, 1) };
    if (this.#shouldStayNear(one, rooms)) return places;
    const rest = { ...all, tasks: all.tasks.slice(places.length) };
    const nearRooms = new Set(near);
    const others = rooms.filter((room) => !nearRooms.has(room));
    return [...places, ...this.#kept.fill(rest, others)];
  }

  /** Where speeds differ, endpoints on which the tasks end in time come first. */
  #findForEachNear(
    all: Workflow.Unit,
    near: readonly fleet.EndpointRoom[],
  ): placement.Places {
    const { outlook } = this.#times;
    if (outlook === null) {
      return this.#kept.fill(all, near);
    }
    const needed = outlook.neededSpeed(all, this.#input.wallMs);
    return this.#kept.fill(
      all,
      near,
      (unit, rooms) => bands.findForEachFast(unit, rooms, needed),
    );
  }

  /** Places a unit on endpoints that are fast enough, or gets them for it. */
  #decideBySpeed(
    unit: Workflow.Unit,
    rooms: readonly fleet.EndpointRoom[],
  ): boolean {
    const { outlook } = this.#times;
    if (outlook === null) return false;
    const isGuaranteed = this.#isGuaranteed(unit);
    const claim = speedClaims.findFast(unit, rooms, {
      outlook,
      evictions: this.#evictions,
      endings: this.#endings,
      mayClaim: this.#mayClaim(unit) &&
        (!isGuaranteed || this.#mayHoldOut(unit)),
      // A guarantee is for room at once, whatever its speed.
      mayWait: () => !isGuaranteed && this.#endSearches++ < MOST_RESERVED,
      isWorth: (found) =>
        this.#mayStopOthers(unit) && this.#isWorth(unit, found) &&
        speedClaims.isWorthSpeed(unit, found, this.#lossAnyhow(unit, rooms)),
    });
    if (claim === null) return false;
    this.#carryOut(unit, claim);
    return true;
  }

  /** What others lose where a unit takes room at any speed. */
  #lossAnyhow(
    unit: Workflow.Unit,
    rooms: readonly fleet.EndpointRoom[],
  ): number {
    if (this.#findFree(unit, rooms) !== null) return 0;
    if (placement.findNear(unit, rooms, placement.freeSoon) !== null) return 0;
    const found = this.#findEviction(unit, rooms);
    return found !== null && this.#isWorth(unit, found) ? found.loss : 0;
  }

  /**
   * A guarantee holds out for fast room no longer than stops take: what is being freed
   * may never come, as where an endpoint has fallen silent. Where the clock of the box
   * that accepted it is ahead, nobody knows how long it has waited.
   */
  #mayHoldOut({ workflow, round }: Workflow.Unit): boolean {
    const dueMs = Workflow.dueAtMs(workflow.spec, round);
    const waitedMs = this.#input.wallMs - dueMs;
    return waitedMs >= 0 && waitedMs < outlooks.STOP_MS;
  }

  #carryOut(unit: Workflow.Unit, claim: speedClaims.Claim): void {
    if (claim.way === speedClaims.Way.Stops) {
      return this.#makeYield(unit, claim.found);
    }
    const { places } = claim;
    if (claim.way === speedClaims.Way.Free) return this.#start(unit, places);
    if (claim.way === speedClaims.Way.Soon) return this.#reserve(unit, places);
    for (const room of places) room.claim(unit, 1);
    this.#waits.push({ unit, reason: WaitReason.Room });
  }

  #decide(unit: Workflow.Unit): void {
    const siblings = unit.workflow.siblings(unit.tasks[0]);
    if (this.#blocked.has(siblings) && !isolation.isSuspect(unit)) return;
    const rooms = this.#roomsFor(unit);
    const open = this.#kept.openFor(unit, rooms);
    if (this.#decideBySpeed(unit, open)) return;
    const places = this.#findFree(unit, open);
    if (places !== null) return this.#start(unit, places);
    this.#decideWithoutRoom(unit, rooms);
  }

  /** A unit for which nothing is free makes others yield, or waits. */
  #decideWithoutRoom(
    unit: Workflow.Unit,
    rooms: readonly fleet.EndpointRoom[],
  ): void {
    if (this.#mayClaim(unit) && this.#claim(unit, rooms)) return;
    this.#reserveAhead(unit, this.#kept.openFor(unit, rooms));
    // Its siblings need no endpoint of their own, and may find room.
    if (!isolation.isSuspect(unit)) {
      this.#blocked.add(unit.workflow.siblings(unit.tasks[0]));
    }
    const reason = whys.whyWaiting({
      unit,
      rooms,
      all: this.#rooms,
      nowMs: this.#input.nowMs,
      isIdle: this.#isIdle,
      isPassedOver: this.#passedOver.has(unit),
    });
    this.#waits.push({ unit, reason });
  }

  /** Urgent work beyond a guarantee claims only while that is of use. */
  #mayClaim(unit: Workflow.Unit): boolean {
    if (unit.workflow.spec.policy.priority > 0) return false;
    return this.#isGuaranteed(unit) ||
      this.#times.hopeOf(unit) === rank.Hope.InTime;
  }

  /** Whether others may stop now; those that are stopping already end sooner. */
  #mayStopOthers(unit: Workflow.Unit): boolean {
    return this.#isGuaranteed(unit) ||
      stopRules.helpsInTime(unit, this.#moment);
  }

  #isGuaranteed({ workflow }: Workflow.Unit): boolean {
    return this.#ranks.of(workflow) === rank.Rank.Guaranteed;
  }

  get #moment(): stopRules.StopMoment {
    return {
      wallMs: this.#input.wallMs,
      stopMs: this.#stopMs,
      hopeAfter: (unit, laterMs) => this.#times.hopeOf(unit, laterMs),
    };
  }

  /** Keeps the room that a waiting gang will get first from later units. */
  #reserveAhead(
    unit: Workflow.Unit,
    rooms: readonly fleet.EndpointRoom[],
  ): void {
    const isDue = unit.step.gang && !this.#isIdle;
    if (!isDue || this.#reserved >= MOST_RESERVED) return;
    const found = reservation.findEarliest(unit, rooms, this.#endings);
    if (found === null) return;
    this.#reserved++;
    for (const room of found.places) room.claim(unit, 1);
  }

  #roomsFor(unit: Workflow.Unit): readonly fleet.EndpointRoom[] {
    const rooms = this.#allRoomsFor(unit);
    return isolation.isSuspect(unit)
      ? isolation.roomsApart(unit, rooms, this.#input.nowMs)
      : rooms;
  }

  #allRoomsFor(unit: Workflow.Unit): readonly fleet.EndpointRoom[] {
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
    rooms: readonly fleet.EndpointRoom[],
  ): placement.Places | null {
    const near = placement.findNear(unit, rooms, placement.freeNow);
    if (near !== null) return near;
    if (this.#shouldStayNear(unit, rooms)) return null;
    return placement.findAmong(unit, rooms, placement.freeNow);
  }

  /** Waiting pays while the unit would still end earlier near its data. */
  #shouldStayNear(
    unit: Workflow.Unit,
    rooms: readonly fleet.EndpointRoom[],
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
    const slow = this.#slowReason(unit, places);
    this.#starts.push({ unit, workers, ...(slow === null ? {} : { slow }) });
  }

  #slowReason(
    unit: Workflow.Unit,
    places: placement.Places,
  ): slowPlaces.SlowReason | null {
    const { outlook } = this.#times;
    if (outlook === null) return null;
    const { wallMs } = this.#input;
    return slowPlaces.slowReason(unit, places, { outlook, wallMs });
  }

  /** Keeps room that is being freed, or makes others yield. */
  #claim(
    unit: Workflow.Unit,
    rooms: readonly fleet.EndpointRoom[],
  ): boolean {
    const soon = placement.findNear(unit, rooms, placement.freeSoon);
    if (soon !== null) {
      this.#reserve(unit, soon);
      return true;
    }
    if (!this.#mayStopOthers(unit)) return false;
    const found = this.#findEviction(unit, rooms);
    if (found === null || !this.#isWorth(unit, found)) return false;
    this.#makeYield(unit, found);
    return true;
  }

  #makeYield(unit: Workflow.Unit, found: eviction.Eviction): void {
    for (const victim of found.victims) this.#stop(victim, unit);
    this.#reserve(unit, found.places);
  }

  /** Work that was stopped often is spared, unless a guarantee finds nothing else. */
  #findEviction(
    unit: Workflow.Unit,
    rooms: readonly fleet.EndpointRoom[],
  ): eviction.Eviction | null {
    const find = (context: eviction.EvictionContext) =>
      eviction.findEviction(unit, rooms, context) ??
        eviction.evictAmong(unit, rooms, context);
    const found = find(this.#evictions);
    if (found !== null || !this.#weighsStops || !this.#isGuaranteed(unit)) {
      return found;
    }
    return find({ ...this.#evictions, sparesStopped: false });
  }

  /** Beyond a guarantee nobody makes others lose more work than it brings. */
  #isWorth(unit: Workflow.Unit, found: eviction.Eviction): boolean {
    return this.#isGuaranteed(unit) || found.loss <= eviction.workOf(unit);
  }

  #reserve(unit: Workflow.Unit, places: placement.Places): void {
    for (const room of places) room.claim(unit, 1);
    this.#waits.push({ unit, reason: WaitReason.Stops });
  }

  #stop(task: Workflow.Task, claimant: Workflow.Unit): void {
    if (this.#stops.has(task)) return;
    this.#stops.set(task, { task, claimant });
    const room = task.worker === null ? undefined : this.#byId.get(task.worker);
    if (task.state !== Workflow.TaskState.Stopping) room?.expect(task);
  }
}
