/** Starts the project's nodes as processes, with stand-ins of store and workers. */
import { spawn } from "node:child_process";
import crypto from "node:crypto";
import fs from "node:fs";
import http from "node:http";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { Link } from "./link.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "..");
export const HOST = "jobs.example";
export const PREFIX = "/lohu930/";
export const KEY = "d4a3hwrr6x73d3zji9n7";
export const SERVICE = "huvo11a";

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Waits until a condition holds; returns whether it does by the deadline. */
export async function until(condition, ms) {
  const endAt = performance.now() + ms;
  while (performance.now() < endAt) {
    if (await condition()) return true;
    await sleep(20);
  }
  return false;
}

/** What was sent, answered and run, with times from the beginning of the record. */
export class Record {
  #file;
  #startedAt = performance.now();
  /** Runs that workers began: { task, run, worker, from, to, how, token, number }. */
  runs = [];
  /** Fencing tokens of leases, by worker id. */
  leases = [];

  constructor(file) {
    this.#file = file;
    fs.writeFileSync(file, "");
  }

  get nowMs() {
    return Math.round(performance.now() - this.#startedAt);
  }

  note(what, details) {
    const line = `${(this.nowMs / 1000).toFixed(3)} ${what} ${JSON.stringify(details)}\n`;
    fs.appendFileSync(this.#file, line);
  }

  runStarted(worker, { task, run, token }) {
    const begun = { task, run, worker: worker.id, from: this.nowMs, to: null, how: null, token };
    this.runs.push(begun);
    this.note("run begins", { task, run, worker: worker.id, fencing_token: token });
  }

  runEnded(worker, { task, run }, how, number) {
    const found = this.runs.find((one) =>
      one.worker === worker.id && one.task === task && one.run === run
    );
    found.to = this.nowMs;
    found.how = how;
    found.number = number;
    this.note("run ends", { task, run, worker: worker.id, how });
  }

  leased(worker, token) {
    this.leases.push({ worker: worker.id, token, at: this.nowMs });
    this.note("lease", { worker: worker.id, fencing_token: token });
  }

  acknowledged(worker, lastSeen) {
    for (const run of this.runs) {
      const isNew = run.worker === worker.id && run.number <= lastSeen &&
        run.how !== null && run.acknowledgedAt === undefined;
      if (isNew) run.acknowledgedAt = this.nowMs;
    }
  }

  /** All runs of a task. */
  of(task) {
    return this.runs.filter((one) => one.task === task);
  }
}

/** Ports below those that systems give to outgoing connections. */
const FIRST_PORT = 18_000;
const LAST_PORT = 28_000;

/** Finds free ports. */
async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (!ports.includes(port) && await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port) {
  const server = net.createServer();
  return new Promise((done) => {
    server.once("error", () => done(false));
    server.listen(port, "127.0.0.1", () => server.close(() => done(true)));
  });
}

/** One node of the project, as a process of its own. */
class Node {
  constructor(name, process, ports, log) {
    Object.assign(this, { name, process, ports, log });
  }

  signal(name) {
    this.process.kill(name);
  }

  state() {
    return call(this.ports.readiness, { path: "/state" });
  }

  async isReady() {
    const { status } = await call(this.ports.readiness, { path: "/" });
    return status === 200;
  }

  /** Sends a client's call; the status is 0 where there is no answer. */
  ask(method, subpath, { body, deadlineMs = 3000 } = {}) {
    const headers = {
      host: HOST,
      "x-key": KEY,
      "x-request-deadline": String(deadlineMs),
      "content-type": "application/json",
    };
    const path = PREFIX + subpath;
    return call(this.ports.callers, { method, path, headers, body, timeoutMs: deadlineMs });
  }
}

function call(port, { method = "GET", path, headers = {}, body, timeoutMs = 2000 }) {
  return new Promise((done) => {
    const options = { host: "127.0.0.1", port, method, path, headers, agent: false };
    const req = http.request(options, (res) => {
      let text = "";
      res.on("data", (chunk) => (text += chunk));
      res.on("end", () => {
        let parsed = null;
        try {
          parsed = JSON.parse(text);
        } catch {
          // Not JSON.
        }
        done({ status: res.statusCode, body: parsed });
      });
      res.on("error", () => done({ status: 0, body: null }));
    });
    req.setTimeout(timeoutMs, () => req.destroy());
    req.on("error", () => done({ status: 0, body: null }));
    req.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

export class Fleet {
  store = new Store();
  nodes = [];
  workers = [];
  /** Links by node and the worker's own address. */
  links = new Map();
  /** Work and accelerators by job id: { workMs, gpu }. */
  jobs = new Map();

  /** @param options record, maxHoldMs, stopMs, attempts, hasLinks: whether links can be cut */
  constructor(options) {
    this.options = options;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "cairngate-review-"));
    this.store.addressFor = (node, address) => this.links.get(`${node} ${address}`)?.address ?? address;
  }

  configure() {
    this.store.put("op", "config", {
      version: 7,
      routes: [{
        name: "r-1",
        hostname: HOST,
        path_prefix: PREFIX,
        type: "unsafe",
        timeout_ms: 3000,
        target_latency_ms: 1000,
        priority: 1,
        service: SERVICE,
        attempts: this.options.attempts,
        stretch: 3,
        allow_anonymous: false,
      }],
      services: [{
        name: SERVICE,
        health_path: "/healthz",
        max_connections: 64,
        protocol: "h1",
        tls: false,
        rejects_overload: true,
        headroom: false,
      }],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 262_144,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15_000,
      },
      tenants: [{ name: "kaje80", api_keys: [KEY], priority: 1, guaranteed: { gpu: 8 } }],
    });
  }

  async addWorkers(count) {
    const { record, maxHoldMs, stopMs } = this.options;
    for (let i = 0; i < count; i++) {
      const worker = new Worker({
        store: this.store,
        record,
        service: SERVICE,
        zone: "astana-a",
        labels: ["a", `r1-${1 + Math.floor(i / 8)}`],
        capacity: { cpu: 128_000, mem_mb: 524_288, gpu: 8 },
        maxHoldMs,
        stopMs,
        workMs: (task) => this.jobs.get(task.split(".")[0]).workMs,
        gpuOf: (task) => this.jobs.get(task.split(".")[0]).gpu,
      });
      await worker.start();
      this.workers.push(worker);
    }
  }

  /** Starts nodes by the command of the deploy file, and waits until all are ready. */
  async startNodes(count) {
    const deploy = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
    const [, command] = /^run = "(.*)"$/m.exec(deploy);
    const [program, ...args] = command.split(" ");
    const ports = await freePorts(count * 3);
    for (let i = 0; i < count; i++) {
      const name = `node-${i + 1}`;
      const [callers, readiness, peers] = ports.slice(i * 3, i * 3 + 3);
      const linked = this.options.hasLinks === true ? this.workers : [];
      for (const worker of linked) await this.#link(name, worker);
      const storeAddress = await this.store.listen(name);
      const file = path.join(this.folder, `${name}.yaml`);
      fs.writeFileSync(file, this.#settings({ name, callers, readiness, peers, storeAddress }));
      const log = fs.openSync(path.join(this.folder, `${name}.log`), "w");
      const env = { PATH: process.env.PATH, HOME: this.folder, CAIRNGATE_BOOT: file };
      const child = spawn(program, args, { cwd: ROOT, env, stdio: ["ignore", log, log] });
      const node = new Node(name, child, { callers, readiness, peers }, path.join(this.folder, `${name}.log`));
      node.exited = new Promise((done) => child.once("exit", done));
      this.nodes.push(node);
    }
    return until(async () => {
      const ready = await Promise.all(this.nodes.map((node) => node.isReady()));
      return ready.every(Boolean) && await this.leader() !== null;
    }, 20_000);
  }

  async #link(name, worker) {
    const link = new Link();
    link.address = await link.listen(Number(worker.address.split(":")[1]));
    this.links.set(`${name} ${worker.address}`, link);
  }

  linkOf(node, worker) {
    return this.links.get(`${node.name} ${worker.address}`);
  }

  #settings({ name, callers, readiness, peers, storeAddress }) {
    const { maxHoldMs, stopMs } = this.options;
    return `node: ${name}
zone: astana-a
callersAddress: "127.0.0.1:${callers}"
readinessAddress: "127.0.0.1:${readiness}"
peersAddress: "127.0.0.1:${peers}"
processor: { share: 0.675, cores: 1 }
storeAddress: "${storeAddress}"
storeRowBytes: 65536
storeWritesPerSecond: 800
configInForceMs: 2000
graceSeconds: 6
hardLoad: { competingTeams: auto, unevenEndpoints: auto }
bounds: { longestLeaseMs: ${maxHoldMs}, stopMs: ${stopMs}, gangWaitMs: 3000, remotePenalty: 3, keepEndedMs: 120000 }
`;
  }

  /** The node that coordinates, by the state of the others; null if unknown. */
  async leader() {
    for (const node of this.nodes) {
      const { body } = await node.state();
      const found = this.nodes.find(({ name }) => name === body?.coordinator);
      if (found !== undefined) return found;
    }
    return null;
  }

  /** Submits a job as a client does; the same id comes again after no answer. */
  async submit(job, { tries = 4, ...fields }) {
    const id = crypto.randomBytes(8).toString("hex");
    this.jobs.set(id, job);
    const step = { count: 1, cpu: 1000, mem_mb: 1024, gpu: job.gpu, estimated_ms: job.workMs, ...fields };
    const body = { spec: `work ${id}`, steps: [step] };
    for (let i = 0; i < tries; i++) {
      const node = this.nodes[i % this.nodes.length];
      const { status } = await node.ask("POST", id, { body });
      this.options.record.note("submit", { id, node: node.name, status });
      if (status === 200) return id;
    }
    return null;
  }

  /** Asks each node for the state of a job. */
  async states(id) {
    const answers = await Promise.all(this.nodes.map((node) => node.ask("GET", id)));
    const states = answers.map(({ status, body }) => body?.state ?? status);
    this.options.record.note("state", { id, states });
    return states;
  }

  workerById(id) {
    return this.workers.find((worker) => worker.id === id);
  }

  /** Ends all processes that were started. */
  async close() {
    for (const { process } of this.nodes) {
      process.kill("SIGCONT");
      process.kill("SIGKILL");
    }
    await Promise.all(this.nodes.map(({ exited }) => exited));
    for (const worker of this.workers) worker.crash();
    for (const link of this.links.values()) link.close();
    this.store.close();
    if (process.env.KEEP !== "1") fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

/** A script runs for 120 s at most. */
const LONGEST_RUN_MS = 115_000;

/**
 * Runs a case: 1 where the rule was broken, 0 where it held, 2 where it couldn't run.
 * What was sent, answered and run goes to the file that the command line names.
 */
export async function runCase(name, play) {
  const record = new Record(path.resolve(ROOT, process.argv[2]));
  const hasTrouble = process.env.TROUBLE !== "0";
  let fleet = null;
  const end = async (code) => {
    await fleet?.close();
    process.exit(code);
  };
  const fail = (err) => {
    const error = String(err?.stack ?? err).replaceAll(ROOT, ".");
    record.note("failed", { error });
    console.log(`${name}: could not run: ${error}`);
    return end(2);
  };
  process.on("uncaughtException", fail);
  process.on("SIGTERM", () => fail("ended by a signal"));
  process.on("SIGINT", () => fail("ended by a signal"));
  setTimeout(() => fail("it took too long"), LONGEST_RUN_MS);
  try {
    const createFleet = (options) => (fleet = new Fleet({ record, ...options }));
    const broken = await play({ record, hasTrouble, createFleet });
    for (const line of broken) record.note("broken", line);
    record.note("result", { trouble: hasTrouble, broken: broken.length });
    const verdict = broken.length > 0 ? "broken" : "held";
    console.log(`${name} trouble=${hasTrouble ? 1 : 0}: ${verdict}`);
    for (const line of broken) console.log(`  ${JSON.stringify(line)}`);
    await end(broken.length > 0 ? 1 : 0);
  } catch (err) {
    await fail(err);
  }
}
