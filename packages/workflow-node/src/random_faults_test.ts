/**
 * Random faults over several nodes: kills, outages of the store for one node or
 * all, or of some partitions, cut links, lost answers, connections that turn
 * silent, orders that are lost, unanswered or late, failing runs, endpoints that
 * crash, that fail all they start and are not heard then, and tasks that crash
 * their endpoints.
 * CAIRNGATE_FAULT_RUNS sets how many seeds are played, CAIRNGATE_FAULT_FROM the
 * first of them.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import process from "node:process";
import * as vitest from "vitest";

const SEEDS = Number(process.env["CAIRNGATE_FAULT_RUNS"] ?? 12);
const FIRST_SEED = Number(process.env["CAIRNGATE_FAULT_FROM"] ?? 1);
const ROUNDS = 12;
const ROUND_MS = 900;
/** Times from the start of a crashing task to its crash, in ms. */
const CRASH_AFTER_MS: readonly number[] = [0, 10, 400, 1500];
/** Share of the workflows whose tasks crash their endpoints. */
const CRASHER_SHARE = 0.15;
/** Shares of the orders that go astray in a round. */
const ORDER_SHARES: readonly number[] = [0, 0.1, 0.6];
const END_LIMIT_MS = 120_000;

/** What went wrong, in words. */
function findViolations(fleet: TestUtils.TestFleet): string[] {
  fleet.workers.settle();
  const byTask = new Map<string, StandIns.TaskRunNote[]>();
  for (const note of fleet.workers.runs) {
    byTask.set(note.task, [...byTask.get(note.task) ?? [], note]);
  }
  return [...byTask.values()].flatMap(checkRuns);
}

/** Failed runs after which nothing of a task starts; the queues say so. */
const ATTEMPTS = 3;
/** Crashes of a task after which its starts are counted, and how many may come. */
const CRASHES = 3;
const STARTS_LEFT = 2;
/** Workflows whose tasks crash their endpoints begin so. */
const CRASHER = "c";

function checkRuns(runs: readonly StandIns.TaskRunNote[]): string[] {
  const found = [...checkAttempts(runs), ...checkCrashes(runs)];
  for (const first of runs) {
    for (const second of runs) {
      if (first === second || second.startedAtMs < first.startedAtMs) continue;
      const endedAtMs = first.endedAtMs ?? Number.POSITIVE_INFINITY;
      const pair = `${first.task} runs ${first.run} and ${second.run}`;
      if (second.startedAtMs < endedAtMs) found.push(`${pair} at once`);
      if (isNotedDone(first)) found.push(`${pair}: the first was done`);
    }
  }
  return found;
}

/** No start after as many failed ends as are allowed, if they were noted. */
function checkAttempts(runs: readonly StandIns.TaskRunNote[]): string[] {
  const failed = runs.filter((note) => note.how === "failed" && isNoted(note))
    .sort((a, b) => (a.endedAtMs ?? 0) - (b.endedAtMs ?? 0));
  const last = failed[ATTEMPTS - 1];
  if (last === undefined) return [];
  const late = runs.filter((note) => note.startedAtMs > (last.endedAtMs ?? 0));
  return late.map(({ task, run }) => `${task} run ${run} after its attempts`);
}

/** A task that crashes its endpoints is given up. */
function checkCrashes(runs: readonly StandIns.TaskRunNote[]): string[] {
  const [{ task }] = runs;
  if (!task.startsWith(CRASHER)) return [];
  const crashes = runs.filter(({ how }) => how === "crashed")
    .map(({ endedAtMs }) => endedAtMs ?? 0).sort((a, b) => a - b);
  if (crashes.length < CRASHES) return [];
  const late = runs.filter(({ startedAtMs }) =>
    startedAtMs > crashes[CRASHES - 1]
  );
  return late.length > STARTS_LEFT
    ? [`${task}: ${late.length} starts after its third crash`]
    : [];
}

/** Crashes under a task after which the operators' rules let it be given up. */
const CRASHES_TO_GIVE_UP = 2;

/** A workflow that failed has a task that failed or crashed too often. */
function checkFailed(fleet: TestUtils.TestFleet, id: string): string[] {
  if (fleet.state(id) !== Workflow.WorkflowState.Failed) return [];
  const runs = fleet.workers.runs.filter(({ task }) =>
    task.startsWith(`${id}.`)
  );
  const count = (task: string, how: string) =>
    runs.filter((note) => note.task === task && note.how === how).length;
  const hasCause = runs.some(({ task }) =>
    count(task, "failed") >= ATTEMPTS ||
    count(task, "crashed") >= CRASHES_TO_GIVE_UP
  );
  return hasCause ? [] : [`${id} failed without a cause`];
}

function isNoted(note: StandIns.TaskRunNote): boolean {
  return note.acknowledgedAtMs !== null && !note.hasLapsedMeanwhile;
}

/** An end that is noted stands, unless the lease ran out before it was. */
function isNotedDone(note: StandIns.TaskRunNote): boolean {
  return note.how === "done" && isNoted(note);
}

/** Breaks one thing. */
async function breakSomething(
  fleet: TestUtils.TestFleet,
  random: TestUtils.SeededRandom,
  grey: GreyEndpoints,
): Promise<void> {
  const names = [...fleet.nodes.keys()];
  const name = random.choose(names);
  switch (random.between(0, 11)) {
    case 0: {
      const victim = fleet.coordinator() ?? name;
      if (!fleet.nodes.has(victim)) return;
      await fleet.kill(victim);
      fleet.startNode(`${victim}+`);
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
      fleet.links.passes = (from, to) => from !== cut && to !== cut;
      return;
    }
    case 8:
      return fleet.silenceOpen();
    case 9:
      return fleet.workers.crash(random.choose(fleet.workers.listLives()));
    case 10:
      for (const id of fleet.workers.listLives()) fleet.workers.crash(id);
      return;
    case 11:
      return grey.add(random.choose(fleet.workers.listLives()));
    case 3:
      return fleet.faultsOf(name).set({ loseAnswers: 0.4 });
    case 4: {
      const isAway = () => random.next() < 0.35;
      const downPartitions = TableClient.Keys.PARTITIONS.filter(isAway);
      for (const each of names) fleet.faultsOf(each).set({ downPartitions });
      return;
    }
    default:
      return fleet.faultsOf(name).set({ delayMs: 120 });
  }
}

/** Time from a start on a grey endpoint to its failure, in ms. */
const GREY_FAILS_MS = 40;
/** Time for which a grey endpoint is not heard after a failure, in ms. */
const GREY_SILENT_MS = 1500;

/** Endpoints that fail what they start, and tell of it late. */
class GreyEndpoints {
  readonly #ids = new Set<string>();
  readonly #fleet: TestUtils.TestFleet;

  constructor(fleet: TestUtils.TestFleet) {
    this.#fleet = fleet;
  }

  add(id: string): void {
    this.#ids.add(id);
  }

  clear(): void {
    this.#ids.clear();
  }

  has(id: string): boolean {
    return this.#ids.has(id);
  }

  /** Whether a run has failed there lately. */
  isSilent(id: string): boolean {
    if (!this.#ids.has(id)) return false;
    const sinceMs = this.#fleet.clock.monotonicMs() - GREY_SILENT_MS;
    return this.#fleet.workers.runs.some(({ worker, how, endedAtMs }) =>
      worker === id && how === "failed" && (endedAtMs ?? 0) > sinceMs
    );
  }
}

function mendNodes(fleet: TestUtils.TestFleet): void {
  fleet.links.passes = () => true;
  for (const name of fleet.nodes.keys()) {
    fleet.faultsOf(name).set({
      down: false,
      silent: false,
      downPartitions: [],
      loseAnswers: 0,
      delayMs: 0,
    });
  }
}

/** Lets some orders go astray. */
function breakOrders(
  fleet: TestUtils.TestFleet,
  random: TestUtils.SeededRandom,
  share: number,
  grey: GreyEndpoints,
): void {
  const fates = [
    StandIns.OrderFate.Lost,
    StandIns.OrderFate.AnswerLost,
    StandIns.OrderFate.Late,
  ];
  fleet.workers.carry = (endpoint) => {
    if (grey.isSilent(endpoint)) return StandIns.OrderFate.Lost;
    return random.next() < share
      ? random.choose(fates)
      : StandIns.OrderFate.Carried;
  };
}

/** Hands in somewhere; a refusal is tried again at other nodes. */
async function submitSomewhere(
  fleet: TestUtils.TestFleet,
  random: TestUtils.SeededRandom,
  id: string,
): Promise<boolean> {
  const steps = [
    TestUtils.buildStep({ count: random.between(1, 3) }),
    TestUtils.buildStep({ count: 2, gang: true, after: [0] }),
  ];
  for (const name of fleet.nodes.keys()) {
    // A call there would last as long as the box stands still.
    if (fleet.clocks.get(name)?.isSuspended === true) continue;
    const priority = random.between(0, 2);
    const done = await fleet.submit(name, id, { steps, priority })
      .then(() => true, () => false);
    if (done) return true;
  }
  return false;
}

/** A shrunk room counts from then on, in ms: operators give contact and a beat. */
const ROOM_KNOWN_MS = 4500;
/** Accelerators of the endpoints. */
const SIZES: readonly number[] = [2, 2, 1, 1];

/** Rooms of the endpoints that shrink and grow, as their listings tell. */
class ChangingRooms {
  readonly #fleet: TestUtils.TestFleet;
  readonly #random: TestUtils.SeededRandom;
  readonly #changes: { id: string; atMs: number; room: number }[] = [];

  constructor(fleet: TestUtils.TestFleet, seed: number) {
    this.#fleet = fleet;
    // Draws of its own: the other faults of a seed stay as they are.
    this.#random = new TestUtils.SeededRandom(seed + 0.5);
    fleet.workers.guardsRoom = false;
  }

  /** One endpoint says that its room is another. */
  change(): void {
    const lives = this.#fleet.workers.listLives();
    if (lives.length === 0) return;
    const id = this.#random.choose(lives);
    this.#set(id, this.#random.between(0, this.#sizeOf(id)));
  }

  /** All endpoints have all of their room again. */
  restore(): void {
    for (const id of this.#fleet.workers.listLives()) {
      this.#set(id, this.#sizeOf(id));
    }
  }

  /** Starts that brought an endpoint over what it had said for long enough. */
  findViolations(): string[] {
    const { runs } = this.#fleet.workers;
    return runs.flatMap(({ task, run, worker, startedAtMs }) => {
      const held = runs.filter((note) =>
        note.worker === worker && note.startedAtMs <= startedAtMs &&
        (note.endedAtMs ?? Number.POSITIVE_INFINITY) > startedAtMs
      );
      const room = this.#roomAt(worker, startedAtMs);
      return held.length > room
        ? [`${task} run ${run}: ${held.length} on a room of ${room}`]
        : [];
    });
  }

  #set(id: string, room: number): void {
    const place = this.#fleet.placeOf(id);
    this.#fleet.list({ id, accelerators: room }, place);
    this.#changes.push({ id, atMs: this.#fleet.clock.monotonicMs(), room });
  }

  #sizeOf(id: string): number {
    return SIZES[this.#fleet.placeOf(id)];
  }

  /** The most that it has said of itself in the time that counts. */
  #roomAt(id: string, atMs: number): number {
    const own = this.#changes.filter((one) => one.id === id && one.atMs < atMs);
    const before = own.filter((one) => one.atMs <= atMs - ROOM_KNOWN_MS);
    const counted = own.slice(Math.max(0, before.length - 1));
    const rooms = counted.map(({ room }) => room);
    if (before.length === 0) rooms.push(this.#sizeOf(id));
    return Math.max(...rooms);
  }
}

/** Shortest and longest time for which a box stands still, in ms. */
const SUSPENDED_MS: readonly [number, number] = [1000, 10_000];
/** How far the time of day steps on some of them, in ms. */
const WALL_STEPS_MS: readonly number[] = [0, 0, -2000, 2000];

/** Boxes that stand still, the coordinator first, with their steady clocks. */
class Suspensions {
  readonly #fleet: TestUtils.TestFleet;
  readonly #random: TestUtils.SeededRandom;
  readonly #untilMs = new Map<string, number>();

  constructor(fleet: TestUtils.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new TestUtils.SeededRandom(seed + 0.25);
  }

  /** One box stands still from now on; others go on when their time is over. */
  next(): void {
    this.#resumeDue();
    const names = [...this.#fleet.nodes.keys()];
    const coordinator = this.#fleet.coordinator();
    const isKnown = coordinator !== null && names.includes(coordinator);
    const name = isKnown && this.#random.next() < 0.7
      ? coordinator
      : this.#random.choose(names);
    const clock = this.#fleet.clocks.get(name);
    if (clock === undefined) return;
    const lastsMs = this.#random.between(...SUSPENDED_MS);
    this.#untilMs.set(name, this.#fleet.clock.monotonicMs() + lastsMs);
    clock.wallAheadMs = this.#random.choose(WALL_STEPS_MS);
    clock.suspend();
  }

  /** All boxes go on. */
  end(): void {
    for (const clock of this.#fleet.clocks.values()) clock.resume();
  }

  #resumeDue(): void {
    const nowMs = this.#fleet.clock.monotonicMs();
    for (const [name, untilMs] of this.#untilMs) {
      if (untilMs > nowMs) continue;
      this.#untilMs.delete(name);
      this.#fleet.clocks.get(name)?.resume();
    }
  }
}

/** Kinds of faults beside the usual ones. */
interface PlayKinds {
  readonly changesRooms?: boolean;
  readonly suspends?: boolean;
}

async function play(seed: number, kinds: PlayKinds = {}): Promise<string[]> {
  const fleet = new TestUtils.TestFleet({ seed, workers: SIZES });
  const rooms = kinds.changesRooms ? new ChangingRooms(fleet, seed) : null;
  const suspensions = kinds.suspends ? new Suspensions(fleet, seed) : null;
  const random = new TestUtils.SeededRandom(seed);
  const grey = new GreyEndpoints(fleet);
  fleet.workers.behave = (task, endpoint) => ({
    runMs: grey.has(endpoint) ? GREY_FAILS_MS : random.between(300, 2500),
    fails: grey.has(endpoint) || random.next() < 0.02,
    ...(task.startsWith(CRASHER)
      ? { runMs: END_LIMIT_MS, crashesAfterMs: random.choose(CRASH_AFTER_MS) }
      : {}),
  });
  await fleet.start();
  const accepted: string[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const kind = random.next() < CRASHER_SHARE ? CRASHER : "a";
    const id = `${kind}${String(round).padStart(15, "0")}`;
    if (await submitSomewhere(fleet, random, id)) accepted.push(id);
    breakOrders(fleet, random, random.choose(ORDER_SHARES), grey);
    rooms?.change();
    suspensions?.next();
    const faults = random.between(1, 3);
    for (let i = 0; i < faults; i++) {
      await breakSomething(fleet, random, grey);
      await fleet.clock.advance(ROUND_MS);
    }
    mendNodes(fleet);
    grey.clear();
    await fleet.clock.advance(ROUND_MS);
  }
  fleet.workers.carry = () => StandIns.OrderFate.Carried;
  rooms?.restore();
  suspensions?.end();
  const isOver = (id: string) => {
    const state = fleet.state(id);
    return state !== null && Workflow.isFinal(state);
  };
  const ended = await fleet.until(() => accepted.every(isOver), END_LIMIT_MS);
  const violations = findViolations(fleet);
  violations.push(...rooms?.findViolations() ?? []);
  violations.push(...accepted.flatMap((id) => checkFailed(fleet, id)));
  if (!ended) {
    violations.push(`not ended: ${accepted.filter((id) => !isOver(id))}`);
  }
  await fleet.stop();
  return violations;
}

/**
 * Seeds that have shown a fault: 1110 an older listing that ended the newest life
 * of its endpoint; 1129, 1230 and five like them work given up for crashes with
 * which it was not there; 1554 and below work started too often, because nobody
 * knew after a takeover that it had been there.
 */
const FAULTY_SEEDS: readonly number[] = [
  ...[1110, 1129, 1131, 1207, 1230, 1231, 1301, 1336],
  ...[1554, 2135, 2154, 2222, 2255, 2331, 3037, 3257, 3347],
];

vitest.describe("random faults that were found", () => {
  for (const seed of FAULTY_SEEDS) {
    vitest.it(`break nothing any more, seed ${seed}`, async () => {
      vitest.expect(await play(seed)).toEqual([]);
    });
  }
});

vitest.describe("random faults", () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      vitest.expect(await play(seed)).toEqual([]);
    });
  }
});

vitest.describe("random faults and rooms that change", () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    vitest.it(`start nothing without room, seed ${seed}`, async () => {
      vitest.expect(await play(seed, { changesRooms: true })).toEqual([]);
    });
  }
});

vitest.describe("random faults and boxes that stand still", () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    vitest.it(`lose nothing and run nothing twice, seed ${seed}`, async () => {
      vitest.expect(await play(seed, { suspends: true })).toEqual([]);
    });
  }
});
