/** Plans which units start on which endpoints and which tasks stop for them. */
import * as Workflow from "@cairngate/workflow";
import * as eviction from "./eviction.ts";
import * as estimates from "./run_estimator.ts";
import * as fleet from "./fleet.ts";
import * as isolation from "./isolation.ts";
import * as urgentReserve from "./urgent_reserve.ts";
import * as placement from "./placement.ts";
import type * as planData from "./plan_data.ts";
import * as rank from "./rank.ts";
import * as reservation from "./reservation.ts";
import * as retry from "./retry_pause.ts";
import * as stopRules from "./stop_rules.ts";
import * as reserveSize from "./reserve_size.ts";
import * as siblingGroups from "./sibling_groups.ts";
import * as slowStarts from "./slow_start.ts";
import * as runTimes from "./run_times.ts";
import * as bands from "./speed_bands.ts";
import * as claims from "./speed_claims.ts";
import type * as teamShares from "./team_shares.ts";
import * as waiting from "./wait_reason.ts";
import * as waitExplanation from "./wait_explanation.ts";

const { WaitReason } = waiting;

export type {
  Plan,
  PlanInput,
  StartDecision,
  StopDecision,
} from "./plan_data.ts";

/** Decides which ready units start, wait or make other tasks stop. */
export function makePlan(input: planData.PlanInput): planData.Plan {
  return new Planner(input).run();
}

/** Most waiting gangs that get a reservation, and searches for run ends, per plan. */
const MAX_RESERVATIONS = 4;

/** Fleet utilization below which work waits only briefly for a better place. */
const IDLE_UTILIZATION = 0.55;
const IDLE_WAIT_MS = 2000;

class Planner {
  readonly #input: planData.PlanInput;
  readonly #ranks: rank.Ranks;
  readonly #endpoints: readonly fleet.Endpoint[];
  readonly #byId: ReadonlyMap<string, fleet.Endpoint>;
  readonly #starts: planData.StartDecision[] = [];
  readonly #stops = new Map<Workflow.Task, planData.StopDecision>();
  readonly #waits: waiting.WaitDecision[] = [];
  /** Whether most of the fleet is free; work then hardly waits for a better place. */
  readonly #isIdle: boolean;
  readonly #evictionContext: eviction.EvictionContext;
  /** Whether teams compete; stops are then limited and endpoints reserved. */
  readonly #teamsCompete: boolean;
  readonly #urgentReserve: urgentReserve.UrgentReserve;
  readonly #endContext: reservation.RunEndContext;
  readonly #runTimes: runTimes.RunTimes;
  /** Recent use by team; null unless teams compete. */
  readonly #shares: teamShares.TeamShares | null;
  /** Units ordered behind units of other teams that have later objectives. */
  #passedOver: ReadonlySet<Workflow.Unit> = new Set();
  #reservationCount = 0;
  /** Searches for run ends so far; each one scans all runs. */
  #runEndSearchCount = 0;
  /** Steps with a task that could not be placed; their other tasks can't be either. */
  readonly #blocked = new Set<Workflow.TaskGroup>();

  constructor(input: planData.PlanInput) {
    this.#input = input;
    this.#ranks = new rank.Ranks(input.workflows, input.guarantees);
    const { nowMs, wallMs } = input;
    const teamsCompete = input.hardLoad?.teamsCompete === true;
    this.#teamsCompete = teamsCompete;
    this.#shares = teamsCompete ? input.shares ?? null : null;
    this.#endpoints = input.endpoints.map((w) => new fleet.Endpoint(w));
    this.#isIdle = fleet.peakUtilization(this.#endpoints) < IDLE_UTILIZATION;
    this.#byId = new Map(this.#endpoints.map((r) => [r.state.id, r]));
    this.#runTimes = new runTimes.RunTimes(input);
    this.#evictionContext = {
      ranks: this.#ranks,
      nowMs,
      wallMs,
      losses: new Map(),
      sparesOftenStopped: this.#teamsCompete,
      isAlreadyVictim: (task) => this.#stops.has(task),
      shares: this.#shares,
      remainingMs: (task, ranMs) => this.#runTimes.remainingMs(task, ranMs),
    };
    this.#endContext = { nowMs, runMs: (task) => this.#runTimes.runMs(task) };
    const { NO_URGENT_TRAFFIC } = reserveSize;
    this.#urgentReserve = new urgentReserve.UrgentReserve({
      endpoints: this.#endpoints,
      trafficOf: (service) =>
        this.#teamsCompete
          ? input.urgentTraffic?.(service) ?? NO_URGENT_TRAFFIC
          : NO_URGENT_TRAFFIC,
      stopMs: this.#stopMs,
    });
  }

  /** Time that a stop is expected to take, in ms; 0 unless teams compete. */
  get #stopMs(): number {
    return this.#teamsCompete ? this.#input.stopMs ?? 0 : 0;
  }

  run(): planData.Plan {
    const units: Workflow.Unit[] = [];
    for (const workflow of this.#input.workflows) {
      units.push(...workflow.readyUnits(this.#input.wallMs));
    }
    const ready = units.filter((unit) => !this.#waitsForRetry(unit));
    const sorted = rank.sortUnits(ready, this.#ranks, {
      wallMs: this.#input.wallMs,
      shares: this.#shares,
      bestOutcomeOf: (unit) => this.#runTimes.bestOutcomeOf(unit),
    });
    this.#passedOver = sorted.passedOver;
    for (const group of siblingGroups.groupSiblings(sorted.units)) {
      this.#decideGroup(group);
    }
    return {
      starts: this.#starts,
      stops: [...this.#stops.values()],
      waits: this.#waits,
      reservedCount: this.#urgentReserve.size,
    };
  }

  #waitsForRetry(unit: Workflow.Unit): boolean {
    const reason = this.#retryWaitReason(unit);
    if (reason === null) return false;
    this.#waits.push({ unit, reason });
    return true;
  }

  #retryWaitReason(unit: Workflow.Unit): waiting.WaitReason | null {
    if (unit.workflow.mustAwaitOutcome(unit)) return WaitReason.UnknownOutcome;
    return retry.mustPause(unit, this.#input) ? WaitReason.Pause : null;
  }

  /**
   * Places all single tasks of a step in one search: a search for each of 40 tasks
   * would read each endpoint 40 times (plan_growth_test.ts).
   */
  #decideGroup(units: readonly Workflow.Unit[]): void {
    const [first] = units;
    if (units.length === 1) return this.#decide(first);
    const taskGroup = first.workflow.groupOf(first.tasks[0]);
    if (this.#blocked.has(taskGroup)) return;
    const combined = { ...first, tasks: units.flatMap(({ tasks }) => tasks) };
    const endpoints = this.#endpointsFor(combined);
    const places = this.#placeEach(
      combined,
      this.#urgentReserve.allowedFor(combined, endpoints),
    );
    places.forEach((endpoint, i) => this.#start(units[i], [endpoint]));
    for (const unit of units.slice(places.length)) {
      this.#decideWithoutPlace(unit, endpoints);
      if (this.#blocked.has(taskGroup)) return;
    }
  }

  /** Places tasks near their data first, elsewhere only if waiting costs more. */
  #placeEach(
    combined: Workflow.Unit,
    endpoints: readonly fleet.Endpoint[],
  ): placement.Placement {
    const near = placement.endpointsNearData(combined, endpoints);
    const places = this.#placeEachNear(combined, near);
    const isFull = places.length === combined.tasks.length;
    if (isFull || near === endpoints) return places;
    const single = { ...combined, tasks: combined.tasks.slice(0, 1) };
    if (this.#shouldStayNear(single, endpoints)) return places;
    const remaining = {
      ...combined,
      tasks: combined.tasks.slice(places.length),
    };
    const nearSet = new Set(near);
    const farther = endpoints.filter((endpoint) => !nearSet.has(endpoint));
    return [...places, ...this.#urgentReserve.findPlaces(remaining, farther)];
  }

  /** Prefers endpoints on which the tasks end in time, where speeds differ. */
  #placeEachNear(
    combined: Workflow.Unit,
    near: readonly fleet.Endpoint[],
  ): placement.Placement {
    const { estimator } = this.#runTimes;
    if (estimator === null) {
      return this.#urgentReserve.findPlaces(combined, near);
    }
    const needed = estimator.neededSpeed(combined, this.#input.wallMs);
    return this.#urgentReserve.findPlaces(
      combined,
      near,
      (unit, endpoints) => bands.findForEachFastFirst(unit, endpoints, needed),
    );
  }

  /** Places a unit on endpoints that are fast enough, or claims such endpoints. */
  #claimFastEndpoints(
    unit: Workflow.Unit,
    endpoints: readonly fleet.Endpoint[],
  ): boolean {
    const { estimator } = this.#runTimes;
    if (estimator === null) return false;
    const isGuaranteed = this.#isGuaranteed(unit);
    const claim = claims.findFastEnough(unit, endpoints, {
      estimator,
      evictionContext: this.#evictionContext,
      runEndContext: this.#endContext,
      mayClaim: this.#mayClaim(unit) &&
        (!isGuaranteed || this.#mayWaitForSpeed(unit)),
      // A guarantee entitles a unit to capacity at once, whatever its speed.
      mayWait: () =>
        !isGuaranteed && this.#runEndSearchCount++ < MAX_RESERVATIONS,
      isWorth: (found) =>
        this.#mayStopOthers(unit) && this.#isWorth(unit, found) &&
        claims.isSpeedWorthLoss(
          unit,
          found,
          this.#lossAtAnySpeed(unit, endpoints),
        ),
    });
    if (claim === null) return false;
    this.#applyClaim(unit, claim);
    return true;
  }

  /** Loss of other work if the unit takes endpoints of any speed, in core-seconds. */
  #lossAtAnySpeed(
    unit: Workflow.Unit,
    endpoints: readonly fleet.Endpoint[],
  ): number {
    if (this.#findFree(unit, endpoints) !== null) return 0;
    if (
      placement.findNear(unit, endpoints, placement.freeAfterStops) !== null
    ) return 0;
    const found = this.#findEviction(unit, endpoints);
    return found !== null && this.#isWorth(unit, found) ? found.loss : 0;
  }

  /**
   * Whether a guaranteed unit may still wait for fast endpoints. It waits no longer
   * than stops take, since capacity that is being freed may never become free, for
   * example when an endpoint stops responding. A negative waiting time means that the
   * clock of the box that accepted the work is ahead, so the real waiting time is
   * unknown.
   */
  #mayWaitForSpeed({ workflow, round }: Workflow.Unit): boolean {
    const dueMs = Workflow.dueAtMs(workflow.spec, round);
    const waitedMs = this.#input.wallMs - dueMs;
    return waitedMs >= 0 && waitedMs < estimates.STOP_ALLOWANCE_MS;
  }

  #applyClaim(unit: Workflow.Unit, claim: claims.Claim): void {
    if (claim.how === claims.How.Eviction) {
      return this.#evict(unit, claim.eviction);
    }
    const { places } = claim;
    if (claim.how === claims.How.Free) return this.#start(unit, places);
    if (claim.how === claims.How.Freeing) return this.#reserve(unit, places);
    for (const endpoint of places) endpoint.allocate(unit, 1);
    this.#waits.push({ unit, reason: WaitReason.Room });
  }

  #decide(unit: Workflow.Unit): void {
    const taskGroup = unit.workflow.groupOf(unit.tasks[0]);
    if (this.#blocked.has(taskGroup) && !isolation.isSuspect(unit)) return;
    const endpoints = this.#endpointsFor(unit);
    const allowed = this.#urgentReserve.allowedFor(unit, endpoints);
    if (this.#claimFastEndpoints(unit, allowed)) return;
    const places = this.#findFree(unit, allowed);
    if (places !== null) return this.#start(unit, places);
    this.#decideWithoutPlace(unit, endpoints);
  }

  /** Stops other tasks for a unit that could not be placed, or lets it wait. */
  #decideWithoutPlace(
    unit: Workflow.Unit,
    endpoints: readonly fleet.Endpoint[],
  ): void {
    if (this.#mayClaim(unit) && this.#claim(unit, endpoints)) return;
    this.#reserveAhead(unit, this.#urgentReserve.allowedFor(unit, endpoints));
    // Other tasks of the step need no empty endpoint, so they may still be placed.
    if (!isolation.isSuspect(unit)) {
      this.#blocked.add(unit.workflow.groupOf(unit.tasks[0]));
    }
    const reason = waitExplanation.waitReasonOf({
      unit,
      endpoints,
      all: this.#endpoints,
      nowMs: this.#input.nowMs,
      isIdle: this.#isIdle,
      isPassedOver: this.#passedOver.has(unit),
      isAllowed: this.#input.isAllowed ?? (() => false),
    });
    this.#waits.push({ unit, reason });
  }

  /** Whether a unit may claim busy endpoints: guaranteed, or urgent and in time. */
  #mayClaim(unit: Workflow.Unit): boolean {
    if (unit.workflow.spec.policy.priority > 0) return false;
    return this.#isGuaranteed(unit) ||
      this.#runTimes.bestOutcomeOf(unit) === rank.Outcome.InTime;
  }

  /** Whether a unit may stop more tasks, given that a new stop takes its full time. */
  #mayStopOthers(unit: Workflow.Unit): boolean {
    return this.#isGuaranteed(unit) ||
      stopRules.canEndInTimeAfterStops(unit, this.#stopContext);
  }

  #isGuaranteed({ workflow }: Workflow.Unit): boolean {
    return this.#ranks.of(workflow) === rank.Rank.Guaranteed;
  }

  get #stopContext(): stopRules.StopContext {
    return {
      wallMs: this.#input.wallMs,
      stopMs: this.#stopMs,
      bestOutcomeAfter: (unit, delayMs) =>
        this.#runTimes.bestOutcomeOf(unit, delayMs),
    };
  }

  /** Reserves the capacity that becomes free first for a waiting gang. */
  #reserveAhead(
    unit: Workflow.Unit,
    endpoints: readonly fleet.Endpoint[],
  ): void {
    const mayReserve = unit.step.gang && !this.#isIdle;
    if (!mayReserve || this.#reservationCount >= MAX_RESERVATIONS) return;
    const found = reservation.findEarliest(unit, endpoints, this.#endContext);
    if (found === null) return;
    this.#reservationCount++;
    for (const endpoint of found.places) endpoint.allocate(unit, 1);
  }

  #endpointsFor(unit: Workflow.Unit): readonly fleet.Endpoint[] {
    const endpoints = this.#eligibleFor(unit);
    return isolation.isSuspect(unit)
      ? isolation.endpointsForSuspect(unit, endpoints, this.#input.nowMs)
      : endpoints;
  }

  #eligibleFor(unit: Workflow.Unit): readonly fleet.Endpoint[] {
    const all = this.#endpoints.filter(({ state }) =>
      fleet.isEligible(state, unit)
    );
    const eligible = retry.withoutUnreliable(unit, all, this.#input.nowMs);
    if (unit.workflow.spec.policy.advice === null) return eligible;
    return eligible.filter(({ state }) =>
      this.#input.isAdvised(unit, state.id)
    );
  }

  #findFree(
    unit: Workflow.Unit,
    endpoints: readonly fleet.Endpoint[],
  ): placement.Placement | null {
    const near = placement.findNear(unit, endpoints, placement.freeNow);
    if (near !== null) return near;
    if (this.#shouldStayNear(unit, endpoints)) return null;
    return placement.findAmong(unit, endpoints, placement.freeNow);
  }

  /** Whether a unit ends earlier if it waits for capacity near its data. */
  #shouldStayNear(
    unit: Workflow.Unit,
    endpoints: readonly fleet.Endpoint[],
  ): boolean {
    const { step, workflow } = unit;
    if (step.rack === null && !placement.wantsOneRack(unit)) return true;
    if (!placement.couldFitNear(unit, endpoints)) return false;
    const dueMs = Workflow.dueAtMs(workflow.spec, unit.round);
    const gainMs = (this.#input.remotePenalty - 1) * step.estimateMs;
    const maxWaitMs = this.#isIdle ? Math.min(gainMs, IDLE_WAIT_MS) : gainMs;
    return this.#input.wallMs - dueMs < maxWaitMs;
  }

  #start(unit: Workflow.Unit, places: placement.Placement): void {
    const endpointIds = places.map((endpoint) => endpoint.state.id);
    for (const endpoint of places) endpoint.allocate(unit, 1);
    if (isolation.isSuspect(unit)) {
      for (const endpoint of places) endpoint.withholdAll();
    }
    const slow = this.#slowReason(unit, places);
    this.#starts.push({
      unit,
      endpointIds,
      ...(slow === null ? {} : { slowReason: slow }),
    });
  }

  #slowReason(
    unit: Workflow.Unit,
    places: placement.Placement,
  ): slowStarts.SlowReason | null {
    const { estimator } = this.#runTimes;
    if (estimator === null) return null;
    const { wallMs } = this.#input;
    return slowStarts.slowReason(unit, places, { estimator, wallMs });
  }

  /** Reserves capacity that is being freed, or stops other tasks. */
  #claim(
    unit: Workflow.Unit,
    endpoints: readonly fleet.Endpoint[],
  ): boolean {
    const freedPlaces = placement.findNear(
      unit,
      endpoints,
      placement.freeAfterStops,
    );
    if (freedPlaces !== null) {
      this.#reserve(unit, freedPlaces);
      return true;
    }
    if (!this.#mayStopOthers(unit)) return false;
    const found = this.#findEviction(unit, endpoints);
    if (found === null || !this.#isWorth(unit, found)) return false;
    this.#evict(unit, found);
    return true;
  }

  #evict(unit: Workflow.Unit, found: eviction.Eviction): void {
    for (const victim of found.victims) this.#stop(victim, unit);
    this.#reserve(unit, found.places);
  }

  /** Spares tasks that were stopped often unless a guarantee has no other way. */
  #findEviction(
    unit: Workflow.Unit,
    endpoints: readonly fleet.Endpoint[],
  ): eviction.Eviction | null {
    const find = (context: eviction.EvictionContext) =>
      eviction.findEviction(unit, endpoints, context) ??
        eviction.evictAmong(unit, endpoints, context);
    const found = find(this.#evictionContext);
    if (found !== null || !this.#teamsCompete || !this.#isGuaranteed(unit)) {
      return found;
    }
    return find({ ...this.#evictionContext, sparesOftenStopped: false });
  }

  /** Whether stops are justified: guaranteed work, or no more work lost than gained. */
  #isWorth(unit: Workflow.Unit, found: eviction.Eviction): boolean {
    return this.#isGuaranteed(unit) ||
      found.loss <= eviction.coreSecondsOf(unit);
  }

  #reserve(unit: Workflow.Unit, places: placement.Placement): void {
    for (const endpoint of places) endpoint.allocate(unit, 1);
    this.#waits.push({ unit, reason: WaitReason.Stops });
  }

  #stop(task: Workflow.Task, claimant: Workflow.Unit): void {
    if (this.#stops.has(task)) return;
    this.#stops.set(task, { task, claimant });
    const endpoint = task.endpoint === null
      ? undefined
      : this.#byId.get(task.endpoint);
    if (task.state !== Workflow.TaskState.Stopping) endpoint?.countStop(task);
  }
}
