/** Generates the load of a drill and counts the answers. */
import type * as LocalCluster from "@cairngate/local-cluster";
import type * as Rand from "pure-rand/types/RandomGenerator";
import * as timers from "node:timers/promises";
import * as choices from "./seeded_choice.ts";

/** Counts and job ids from the answers to all callers. */
export interface LoadRecord {
  submitted: number;
  answered: number;
  notRunIds: string[];
  unknown: number;
  refused: number;
  wrongAnswers: number;
  cutRequests: number;
  longIds: string[];
}

const URGENT_CALLERS = 8;
const SCAN_CALLERS = 3;
const LONG_JOB_PAUSE_MS = 300;
const CALLER_PAUSE_MS = 20;
const MAX_TRIES = 4;

/** Callers that send jobs one after another until `stop` is called. */
export class Load {
  readonly record: LoadRecord = {
    submitted: 0,
    answered: 0,
    notRunIds: [],
    unknown: 0,
    refused: 0,
    wrongAnswers: 0,
    cutRequests: 0,
    longIds: [],
  };
  /** Boxes in a planned shutdown; they must finish the requests they accepted. */
  readonly stopping = new Set<number>();
  /** Boxes to which no requests are sent. */
  readonly excluded = new Set<number>();
  readonly #cluster: LocalCluster.LocalCluster;
  readonly #random: Rand.RandomGenerator;
  #isStopped = false;
  #next = 0;

  constructor(
    cluster: LocalCluster.LocalCluster,
    random: Rand.RandomGenerator,
  ) {
    this.#cluster = cluster;
    this.#random = random;
  }

  /** Runs all callers and resolves when the last one has stopped. */
  async run(): Promise<void> {
    const callers: Promise<void>[] = [];
    for (let i = 0; i < URGENT_CALLERS; i++) {
      callers.push(this.#loop(() => this.#diagnose(), CALLER_PAUSE_MS));
    }
    for (let i = 0; i < SCAN_CALLERS; i++) {
      callers.push(this.#loop(() => this.#scan(), CALLER_PAUSE_MS));
    }
    callers.push(this.#loop(() => this.#submitLong(), LONG_JOB_PAUSE_MS));
    await Promise.all(callers);
  }

  /** Stops every caller after its current request. */
  stop(): void {
    this.#isStopped = true;
  }

  async #loop(call: () => Promise<void>, pauseMs: number): Promise<void> {
    while (!this.#isStopped) {
      await call();
      await timers.setTimeout(pauseMs);
    }
  }

  async #diagnose(): Promise<void> {
    const request = `d${this.#next++}`;
    const body = { team: this.#chooseTeam(), service: "diagnose" };
    const reply = await this.#send({ ...body, input: { request } }, {});
    this.#recordReply(reply, request);
  }

  /** Sends a scan, and again with the same key while no answer is received. */
  async #scan(): Promise<void> {
    const request = `s${this.#next++}`;
    const body = {
      team: this.#chooseTeam(),
      service: "scan",
      input: { request },
    };
    for (let i = 0; i < MAX_TRIES; i++) {
      const reply = await this.#send(body, { "idempotency-key": request });
      this.#recordReply(reply, request);
      if (reply !== null && reply.status !== 0) return;
    }
  }

  async #submitLong(): Promise<void> {
    const i = this.#next++;
    const isUnrepeatable = i % 4 === 0;
    const gang = choices.choose(this.#random, [1, 2, 4, 8]);
    const body = {
      team: this.#chooseTeam(),
      service: isUnrepeatable ? "once" : "rebuild",
      gang,
      adjacency: "rack",
      input: { request: `l${i}`, runMs: 200 + i * 37 % 2000, grid: [1, 2] },
    };
    const key = { "idempotency-key": `l${i}` };
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const reply = await this.#send(body, key);
      const jobId = reply?.body["jobId"];
      if (reply?.status === 202 || reply?.status === 200) {
        this.record.longIds.push(String(jobId));
        return;
      }
    }
    this.record.refused++;
  }

  async #send(
    body: unknown,
    headers: Readonly<Record<string, string>>,
  ): Promise<LocalCluster.ClusterReply | null> {
    const boxes = this.#cluster.runningBoxes().filter((b) =>
      !this.excluded.has(b)
    );
    if (boxes.length === 0) return null;
    const box = choices.choose(this.#random, boxes);
    this.record.submitted++;
    const address = this.#cluster.callersAddress(box);
    const { client } = this.#cluster;
    const reply = await client.post(address, "/v1/jobs", body, headers);
    const isCut = reply.status === 0 && !reply.neverSent;
    if (isCut && this.stopping.has(box)) this.record.cutRequests++;
    return reply;
  }

  #recordReply(reply: LocalCluster.ClusterReply | null, request: string): void {
    if (reply === null || reply.status === 0) return;
    const outcome = reply.body["outcome"];
    if (reply.status === 200) {
      const result = reply.body["result"] as { request?: string } | null;
      if (result?.request === request) this.record.answered++;
      else this.record.wrongAnswers++;
      return;
    }
    const jobId = reply.body["jobId"];
    if (outcome === "unknown") this.record.unknown++;
    else if (typeof jobId === "string") this.record.notRunIds.push(jobId);
    else this.record.refused++;
  }

  #chooseTeam(): string {
    return choices.choose(this.#random, ["team_0", "team_1"]);
  }
}
