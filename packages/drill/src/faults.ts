/** Injects the faults of a drill, one after another in seeded order. */
import type * as LocalCluster from "@cairngate/local-cluster";
import type * as Rand from "pure-rand/types/RandomGenerator";
import * as timers from "node:timers/promises";
import * as choices from "./seeded_choice.ts";
import type * as loads from "./load.ts";

/** A kill or pause of the cell's owner. */
export interface OwnerEvent {
  readonly kind: "kill" | "pause";
  readonly atMs: number;
}

/** Injected faults and their effects. */
export interface FaultLog {
  readonly names: string[];
  readonly owners: OwnerEvent[];
  /** Workers and the period in which the live list marked each as leaving. */
  readonly leavingPeriods: { worker: string; atMs: number; untilMs: number }[];
  applied: number;
  conflicts: number;
  /** Time until a version was in force, for each configuration change and box. */
  readonly inForceMs: number[];
}

const CELL = "cell_0";
const PAUSE_MS = 3500;
const OUTAGE_MS = 4000;
const LEAVING_MS = 6000;
const SETTLE_MS = 2500;
const RESTART_AFTER_MS = 1200;
const LOST_ANSWER_SHARE = 0.3;
const CALL_DELAY_MS = 120;
const IN_FORCE_TIMEOUT_MS = 10_000;

/** Injects faults into a cluster under load. */
export class FaultInjector {
  readonly log: FaultLog = {
    names: [],
    owners: [],
    leavingPeriods: [],
    applied: 1,
    conflicts: 0,
    inForceMs: [],
  };
  readonly #cluster: LocalCluster.LocalCluster;
  readonly #load: loads.Load;
  readonly #random: Rand.RandomGenerator;

  constructor(
    parts: {
      cluster: LocalCluster.LocalCluster;
      load: loads.Load;
      random: Rand.RandomGenerator;
    },
  ) {
    this.#cluster = parts.cluster;
    this.#load = parts.load;
    this.#random = parts.random;
  }

  /** Injects one fault of each kind in seeded order, repeatedly until `untilMs`. */
  async run(untilMs: number): Promise<void> {
    while (Date.now() < untilMs) {
      for (const fault of this.#shuffle()) {
        if (Date.now() >= untilMs) return;
        this.log.names.push(fault.name);
        await fault.run();
        await timers.setTimeout(SETTLE_MS);
      }
    }
  }

  #shuffle(): Fault[] {
    const remaining = this.#createFaults();
    const order: Fault[] = [];
    while (remaining.length > 0) {
      const next = choices.choose(this.#random, remaining);
      remaining.splice(remaining.indexOf(next), 1);
      order.push(next);
    }
    return order;
  }

  #createFaults(): Fault[] {
    return [
      { name: "kill-owner", run: () => this.#killOwner() },
      { name: "kill-other", run: () => this.#killOther() },
      { name: "pause-owner", run: () => this.#pauseOwner() },
      { name: "store-outage", run: () => this.#storeOutage() },
      { name: "outage-and-kill", run: () => this.#outageAndKill() },
      { name: "lost-answers", run: () => this.#loseAnswers() },
      { name: "leaving-worker", run: () => this.#leavingWorker() },
      { name: "worker-restart", run: () => this.#restartWorker() },
      { name: "racing-applies", run: () => this.#raceApplies() },
      { name: "rolling-stop", run: () => this.#rollingStop() },
    ];
  }

  async #killOwner(): Promise<void> {
    const owner = await this.#cluster.owner(CELL);
    if (owner === 0) return;
    this.log.owners.push({ kind: "kill", atMs: Date.now() });
    await this.#kill(owner);
  }

  async #killOther(): Promise<void> {
    const owner = await this.#cluster.owner(CELL);
    const others = this.#cluster.runningBoxes().filter((box) => box !== owner);
    await this.#kill(choices.choose(this.#random, others));
  }

  async #kill(box: number): Promise<void> {
    this.#load.excluded.add(box);
    this.#cluster.signal(box, "SIGKILL");
    await this.#cluster.awaitExit(box);
    await timers.setTimeout(RESTART_AFTER_MS);
    await this.#cluster.startBox(box);
    await this.#awaitServing(box);
  }

  async #pauseOwner(): Promise<void> {
    const owner = await this.#cluster.owner(CELL);
    if (owner === 0) return;
    this.log.owners.push({ kind: "pause", atMs: Date.now() });
    this.#load.excluded.add(owner);
    this.#cluster.signal(owner, "SIGSTOP");
    await timers.setTimeout(PAUSE_MS);
    this.#cluster.signal(owner, "SIGCONT");
    this.#load.excluded.delete(owner);
  }

  async #storeOutage(): Promise<void> {
    await this.#setFaults({ down: true });
    await timers.setTimeout(OUTAGE_MS);
    await this.#setFaults({ down: false });
  }

  async #outageAndKill(): Promise<void> {
    await this.#setFaults({ down: true });
    const owner = await this.#cluster.owner(CELL);
    const killing = owner === 0 ? Promise.resolve() : this.#kill(owner);
    await timers.setTimeout(OUTAGE_MS);
    await this.#setFaults({ down: false });
    await killing;
  }

  async #loseAnswers(): Promise<void> {
    await this.#setFaults({
      loseAnswers: LOST_ANSWER_SHARE,
      delayMs: CALL_DELAY_MS,
    });
    await timers.setTimeout(OUTAGE_MS);
    await this.#setFaults({ loseAnswers: 0, delayMs: 0 });
  }

  async #leavingWorker(): Promise<void> {
    const worker = await this.#chooseBusyWorker();
    const atMs = Date.now();
    const listOnly = true;
    await this.#control("leaving", { worker, leaving: true, listOnly });
    await timers.setTimeout(LEAVING_MS);
    this.log.leavingPeriods.push({ worker, atMs, untilMs: Date.now() });
    await this.#control("leaving", { worker, leaving: false, listOnly });
  }

  async #restartWorker(): Promise<void> {
    const worker = await this.#chooseBusyWorker();
    await this.#control("restart", { worker });
  }

  async #raceApplies(): Promise<void> {
    const [a, b] = this.#cluster.runningBoxes();
    const current = await this.#cluster.client.get(
      this.#cluster.operatorsAddress(a),
      "/v1/config",
    );
    const version = Number(current.body["version"] ?? 0);
    const { deploymentText: text } = this.#cluster.options;
    const startMs = Date.now();
    const replies = await Promise.all([
      this.#cluster.apply(a, `${text}# by ${a}, after ${version}\n`, version),
      this.#cluster.apply(b, `${text}# by ${b}, after ${version}\n`, version),
    ]);
    for (const reply of replies) {
      if (reply.status === 200) this.log.applied++;
      if (reply.status === 409) this.log.conflicts++;
    }
    if (!replies.some((reply) => reply.status === 200)) return;
    const boxes = this.#cluster.runningBoxes();
    await Promise.all(
      boxes.map((box) => this.#awaitVersion(box, version + 1, startMs)),
    );
  }

  /**
   * Records the time from the start of an apply until its version is in force on a
   * box. Stops waiting, and records the time, after IN_FORCE_TIMEOUT_MS.
   */
  async #awaitVersion(
    box: number,
    version: number,
    startMs: number,
  ): Promise<void> {
    const address = this.#cluster.operatorsAddress(box);
    while (Date.now() - startMs < IN_FORCE_TIMEOUT_MS) {
      const reply = await this.#cluster.client.get(address, "/v1/config");
      if (Number(reply.body["version"] ?? 0) >= version) break;
      await timers.setTimeout(10);
    }
    this.log.inForceMs.push(Date.now() - startMs);
  }

  /** Shuts down and restarts every box in turn. */
  async #rollingStop(): Promise<void> {
    for (const box of [...this.#cluster.runningBoxes()]) {
      this.#load.stopping.add(box);
      const ended = this.#cluster.awaitExit(box);
      this.#cluster.signal(box, "SIGTERM");
      // A load balancer polls readiness, so it still sends requests for a moment.
      await timers.setTimeout(300);
      this.#load.excluded.add(box);
      await ended;
      await this.#cluster.startBox(box);
      await this.#awaitServing(box);
      this.#load.stopping.delete(box);
    }
  }

  async #awaitServing(box: number): Promise<void> {
    const deadlineMs = Date.now() + 15_000;
    while (Date.now() < deadlineMs) {
      const address = this.#cluster.operatorsAddress(box);
      const reply = await this.#cluster.client.get(address, "/readyz");
      if (reply.status === 200) break;
      await timers.setTimeout(50);
    }
    this.#load.excluded.delete(box);
  }

  /** Returns the worker of the latest run; a fault on an idle one tests nothing. */
  async #chooseBusyWorker(): Promise<string> {
    const { platformAddress: platform, client } = this.#cluster;
    const reply = await client.get(platform, "/ledger");
    const entries = Object.values(reply.body) as { worker: string }[];
    return entries.at(-1)?.worker ?? "worker_0";
  }

  #setFaults(faults: Readonly<Record<string, unknown>>) {
    return this.#control("faults", faults);
  }

  #control(action: string, body: unknown) {
    const { platformAddress: platform, client } = this.#cluster;
    return client.post(platform, `/control/${action}`, body);
  }
}

interface Fault {
  readonly name: string;
  readonly run: () => Promise<void>;
}
