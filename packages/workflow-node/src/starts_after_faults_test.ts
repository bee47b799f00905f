/**
 * Guards against accepted work that stays queued after faults: once all faults have
 * been cleared for a few seconds, every unfinished workflow must run, because most
 * endpoints are free. The sequences of faults are longer than those of
 * `random_faults_test.ts`, and the bound is a few seconds.
 * CAIRNGATE_CALM_RUNS sets the number of seeds, CAIRNGATE_CALM_FIRST the first one.
 */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import process from "node:process";
import * as vitest from "vitest";

const SEEDS = Number(process.env["CAIRNGATE_CALM_RUNS"] ?? 4);
const FIRST_SEED = Number(process.env["CAIRNGATE_CALM_FIRST"] ?? 1);
/** Rounds of faults, each followed by a quiet period, in one scenario. */
const ROUNDS = 6;
/** Workflows of one batch of submissions. */
const BATCH_SIZE = 4;
/** Time that the fleet has to recover after the faults are cleared, in ms. */
const RECOVERY_MS = 4000;
/** Longest time that a workflow may wait in a quiet period, in ms. */
const MAX_WAIT_MS = 3000;
/** Interval at which running workflows are sampled, in ms. */
const SAMPLE_MS = 50;
/** Accelerators of each endpoint; the work needs less than a third of all. */
const ENDPOINTS: readonly number[] = [4, 4, 4, 4, 4, 4, 4, 4];
/** Ended workflows whose rows a new coordinator has to read. */
const ENDED_WORKFLOWS = 160;

/** Transfer time of a kilobyte at 4 Mbit/s, in ms. */
const SLOW_LINK_MS = 2;

/** Test limit in ms; a scenario takes 8 s on an idle processor, more on a busy one. */
const TEST_TIMEOUT_MS = 120_000;

/** Injects a fault, which is cleared at the end of the round. */
type Fault = (scenario: Scenario) => Promise<void> | void;

class Scenario {
  readonly fleet: TestUtils.TestFleet;
  readonly random: TestUtils.SeededRandom;
  readonly accepted: string[] = [];
  /** Indexes of endpoints that are not listed. */
  readonly unlisted = new Set<number>();
  #submitted = 0;

  constructor(seed: number) {
    this.random = new TestUtils.SeededRandom(seed);
    this.fleet = new TestUtils.TestFleet({
      seed,
      boxes: 4,
      workers: ENDPOINTS,
    });
    this.fleet.workers.behave = () => ({
      runMs: this.random.between(300, 4000),
      fails: false,
    });
  }

  get names(): readonly string[] {
    return [...this.fleet.boxes.keys()];
  }

  get randomName(): string {
    return this.random.choose(this.names);
  }

  async submitBatch(): Promise<void> {
    for (let i = 0; i < BATCH_SIZE; i++) {
      const id = `a${String(this.#submitted++).padStart(15, "0")}`;
      if (await this.#submit(id)) this.accepted.push(id);
    }
  }

  /** Submits to the first box that accepts; returns whether one did. */
  async #submit(id: string): Promise<boolean> {
    const steps = [
      TestUtils.buildStep({ count: this.random.between(1, 2) }),
      TestUtils.buildStep({ count: 2, gang: true, after: [0] }),
    ];
    const priority = this.random.between(0, 2);
    for (const name of this.names) {
      const isAccepted = await this.fleet.submit(name, id, { steps, priority })
        .then(() => true, () => false);
      if (isAccepted) return true;
    }
    return false;
  }

  /** Kills a box and starts it again. */
  async restart(name: string): Promise<void> {
    if (!this.fleet.boxes.has(name)) return;
    await this.fleet.kill(name);
    this.fleet.startBox(name);
  }

  setFaults(
    faults: Parameters<ReturnType<TestUtils.TestFleet["faultsOf"]>["set"]>[0],
    names = this.names,
  ): void {
    for (const name of names) this.fleet.faultsOf(name).set(faults);
  }

  clearFaults(): void {
    this.setFaults({
      down: false,
      silent: false,
      downPartitions: [],
      loseAnswers: 0,
      hideChanges: false,
      delayMs: 0,
    });
    this.fleet.links.isReachable = () => true;
    for (const index of this.unlisted) this.list(index);
    this.unlisted.clear();
  }

  list(index: number): void {
    const accelerators = ENDPOINTS[index];
    this.fleet.list({ id: `worker-${index}`, accelerators }, index);
  }

  unlist(index: number): void {
    this.unlisted.add(index);
    this.fleet.unlist(`worker-${index}`);
  }
}

const FAULTS: readonly Fault[] = [
  (scenario) =>
    scenario.restart(scenario.fleet.coordinator() ?? scenario.randomName),
  async (scenario) => {
    const { fleet, names } = scenario;
    for (const name of names) await fleet.kill(name);
    await fleet.clock.advance(scenario.random.between(100, 1500));
    for (const name of names) fleet.startBox(name);
  },
  async (scenario) => {
    for (const name of scenario.names) {
      await scenario.fleet.run(scenario.fleet.box(name).leave());
      await scenario.restart(name);
      await scenario.fleet.clock.advance(1500);
    }
  },
  (scenario) => scenario.setFaults({ down: true }),
  (scenario) => scenario.setFaults({ down: true }, [scenario.randomName]),
  (scenario) => scenario.setFaults({ silent: true }, [scenario.randomName]),
  (scenario) => scenario.setFaults({ delayMs: 300 }),
  (scenario) => scenario.setFaults({ loseAnswers: 0.3 }),
  (scenario) => scenario.setFaults({ hideChanges: true }),
  (scenario) => scenario.fleet.table.forgetHistory(),
  (scenario) => {
    const isDown = () => scenario.random.next() < 0.4;
    const downPartitions = TableClient.Keys.PARTITIONS.filter(isDown);
    scenario.setFaults({ downPartitions });
  },
  (scenario) => scenario.fleet.silenceConnections(),
  (scenario) => {
    const isolated = scenario.randomName;
    scenario.fleet.links.isReachable = (from, to) =>
      from !== isolated && to !== isolated;
  },
  (scenario) => {
    for (const index of ENDPOINTS.keys()) {
      if (scenario.random.next() < 0.7) scenario.unlist(index);
    }
  },
];

/** Returns the workflows that have a running task on an endpoint. */
function findRunningIds(fleet: TestUtils.TestFleet): Set<string> {
  fleet.workers.update();
  const running = fleet.workers.runs.filter(({ endedAtMs }) =>
    endedAtMs === null
  );
  return new Set(running.map(({ task }) => task.split(".")[0]));
}

/** Returns the workflows that wait for too long in a quiet period. */
async function findDelayed(scenario: Scenario): Promise<string[]> {
  const { fleet, accepted } = scenario;
  await fleet.clock.advance(RECOVERY_MS);
  const lastRunningAtMs = new Map<string, number>();
  const quietSinceMs = fleet.clock.monotonicMs();
  const delayed = new Set<string>();
  for (let ms = 0; ms <= MAX_WAIT_MS * 2; ms += SAMPLE_MS) {
    await fleet.clock.advance(SAMPLE_MS);
    const nowMs = fleet.clock.monotonicMs();
    for (const id of findRunningIds(fleet)) lastRunningAtMs.set(id, nowMs);
    for (const id of accepted) {
      const state = fleet.state(id);
      if (state !== null && Workflow.isFinal(state)) continue;
      const waitedMs = nowMs - (lastRunningAtMs.get(id) ?? quietSinceMs);
      if (waitedMs > MAX_WAIT_MS) delayed.add(id);
    }
  }
  return [...delayed];
}

async function runScenario(
  seed: number,
  kilobyteMs = 0,
): Promise<string[]> {
  const scenario = new Scenario(seed);
  const { fleet, random } = scenario;
  const ended = kilobyteMs > 0 ? ENDED_WORKFLOWS : 0;
  for (let i = 0; i < ended; i++) TestUtils.writeEnded(fleet, i);
  await fleet.start();
  const violations: string[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const faultIndexes: number[] = [];
    scenario.setFaults({ kilobyteMs });
    await scenario.submitBatch();
    const faults = random.between(1, 4);
    for (let i = 0; i < faults; i++) {
      const faultIndex = random.between(0, FAULTS.length - 1);
      faultIndexes.push(faultIndex);
      await FAULTS[faultIndex](scenario);
      scenario.setFaults({ kilobyteMs });
      await fleet.clock.advance(random.between(50, 1500));
      if (random.next() < 0.5) await scenario.submitBatch();
    }
    scenario.clearFaults();
    const delayed = await findDelayed(scenario);
    if (delayed.length > 0) {
      violations.push(`round ${round}, faults ${faultIndexes}: ${delayed}`);
    }
  }
  await fleet.stop();
  return violations;
}

vitest.describe("in a quiet period after faults", () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    vitest.it(`nothing waits for free endpoints, seed ${seed}`, async () => {
      vitest.expect(await runScenario(seed)).toEqual([]);
    }, TEST_TIMEOUT_MS);
    vitest.it(`nothing waits on slow links, seed ${seed}`, async () => {
      vitest.expect(await runScenario(seed, SLOW_LINK_MS)).toEqual([]);
    }, TEST_TIMEOUT_MS);
  }
});
