/**
 * Stand-ins of the platform for the cases of this review: the store, workers that obey
 * the pages (PROTOCOL.md), and the processes of the system. All addresses are loopback.
 */
import { spawn } from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";

const HOST = "127.0.0.1";
const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const startedAt = performance.now();
export const now = () => performance.now() - startedAt;

/** Collects what was sent, answered and run; writes it to record.txt of the case. */
export class Recorder {
  constructor(folder) {
    this.file = path.join(folder, "record.txt");
    fs.writeFileSync(this.file, "");
  }
  note(text) {
    const line = `${(now() / 1000).toFixed(3).padStart(8)} s  ${text}`;
    fs.appendFileSync(this.file, `${line}\n`);
  }
}

function readBody(req) {
  return new Promise((resolve) => {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => resolve(Buffer.concat(chunks).toString()));
    req.on("error", () => resolve(null));
  });
}

function send(res, status, body) {
  if (res.destroyed) return;
  const text = body === undefined ? "" : JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 16_000;
const LAST_PORT = 31_000;
const MAX_TRIES = 200;
/** Ports that were handed to processes, which may not listen yet. */
const handedOut = new Set();

function tryListen(server, port) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, HOST, () => {
      server.off("error", reject);
      resolve(port);
    });
  });
}

/** Listens on a port, or on a free one; returns it. */
export async function listen(server, port = 0) {
  for (let tries = 1;; tries++) {
    const wanted = port || FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (!port && handedOut.has(wanted)) continue;
    try {
      return await tryListen(server, wanted);
    } catch (err) {
      if (err.code !== "EADDRINUSE" || tries === MAX_TRIES) throw err;
      if (port) await sleep(50);
    }
  }
}

export async function freePorts(count) {
  const servers = [];
  const ports = [];
  for (let i = 0; i < count; i++) {
    const server = net.createServer();
    ports.push(await listen(server));
    servers.push(server);
  }
  for (const port of ports) handedOut.add(port);
  await Promise.all(servers.map((s) => new Promise((done) => s.close(done))));
  return ports;
}

const compareKeys = (a, b) => Buffer.compare(Buffer.from(a), Buffer.from(b));
const nameOf = ({ table, part = "", tls_key }) => `${table}\0${part}\0${tls_key}`;

/** The platform's store, form "table". Each machine may have an address of its own. */
export class Store {
  rows = new Map();
  changes = [];
  ver = 0;
  waiting = new Set();
  answerMs = 4;
  maxRowBytes = 65_536;
  servers = [];
  /**
   * What befalls a call: (call) => undefined, or one of `status` (refused), `reset`,
   * `drop` (not done, no answer), `lose` (done, reset), `lateMs` (done later, no answer)
   * and `delayMs`.
   */
  rule = () => undefined;
  largestRow = 0;
  refused = 0;

  /** Opens one more address; `who` tells the rule which machine has called. */
  async open(who) {
    const server = http.createServer((req, res) => this.#serve(req, res, who));
    server.keepAliveTimeout = 60_000;
    const port = await listen(server);
    this.servers.push(server);
    return `${HOST}:${port}`;
  }

  stop() {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  putJson(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    return this.commit({ put: [{ table, part: "", tls_key: key, value: text }] });
  }

  remove(table, key) {
    this.commit({ remove: [{ table, part: "", tls_key: key }] });
  }

  commit({ put = [], remove = [] }) {
    const ver = ++this.ver;
    for (const { table, part = "", tls_key, value } of put) {
      const row = { table, part, tls_key, value, ver };
      this.rows.set(nameOf(row), row);
      this.changes.push(row);
    }
    for (const { table, part = "", tls_key } of remove) {
      const row = { table, part, tls_key, ver, gone: true };
      if (this.rows.delete(nameOf(row))) this.changes.push(row);
    }
    for (const wake of [...this.waiting]) wake();
    return ver;
  }

  async #serve(req, res, who) {
    const url = new URL(req.url, "http://store");
    const text = await readBody(req);
    if (text === null) return;
    const body = text === "" ? {} : JSON.parse(text);
    const call = { who, path: url.pathname, params: url.searchParams, body };
    const ruled = this.rule(call) ?? {};
    if (ruled.drop) return;
    if (ruled.reset) return req.socket.destroy();
    if (ruled.status) return send(res, ruled.status, { ver: this.ver, now_ms: Math.round(now()) });
    if (ruled.lateMs) {
      // Done later if its condition still holds; its connection says nothing more.
      return setTimeout(() => this.#transact(body, () => {}), ruled.lateMs);
    }
    await sleep(this.answerMs + (ruled.delayMs ?? 0));
    const answer = (status, fields) => {
      if (ruled.lose) return req.socket.destroy();
      send(res, status, { ver: this.ver, now_ms: Math.round(now()), ...fields });
    };
    switch (url.pathname) {
      case "/rows-tx": return this.#transact(body, answer);
      case "/rows-get": return this.#read(url.searchParams, answer);
      case "/rows-feed": return this.#follow(url.searchParams, res, answer);
      default: return send(res, 404);
    }
  }

  #transact(tx, answer) {
    const { expected_revision: expected = [], put = [], remove = [] } = tx;
    const parts = new Set([...expected, ...put, ...remove].map(({ part = "" }) => part));
    const bytes = put.map(({ value = "" }) => Buffer.byteLength(value));
    this.largestRow = Math.max(this.largestRow, ...bytes);
    const isRefused = parts.size > 1 ||
      expected.length + put.length + remove.length > 100 ||
      bytes.some((n) => n > this.maxRowBytes);
    if (isRefused) {
      this.refused++;
      return answer(400, {});
    }
    const current = (row) => this.rows.get(nameOf(row));
    if (expected.some((row) => (current(row)?.ver ?? 0) !== row.ver)) {
      return answer(412, { rows: expected.flatMap((row) => current(row) ?? []) });
    }
    answer(200, { ver: this.commit({ put, remove }) });
  }

  #read(params, answer) {
    const from = params.get("from") ?? "";
    const until = params.get("target_version");
    const limit = Math.min(500, Number(params.get("limit") ?? 500));
    const found = [...this.rows.values()].filter(({ table, part, tls_key }) =>
      table === (params.get("table") ?? "") && part === (params.get("part") ?? "") &&
      compareKeys(tls_key, from) >= 0 && (until === null || compareKeys(tls_key, until) < 0)
    ).sort((a, b) => compareKeys(a.tls_key, b.tls_key));
    answer(200, { rows: found.slice(0, limit), more: found.length > limit });
  }

  #follow(params, res, answer) {
    const table = params.get("table") ?? "";
    const after = Number(params.get("after") ?? 0);
    const waitMs = Math.min(30_000, Number(params.get("wait_ms") ?? 0));
    const changed = () => {
      const rows = [];
      for (let i = this.changes.length - 1; i >= 0 && this.changes[i].ver > after; i--) {
        if (this.changes[i].table === table) rows.push(this.changes[i]);
      }
      return rows.reverse();
    };
    const first = changed();
    if (first.length > 0 || waitMs === 0) return answer(200, { rows: first });
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(wake);
      answer(200, { rows: changed() });
    };
    const timer = setTimeout(finish, waitMs);
    const wake = () => {
      if (changed().length > 0) finish();
    };
    this.waiting.add(wake);
    res.once("close", () => {
      clearTimeout(timer);
      this.waiting.delete(wake);
    });
  }
}

/** All workers, and what has truly run on them. */
export class World {
  constructor(store, recorder, options = {}) {
    this.store = store;
    this.recorder = recorder;
    this.options = {
      stopMs: 100,
      gangMs: 3000,
      maxHoldMs: 10_000,
      heartbeatMs: 1500,
      checkpointMs: 1000,
      /** Work of a run in ms and how it ends. */
      behave: () => ({ workMs: 1000, how: "done" }),
      ...options,
    };
    /** Runs: { task, run, worker, startedAt, endedAt, how }. */
    this.runs = [];
    this.workers = [];
    /** Order rule: ({ worker, path, body }) => undefined | { lose, delayMs, drop }. */
    this.rule = () => undefined;
  }

  async addWorker(spec) {
    const worker = new Worker(this, spec);
    await worker.begin();
    this.workers.push(worker);
    return worker;
  }

  stop() {
    for (const worker of this.workers) worker.end();
  }

  openRuns(task) {
    return this.runs.filter((run) => run.endedAt === null && (task === undefined || run.task === task));
  }
}

let lives = 0;

/** One machine of a service; `crash` ends its life, `begin` starts the next one. */
export class Worker {
  constructor(world, spec) {
    this.world = world;
    this.spec = { cpu: 64_000, mem_mb: 262_144, gpu: 8, rack: "r1-1", zone: "a", service: "svc", guards: true, ...spec };
    this.port = 0;
    this.isUp = false;
  }

  get clock() {
    return Math.round(now() - this.bornAt + 100_000);
  }

  async begin() {
    this.id = `i-${(0xa0000000 + ++lives).toString(16)}`;
    this.bornAt = now();
    this.fence = 0;
    this.deadline = 0;
    this.held = new Map();
    this.ends = [];
    this.endNumber = 0;
    this.highest = new Map();
    this.waiting = new Set();
    this.state = "ready";
    this.sequence = 0;
    this.server = http.createServer((req, res) => this.#serve(req, res));
    this.server.keepAliveTimeout = 60_000;
    this.port = await listen(this.server, this.port);
    this.address = `${HOST}:${this.port}`;
    this.isUp = true;
    this.#beat();
    this.beats = setInterval(() => this.#beat(), this.world.options.heartbeatMs);
    this.ticks = setInterval(() => this.#tick(), 20);
    this.world.recorder.note(`worker ${this.id} begins at ${this.address}`);
  }

  /** Ends this life at once, without a word. Its entry goes after three heartbeats. */
  crash() {
    if (!this.isUp) return;
    const { id } = this;
    this.end();
    this.world.recorder.note(`worker ${id} crashes`);
    for (const held of this.held.values()) {
      if (held.log.endedAt === null) {
        held.log.endedAt = now();
        held.log.how = "crashed";
      }
    }
    const gone = 3 * this.world.options.heartbeatMs;
    setTimeout(() => this.world.store.remove("servers", id), gone).unref();
  }

  end() {
    this.isUp = false;
    clearInterval(this.beats);
    clearInterval(this.ticks);
    this.server.close();
    this.server.closeAllConnections();
  }

  #beat() {
    const { service, zone, cpu, mem_mb, gpu, rack } = this.spec;
    this.world.store.putJson("servers", this.id, {
      service, address: this.address, zone, version: "v1", slots: 8, state: this.state,
      cold_remaining_ms: 0, capacity: { cpu, mem_mb, gpu }, labels: ["a", rack],
      clock_ms: this.clock, sequence: ++this.sequence,
      ...(this.state === "draining" ? { remaining_ms: this.remainingMs ?? 5000 } : {}),
    });
  }

  drain(remainingMs) {
    this.state = "draining";
    this.remainingMs = remainingMs;
    this.#beat();
  }

  async #serve(req, res) {
    const text = await readBody(req);
    if (text === null) return;
    if (req.method === "GET") return send(res, 200);
    const body = JSON.parse(text);
    const id = this.id;
    const ruled = this.world.rule({ worker: this, path: req.url, body }) ?? {};
    if (ruled.drop) return;
    if (ruled.delayMs) await sleep(ruled.delayMs);
    if (!this.isUp || this.id !== id) return;
    if (req.headers["x-expected-instance"] && req.headers["x-expected-instance"] !== this.id) {
      return send(res, 421);
    }
    const answer = (status, fields = {}) => {
      if (ruled.lose) return undefined;
      return send(res, status, { clock_ms: this.clock, ...fields });
    };
    if (req.url === "/run-start") return this.#start(body, answer);
    if (req.url === "/run-stop") return this.#stop(body, answer);
    if (req.url === "/hold") return this.#hold(body, res, answer);
    return send(res, 404);
  }

  #isFenced({ fencing_token: token = 0 }) {
    if (token < this.fence) return true;
    this.fence = token;
    return false;
  }

  #extend(deadline) {
    if (deadline === undefined) return;
    const most = this.clock + this.world.options.maxHoldMs;
    this.deadline = Math.max(this.deadline, Math.min(deadline, most));
  }

  #start(body, answer) {
    const { task, run, spec, deadline_ms: deadline, checkpoint = "" } = body;
    const { recorder } = this.world;
    const tell = (text) => recorder.note(`start ${task} run ${run} token ${body.fencing_token} at ${this.id}: ${text}`);
    if (this.#isFenced(body)) {
      tell("409 fence");
      return answer(409, { reason: "fence" });
    }
    if (this.held.has(`${task}#${run}`)) {
      this.#extend(deadline);
      tell("200, is there");
      return answer(200);
    }
    if (run <= (this.highest.get(task) ?? 0)) {
      this.#extend(deadline);
      tell("409 old");
      return answer(409, { reason: "old" });
    }
    if (deadline <= this.clock) {
      tell("409 late");
      return answer(409, { reason: "late" });
    }
    if (this.world.options.mayStart && !this.world.options.mayStart({ worker: this, ...body })) {
      tell("409 ticket");
      return answer(409, { reason: "ticket" });
    }
    const step = this.world.options.stepOf?.(task) ?? {};
    const use = { cpu: step.cpu ?? 0, mem_mb: step.mem_mb ?? 0, gpu: step.gpu ?? 0 };
    if (this.spec.guards && !this.#hasRoom(use)) {
      this.#extend(deadline);
      tell("409 room");
      return answer(409, { reason: "room" });
    }
    this.#extend(deadline);
    const { workMs, how } = this.world.options.behave({ task, run, spec, worker: this, checkpoint });
    const log = { task, run, worker: this.id, startedAt: now(), endedAt: null, how: null, doneMs: 0 };
    this.world.runs.push(log);
    const held = { task, run, use, log, workMs, how, saved: checkpoint, beganAt: now(), step, stopAt: null };
    this.held.set(`${task}#${run}`, held);
    tell(`200, begins${checkpoint ? ` from ${checkpoint}` : ""}`);
    this.#joinGang(held);
    return answer(200);
  }

  #hasRoom(use) {
    const used = { cpu: 0, mem_mb: 0, gpu: 0 };
    for (const held of this.held.values()) {
      for (const key of Object.keys(used)) used[key] += held.use[key];
    }
    return Object.keys(used).every((key) => used[key] + use[key] <= this.spec[key]);
  }

  #joinGang(held) {
    const size = held.step.gang ? held.step.count : 0;
    if (size <= 1) return;
    held.beganAt = null;
    held.joinedAt = now();
    const members = this.#gangOf(held);
    if (members.length === size) {
      for (const member of members) member.held.beganAt = now();
    }
  }

  #gangOf({ task, run }) {
    const step = task.split(".").slice(0, 3).join(".");
    const members = [];
    for (const worker of this.world.workers) {
      if (!worker.isUp) continue;
      for (const held of worker.held.values()) {
        if (held.run === run && held.task.startsWith(`${step}.`)) members.push({ worker, held });
      }
    }
    return members;
  }

  #stop(body, answer) {
    const { task, run } = body;
    const { recorder } = this.world;
    if (this.#isFenced(body)) return answer(409, { reason: "fence" });
    const held = this.held.get(`${task}#${run}`);
    recorder.note(`stop ${task} run ${run} at ${this.id}${held ? "" : ", not there"}`);
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    if (held) held.stopAt ??= now() + this.world.options.stopMs;
    return answer(200);
  }

  #hold(body, res, answer) {
    if (this.#isFenced(body)) return answer(409, { reason: "fence" });
    const { last_seen: seen = 0, wait_ms: waitMs = 0 } = body;
    this.#extend(body.deadline_ms);
    for (const end of this.ends) {
      if (end[0] <= seen) end.log.notedAt = now();
    }
    this.ends = this.ends.filter(([number]) => number > seen);
    const lists = () => ({
      running: [...this.held.values()].map((held) => [held.task, held.run, held.saved, this.#percent(held), 0]),
      finished_at: this.ends.slice(0, 500),
    });
    if (waitMs === 0 || this.ends.length > 0) return answer(200, lists());
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(finish);
      answer(200, lists());
    };
    const timer = setTimeout(finish, Math.min(2000, waitMs));
    this.waiting.add(finish);
    res.once("close", () => {
      clearTimeout(timer);
      this.waiting.delete(finish);
    });
    return undefined;
  }

  #percent(held) {
    if (held.beganAt === null) return 0;
    if (!Number.isFinite(held.workMs)) return 100;
    return Math.min(99, Math.floor((now() - held.beganAt) / held.workMs * 100));
  }

  #tick() {
    const t = now();
    for (const held of [...this.held.values()]) {
      if (held.stopAt !== null && t >= held.stopAt) this.#finish(held, "stopped");
      else if (this.clock > this.deadline) this.#finish(held, "lapsed");
      else if (held.beganAt === null) {
        if (t - held.joinedAt > this.world.options.gangMs) this.#finish(held, "alone");
      } else if (t - held.beganAt >= held.workMs) {
        this.#finish(held, held.how);
      }
    }
  }

  #finish(held, how) {
    if (!this.held.delete(`${held.task}#${held.run}`)) return;
    this.highest.set(held.task, Math.max(held.run, this.highest.get(held.task) ?? 0));
    held.log.endedAt = now();
    held.log.how = how;
    const end = [++this.endNumber, held.task, held.run, how, held.saved];
    Object.defineProperty(end, "log", { value: held.log });
    this.ends.push(end);
    this.world.recorder.note(`end ${held.task} run ${held.run} at ${this.id}: ${how}`);
    for (const wake of [...this.waiting]) wake();
    if (!held.step.gang || held.step.count <= 1) return;
    for (const { worker, held: member } of this.#gangOf(held)) {
      worker.#finish(member, how === "done" ? "done" : "broken");
    }
  }
}

/** Ends the processes that a script has started, however the script itself ends. */
const running = new Set();
process.on("exit", () => {
  for (const nodes of running) nodes.endNow();
});
for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) process.on(signal, () => process.exit(2));

/** The processes of the system, by the command of the deploy file. */
export class Nodes {
  constructor(store, recorder, folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-3-"))) {
    this.store = store;
    this.recorder = recorder;
    this.folder = folder;
    this.nodes = [];
    /** All processes that were started; some nodes are started again. */
    this.children = [];
    running.add(this);
  }

  async add(settings = {}) {
    const index = this.nodes.length + 1;
    const name = `node-${index}`;
    const [callers, readiness, peers] = await freePorts(3);
    const storeAddress = await this.store.open(name);
    const file = path.join(this.folder, `${name}.yaml`);
    const values = {
      node: name,
      zone: "a",
      callersAddress: `${HOST}:${callers}`,
      readinessAddress: `${HOST}:${readiness}`,
      peersAddress: `${HOST}:${peers}`,
      processor: { share: 1, cores: 1 },
      memoryMb: 350,
      maxFds: 4100,
      storeAddress,
      storeRowBytes: 65536,
      storeWritesPerSecond: 800,
      configInForceMs: 2000,
      evacuationInForceMs: 5000,
      graceSeconds: 6,
      hardLoad: { competingTeams: "auto", unevenEndpoints: "auto" },
      bounds: { longestLeaseMs: 10000, stopMs: 900, gangWaitMs: 3000, remotePenalty: 3, keepEndedMs: 120000 },
      ...settings,
    };
    fs.writeFileSync(file, JSON.stringify(values));
    const node = { name, file, callers, readiness, child: null, restarts: true };
    this.nodes.push(node);
    this.start(node);
    return node;
  }

  start(node) {
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, ...(LANG ? { LANG } : {}), CAIRNGATE_BOOT: node.file };
    const out = fs.openSync(path.join(this.folder, `${node.name}.log`), "a");
    // The command of deploy/system.toml.
    node.child = spawn("node", ["--max-old-space-size=200", "target/node.cjs"], {
      cwd: ROOT, env, stdio: ["ignore", out, out],
    });
    fs.closeSync(out);
    this.recorder.note(`${node.name} starts`);
    const child = node.child;
    this.children.push(child);
    child.on("exit", (code, signal) => {
      child.ended = true;
      this.recorder.note(`${node.name} has ended: ${signal ?? `code ${code}`}`);
    });
  }

  kill(node, signal = "SIGKILL") {
    this.recorder.note(`${node.name} gets ${signal}`);
    node.child.kill(signal);
  }

  logOf(node) {
    return fs.readFileSync(path.join(this.folder, `${node.name}.log`), "utf8");
  }

  async ready(timeoutMs = 20_000) {
    const until = now() + timeoutMs;
    for (;;) {
      const states = await Promise.all(this.nodes.map((node) => this.isReady(node)));
      if (states.every(Boolean)) return true;
      if (now() > until) return false;
      await sleep(100);
    }
  }

  async isReady(node) {
    const { status } = await call(node.readiness, "GET", "/ready", { timeoutMs: 1000 });
    return status === 200;
  }

  async stop() {
    this.#killAll();
    await sleep(200);
    this.endNow();
  }

  endNow() {
    running.delete(this);
    this.#killAll();
    fs.rmSync(this.folder, { recursive: true, force: true });
  }

  #killAll() {
    for (const child of this.children) {
      if (!child.ended) child.kill("SIGKILL");
    }
  }
}

/** One call over a connection of its own; status 0 where no answer came. */
export function call(port, method, url, { body, headers = {}, timeoutMs = 3000 } = {}) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const req = http.request({
      host: HOST, port, method, path: url, agent: false,
      headers: {
        ...(text === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
        ...headers,
      },
    }, async (res) => {
      const answer = await readBody(res);
      let json = null;
      try {
        json = JSON.parse(answer ?? "");
      } catch {
        // An answer without a body.
      }
      resolve({ status: res.statusCode, body: json });
    });
    req.setTimeout(timeoutMs, () => req.destroy());
    req.on("error", () => resolve({ status: 0, body: null }));
    if (text !== undefined) req.write(text);
    req.end();
  });
}

/** A client of one queue with one key. */
export class Client {
  constructor(nodes, recorder, { host = "jobs.example", prefix = "/q/", key = "key-1" } = {}) {
    Object.assign(this, { nodes, recorder, host, prefix, key });
  }

  async #send(node, method, id, body, timeoutMs = 3000) {
    const headers = { host: this.host, "x-key": this.key, "x-request-deadline": String(timeoutMs) };
    const answer = await call(node.callers, method, `${this.prefix}${id}`, { body, headers, timeoutMs });
    const shown = answer.body === null ? "" : ` ${JSON.stringify(answer.body).slice(0, 200)}`;
    this.recorder.note(`${method} ${id} at ${node.name}: ${answer.status}${shown}`);
    return answer;
  }

  submit(node, id, body, timeoutMs) {
    return this.#send(node, "POST", id, body, timeoutMs);
  }

  state(node, id, timeoutMs) {
    return this.#send(node, "GET", id, undefined, timeoutMs);
  }

  cancel(node, id, timeoutMs) {
    return this.#send(node, "DELETE", id, undefined, timeoutMs);
  }
}

/** A configuration with one queue, one service and one tenant. */
export function makeConfig(version = 1, change = {}) {
  const { route = {}, service = {}, tenant = {}, ...rest } = change;
  return {
    version,
    routes: [{
      name: "r-1", hostname: "jobs.example", path_prefix: "/q/", type: "unsafe", timeout_ms: 3000,
      target_latency_ms: 1000, priority: 1, service: "svc", attempts: 4, stretch: 3.0, allow_anonymous: false, ...route,
    }],
    services: [{
      name: "svc", health_path: "/healthz", max_connections: 64, protocol: "h1", tls: false,
      rejects_overload: true, headroom: false, ...service,
    }],
    limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [{ name: "t-1", api_keys: ["key-1"], priority: 1, guaranteed: { gpu: 8 }, ...tenant }],
    ...rest,
  };
}

/** Starts a small deployment: a store, workers and nodes, ready to serve. */
export async function startDeployment(folder, { nodes: count = 3, workers = [], config = makeConfig(), world: options = {}, settings = {} }) {
  const recorder = new Recorder(folder);
  const store = new Store();
  const world = new World(store, recorder, options);
  const nodes = new Nodes(store, recorder);
  store.putJson("op", "config", config);
  for (const spec of workers) await world.addWorker(spec);
  for (let i = 0; i < count; i++) await nodes.add(settings);
  const stop = async () => {
    await nodes.stop();
    world.stop();
    store.stop();
  };
  const isReady = await nodes.ready();
  // The nodes learn of the workers and one of them begins to coordinate.
  await sleep(2500);
  return { recorder, store, world, nodes, stop, isReady };
}

/** Runs a case: exits with 1 if the rule broke, 0 if it held, 2 if it could not run. */
export async function runCase(body) {
  const limit = setTimeout(() => process.exit(2), 118_000);
  limit.unref();
  try {
    const broken = await body();
    process.exit(broken ? 1 : 0);
  } catch (err) {
    console.error(err);
    process.exit(2);
  }
}
