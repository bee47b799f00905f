import * as TestUtils from "@cairngate/test-utils";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import process from "node:process";
import * as vitest from "vitest";

const { describe, expect, test } = vitest;
const { Loss, SeededRandom, TestCluster } = TestUtils;

/** Number of seeds; the default is that of CI. */
const RUNS = Number(process.env["CAIRNGATE_FAULT_RUNS"] ?? 25);
const STEPS_PER_RUN = 25;
const RECOVERY_MS = 20_000;
const BOXES = ["box_1", "box_2", "box_3"];

/** The answer to one caller. */
interface CallerOutcome {
  readonly request: string;
  readonly jobId: string | null;
  readonly kind: string;
  readonly result: unknown;
}

/** Submits random work under random faults, all drawn from one seed. */
class RandomFaultRun {
  readonly cluster: TestUtils.TestCluster;
  readonly random: TestUtils.SeededRandom;
  readonly outcomes: CallerOutcome[] = [];
  readonly longIds: string[] = [];
  readonly paused = new Set<string>();
  readonly dead = new Set<string>();
  readonly waiting: Promise<void>[] = [];
  lossShare = 0;

  constructor(seed: number) {
    const cfg = TestUtils.buildDeployment({
      workersPerRack: 3,
      teams: [TestUtils.buildTeam("a", { guarantee: [[8, 1]] })],
    });
    this.cluster = new TestCluster({ seed, cfg });
    this.random = new SeededRandom(seed);
  }

  async run(): Promise<void> {
    await this.cluster.start();
    this.#drawLosses();
    for (let step = 0; step < STEPS_PER_RUN; step++) {
      for (let i = this.random.between(0, 2); i > 0; i--) this.#submit(step);
      if (this.random.next() < 0.5) await this.#fault();
      await this.cluster.clock.advance(this.random.between(50, 1500));
    }
    await this.#clearFaults();
    await Promise.all(this.waiting);
  }

  async check(): Promise<void> {
    const { cluster, outcomes } = this;
    const summary = cluster.summary();
    expect(summary.repeatedStarts).toEqual([]);
    expect(summary.partialGangs).toEqual([]);
    const started = new Set(
      cluster.runLog.entries.filter((e) => e.event === "started")
        .map((e) => e.jobId),
    );
    for (const { kind, result, request, jobId } of outcomes) {
      if (kind === "done") expect(result).toMatchObject({ request });
      if (kind === "not-run") expect(started.has(jobId!)).toBe(false);
    }
    for (const id of this.longIds) {
      const ended = await cluster.run(
        cluster.box(BOXES[0]).entry.status(id, 120),
        130_000,
      );
      expect([Types.JobState.Done, Types.JobState.Unknown]).toContain(
        ended.state,
      );
    }
    expect(cluster.summary().repeatedStarts).toEqual([]);
  }

  /** Makes each box lose a share of its orders to workers and their answers. */
  #drawLosses(): void {
    for (const name of BOXES) this.#setLosses(name);
  }

  #setLosses(name: string): void {
    const losable = ["hold", "start", "run", "stop", "report"];
    this.cluster.links.get(name)!.rule = (order) => {
      if (!losable.includes(order)) return Loss.None;
      if (this.random.next() >= this.lossShare) return Loss.None;
      return this.random.choose([Loss.Order, Loss.Answer]);
    };
  }

  #submit(step: number): void {
    const alive = BOXES.filter((b) => !this.dead.has(b) && !this.paused.has(b));
    const box = this.random.choose(alive);
    const request = `${step}-${this.outcomes.length}-${
      this.random.between(0, 1e6)
    }`;
    const runMs = this.random.between(10, 3000);
    const input = { request, runMs };
    const service = this.random.choose(["scan", "diagnose", "once", "rebuild"]);
    const isLong = service === "once" || service === "rebuild";
    const gang = isLong ? this.random.choose([1, 2, 4]) : 1;
    const body = { service, input, gang };
    const submitted = this.cluster.submit(box, body, { key: request });
    const recorded = Effect.match(submitted, {
      onSuccess: (found) => {
        if (found.kind === "accepted") {
          this.longIds.push(found.record.job.id);
          return;
        }
        const { kind, jobId, result } = found.outcome;
        this.outcomes.push({ request, jobId, kind, result });
      },
      onFailure: () => {},
    });
    // Callers of a killed box get no answer, so the wait ends with the box.
    const boxInstance = this.cluster.box(box);
    const boxDied = Effect.gen({ self: this }, function* () {
      while (this.cluster.boxes.get(box) === boxInstance) {
        yield* this.cluster.clock.sleep(500);
      }
    });
    this.waiting.push(Effect.runPromise(Effect.raceFirst(recorded, boxDied)));
  }

  async #fault(): Promise<void> {
    const { cluster, random } = this;
    switch (random.between(0, 8)) {
      case 0:
        return this.#kill();
      case 1:
        return await this.#restartDead();
      case 2:
        return this.#pause();
      case 3:
        return this.#resume();
      case 4:
        return cluster.faults.set({ down: random.next() < 0.5 });
      case 5:
        return cluster.faults.set({ loseAnswers: random.choose([0, 0.3]) });
      case 6:
        this.lossShare = random.choose([0, 0, 0.1]);
        return;
      case 7:
        return random.choose([...cluster.workers.values()]).restart();
      default: {
        const name = random.choose([...cluster.workers.keys()]);
        return cluster.live.mark(name, random.next() < 0.5);
      }
    }
  }

  async #kill(): Promise<void> {
    const alive = BOXES.filter((b) => !this.dead.has(b) && !this.paused.has(b));
    if (alive.length < 2) return;
    const box = this.random.choose(alive);
    this.dead.add(box);
    await this.cluster.kill(box);
  }

  async #restartDead(): Promise<void> {
    for (const box of this.dead) {
      await this.cluster.restart(box);
      this.#setLosses(box);
    }
    this.dead.clear();
  }

  #pause(): void {
    const alive = BOXES.filter((b) => !this.dead.has(b) && !this.paused.has(b));
    if (alive.length < 2) return;
    const box = this.random.choose(alive);
    this.paused.add(box);
    this.cluster.clocks.get(box)!.pause();
  }

  #resume(): void {
    for (const box of this.paused) this.cluster.clocks.get(box)!.resume();
    this.paused.clear();
  }

  async #clearFaults(): Promise<void> {
    this.lossShare = 0;
    this.cluster.faults.set({ down: false, loseAnswers: 0 });
    for (const name of this.cluster.workers.keys()) {
      this.cluster.live.mark(name, false);
    }
    this.#resume();
    await this.#restartDead();
    await this.cluster.clock.advance(RECOVERY_MS);
    await this.cluster.clock.advance(RECOVERY_MS);
  }
}

describe("random faults of all kinds", () => {
  const first = Number(process.env["CAIRNGATE_FAULT_SEED"] ?? 1);
  const seeds = Array.from({ length: RUNS }, (_, i) => first + i);
  test.each(seeds)("keep all invariants, seed %i", async (seed) => {
    const run = new RandomFaultRun(seed);
    await run.run();
    await run.check();
  });
});
