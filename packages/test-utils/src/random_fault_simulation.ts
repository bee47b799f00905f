/**
 * Random faults over several boxes: killed boxes, outages of the store for one box, all
 * boxes or some partitions, cut links, lost answers, connections that turn silent,
 * orders that are lost, unanswered or late, failing runs, endpoints that crash or that
 * fail every run and are then unreachable, tasks that crash their endpoints, evacuated
 * data centres, and list entries that do not match the running endpoints.
 */
import type * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as StandIns from "@cairngate/stand-ins";
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as capacityChanges from "./capacity_changes.ts";
import * as failureSilences from "./failure_silences.ts";
import * as evacuated from "./evacuations.ts";
import * as greyEndpoints from "./grey_endpoints.ts";
import * as hardLoads from "./hard_load_work.ts";
import * as listings from "./listing_faults.ts";
import * as endpointRestarts from "./endpoint_restarts.ts";
import * as checks from "./run_checks.ts";
import * as randoms from "./seeded_random.ts";
import * as standstill from "./standstill_check.ts";
import * as boxSuspensions from "./suspensions.ts";
import * as fleets from "./test_fleet.ts";

/** Rounds of a simulation; each submits a workflow and injects one to three faults. */
const ROUNDS = 12;
/** Time after each fault and after each repair, in ms: shorter than a takeover. */
const PHASE_MS = 900;
/** Times from the start of a crashing task to its crash, in ms. */
const CRASH_DELAYS_MS: readonly number[] = [0, 10, 400, 1500];
/** Share of the workflows whose tasks crash their endpoints, 0 to 1. */
const CRASHER_SHARE = 0.15;
/** Share of the workflows that run in several rounds, if there are any, 0 to 1. */
const SCHEDULED_SHARE = 0.6;
/** Shares of the orders in a round that are lost, unanswered or late, 0 to 1. */
const ORDER_FAULT_SHARES: readonly number[] = [0, 0.1, 0.6];
/** Share of the faults that are hand-overs, if there are any, 0 to 1. */
const HAND_OVER_SHARE = 0.3;
const END_TIMEOUT_MS = 120_000;
/** Share of the runs that fail, 0 to 1. */
const FAIL_SHARE = 0.02;
/** The same where many runs fail: most gangs of three fail in each run. */
const HIGH_FAIL_SHARE = 0.4;

/** Stops the coordinator as operators do, and starts a box in its place. */
async function handOver(fleet: fleets.TestFleet): Promise<void> {
  const target = fleet.coordinator();
  if (target === null || !fleet.boxes.has(target)) return;
  await fleet.run(fleet.box(target).leave());
  await fleet.kill(target);
  fleet.startBox(`${target}+`);
}

/** Injects one random fault. */
async function injectFault(
  fleet: fleets.TestFleet,
  random: randoms.SeededRandom,
  grey: greyEndpoints.GreyEndpoints,
  { handsOver = false }: FaultOptions,
): Promise<void> {
  const names = [...fleet.boxes.keys()];
  const name = random.choose(names);
  if (handsOver && random.next() < HAND_OVER_SHARE) return handOver(fleet);
  switch (random.between(0, 11)) {
    case 0: {
      const target = fleet.coordinator() ?? name;
      if (!fleet.boxes.has(target)) return;
      await fleet.kill(target);
      fleet.startBox(`${target}+`);
      return;
    }
    case 1:
      return fleet.faultsOf(name).set({ down: true });
    case 2:
      for (const each of names) fleet.faultsOf(each).set({ down: true });
      return;
    case 6:
      return fleet.faultsOf(name).set({ silent: true });
    case 7: {
      const cut = name;
      fleet.links.isReachable = (from, to) => from !== cut && to !== cut;
      return;
    }
    case 8:
      return fleet.silenceConnections();
    case 9:
      return fleet.workers.crash(random.choose(fleet.workers.listRunning()));
    case 10:
      for (const id of fleet.workers.listRunning()) fleet.workers.crash(id);
      return;
    case 11:
      return grey.add(random.choose(fleet.workers.listRunning()));
    case 3:
      return fleet.faultsOf(name).set({ loseAnswers: 0.4 });
    case 4: {
      const isDown = () => random.next() < 0.35;
      const downPartitions = TableClient.Keys.PARTITIONS.filter(isDown);
      for (const each of names) fleet.faultsOf(each).set({ downPartitions });
      return;
    }
    default:
      return fleet.faultsOf(name).set({ delayMs: 120 });
  }
}

function repairBoxes(fleet: fleets.TestFleet): void {
  fleet.links.isReachable = () => true;
  for (const name of fleet.boxes.keys()) {
    fleet.faultsOf(name).set({
      down: false,
      silent: false,
      downPartitions: [],
      loseAnswers: 0,
      delayMs: 0,
    });
  }
}

/** Makes a share of the orders lost, unanswered or late. */
function disruptOrders(
  fleet: fleets.TestFleet,
  random: randoms.SeededRandom,
  share: number,
  outcomeOf: (endpoint: string) => StandIns.OrderOutcome | null,
): void {
  const outcomes = [
    StandIns.OrderOutcome.Lost,
    StandIns.OrderOutcome.AnswerLost,
    StandIns.OrderOutcome.Late,
  ];
  fleet.workers.decideOutcome = (endpoint) => {
    const outcome = outcomeOf(endpoint);
    if (outcome !== null) return outcome;
    return random.next() < share
      ? random.choose(outcomes)
      : StandIns.OrderOutcome.Delivered;
  };
}

/** Work of one workflow: steps, and when they run again. */
type Work = Pick<Workflow.WorkflowSpec, "steps" | "schedule">;

function drawWork(random: randoms.SeededRandom, gang: number): Work {
  const steps = [
    fleets.buildStep({ count: random.between(1, 3) }),
    fleets.buildStep({ count: gang, gang: true, after: [0] }),
  ];
  return { steps, schedule: null };
}

/** Draws work that runs in several rounds, some of which overlap. */
function drawScheduledWork(
  random: randoms.SeededRandom,
  wallMs: number,
): Work {
  const steps = [
    fleets.buildStep({ count: random.between(1, 2) }),
    fleets.buildStep({ count: random.between(1, 2), after: [0] }),
  ];
  const schedule = {
    firstAtMs: wallMs + random.between(-2000, 2000),
    everyMs: random.between(100, 1500),
    rounds: random.between(2, 4),
  };
  return { steps, schedule };
}

/** Submits a workflow to the first box that accepts it; returns whether one did. */
async function submitToAnyBox(
  fleet: fleets.TestFleet,
  random: randoms.SeededRandom,
  id: string,
  { steps, schedule }: Work,
): Promise<boolean> {
  for (const name of fleet.boxes.keys()) {
    // A call to a suspended box would block until it resumes.
    if (fleet.clocks.get(name)?.isSuspended === true) continue;
    const priority = random.between(0, 2);
    const times = schedule === null ? {} : { schedule };
    const done = await fleet.submit(name, id, { steps, priority, ...times })
      .then(() => true, () => false);
    if (done) return true;
  }
  return false;
}

/** Accelerators of the endpoints. */
const SIZES: readonly number[] = [2, 2, 1, 1];

/** Additional faults of a simulation. */
export interface FaultOptions extends listings.ListingFaultOptions {
  readonly changesCapacity?: boolean;
  /** The coordinator is often stopped, so that it hands over. */
  readonly handsOver?: boolean;
  /** Logger of each box, to trace a seed. */
  readonly logOf?: (box: string, clock: Ports.Clock) => Logger.Logger;
  readonly suspends?: boolean;
  readonly evacuates?: boolean;
  /** Data centres lose power at random and return cold; needs `evacuates`. */
  readonly losesPower?: boolean;
  /** Stops, and the ends of a gang's other members, are delayed. */
  readonly delaysEnds?: boolean;
  /** Crashed endpoints restart, mostly under the same id. */
  readonly restartsEndpoints?: boolean;
  /** Many runs fail, and endpoints are often unreachable right after a failure. */
  readonly failsOften?: boolean;
  /** Teams of uneven size submit more work than endpoints of uneven speed can hold. */
  readonly hasHardLoad?: boolean;
  /** Many workflows run their steps in several rounds. */
  readonly schedules?: boolean;
}

/** Longest time from the first end in a gang to that of another member, in ms. */
const MAX_GANG_END_DELAY_MS = 400;

/** Delays the ends of stopped runs and of the other members of a gang. */
function delayEnds({ workers }: fleets.TestFleet, seed: number): void {
  const random = new randoms.SeededRandom(seed);
  workers.stopDelayMs = () => random.between(0, fleets.FLEET_BOUNDS.stopMs);
  workers.gangEndDelayMs = () => random.between(0, MAX_GANG_END_DELAY_MS);
}

/** Allows two or three failed runs, as the seed is even or odd. */
function buildAccessOf(seed: number): Ports.AccessConfig {
  return fleets.buildAccessWithAttempts(2 + seed % 2);
}

/** Places endpoints of each size in both data centres. */
const dataCentreOf = (place: number) => place % 2 === 0 ? "dc-1" : "dc-2";

/** Simulates one seed; returns a message for each violated guarantee. */
export async function simulateRandomFaults(
  seed: number,
  options: FaultOptions = {},
): Promise<string[]> {
  const fleet = new fleets.TestFleet({
    seed,
    workers: SIZES,
    dataCentreOf,
    ...(options.logOf === undefined ? {} : { logOf: options.logOf }),
    ...(options.hasHardLoad ? hardLoads.HARD_LOAD_OPTIONS : {}),
    ...(options.failsOften ? { config: buildAccessOf(seed) } : {}),
  });
  const hardLoad = options.hasHardLoad
    ? new hardLoads.HardLoadWork(fleet, seed)
    : null;
  const capacities = options.changesCapacity
    ? new capacityChanges.CapacityChanges(fleet, { seed, sizes: SIZES })
    : null;
  const suspensions = options.suspends
    ? new boxSuspensions.Suspensions(fleet, seed)
    : null;
  const evacuations = options.evacuates
    ? new evacuated.Evacuations(fleet, {
      seed,
      dataCentres: ["dc-1", "dc-2"],
      losesPower: options.losesPower ?? false,
    })
    : null;
  const restarts = options.restartsEndpoints
    ? new endpointRestarts.EndpointRestarts(fleet, seed)
    : null;
  const random = new randoms.SeededRandom(seed);
  const grey = new greyEndpoints.GreyEndpoints(fleet);
  const silences = options.failsOften
    ? new failureSilences.FailureSilences(fleet, seed)
    : null;
  const failShare = options.failsOften ? HIGH_FAIL_SHARE : FAIL_SHARE;
  const listingFaults = new listings.ListingFaults(fleet, seed, options);
  const outcomeOf = (endpoint: string) =>
    grey.isSilent(endpoint) || silences?.isSilent(endpoint)
      ? StandIns.OrderOutcome.Lost
      : listingFaults.outcomeOf(endpoint);
  fleet.workers.behave = (task, endpoint) => ({
    runMs: grey.has(endpoint)
      ? greyEndpoints.GREY_FAILS_MS
      : random.between(300, 2500) * (hardLoad?.runTimeFactorOf(endpoint) ?? 1),
    fails: grey.has(endpoint) || random.next() < failShare,
    ...(task.startsWith(checks.CRASHING_ID_PREFIX)
      ? {
        runMs: END_TIMEOUT_MS,
        crashesAfterMs: random.choose(CRASH_DELAYS_MS),
      }
      : {}),
  });
  if (options.delaysEnds) delayEnds(fleet, seed);
  // With three members, the two others may end at different times.
  const gang = options.delaysEnds ? 3 : 2;
  await fleet.start();
  const accepted: string[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const kind = random.next() < CRASHER_SHARE
      ? checks.CRASHING_ID_PREFIX
      : "a";
    const id = `${kind}${String(round).padStart(15, "0")}`;
    const isScheduled = options.schedules === true &&
      kind !== checks.CRASHING_ID_PREFIX && random.next() < SCHEDULED_SHARE;
    const work = isScheduled
      ? drawScheduledWork(random, fleet.clock.wallMs())
      : drawWork(random, gang);
    if (await submitToAnyBox(fleet, random, id, work)) accepted.push(id);
    await hardLoad?.submitBatch();
    disruptOrders(fleet, random, random.choose(ORDER_FAULT_SHARES), outcomeOf);
    capacities?.change();
    suspensions?.next();
    evacuations?.change();
    const faults = random.between(1, 3);
    for (let i = 0; i < faults; i++) {
      listingFaults.change();
      restarts?.change();
      await injectFault(fleet, random, grey, options);
      await fleet.clock.advance(PHASE_MS);
    }
    repairBoxes(fleet);
    grey.clear();
    await fleet.clock.advance(PHASE_MS);
  }
  fleet.workers.decideOutcome = () => StandIns.OrderOutcome.Delivered;
  capacities?.restore();
  suspensions?.end();
  evacuations?.endAll();
  listingFaults.endAll();
  accepted.push(...hardLoad?.accepted ?? []);
  const isOver = (id: string) => {
    const state = fleet.state(id);
    return state !== null && Workflow.isFinal(state);
  };
  const standstills = new standstill.StandstillCheck(fleet);
  const ended = await fleet.until(() => {
    standstills.check(accepted);
    return accepted.every(isOver);
  }, END_TIMEOUT_MS);
  const violations = checks.findRunViolations(fleet);
  violations.push(...capacities?.findViolations() ?? []);
  violations.push(...evacuations?.findViolations() ?? []);
  violations.push(...hardLoad?.findViolations() ?? []);
  violations.push(
    ...accepted.flatMap((id) => checks.checkFailedWorkflow(fleet, id)),
  );
  violations.push(...standstills.violations);
  if (!ended) {
    violations.push(
      `workflows that did not end: ${accepted.filter((id) => !isOver(id))}`,
    );
  }
  listingFaults.stop();
  restarts?.end();
  await fleet.stop();
  return violations;
}
