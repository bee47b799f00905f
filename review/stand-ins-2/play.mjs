// Runs the deploy file's program and the stand-ins as processes of one play, and ends them.
import { spawn } from "node:child_process";
import fs from "node:fs";
import net from "node:net";
import http from "node:http";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

const HERE = path.dirname(fileURLToPath(import.meta.url));
export const ROOT = path.resolve(HERE, "../..");
const PLAY_MS = 115_000;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const given = new Set();

/** A port that nothing listens on now, below those that outgoing connections get. */
export async function freePort() {
  for (;;) {
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    if (given.has(port)) continue;
    const isFree = await new Promise((resolve) => {
      const server = net.createServer().once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
    if (!isFree) continue;
    given.add(port);
    return port;
  }
}

/** One HTTP call on a connection of its own; status 0 without an answer. */
export function call(address, method, target, { body, headers = {}, timeoutMs = 3000 } = {}) {
  return new Promise((resolve) => {
    const [host, port] = address.split(":");
    const text = body === undefined ? "" : JSON.stringify(body);
    const req = http.request({
      host,
      port,
      method,
      path: target,
      agent: false,
      headers: {
        ...headers,
        ...(text === "" ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
      },
    }, async (res) => {
      const chunks = [];
      try {
        for await (const chunk of res) chunks.push(chunk);
        const reply = Buffer.concat(chunks).toString();
        let json = null;
        try {
          json = JSON.parse(reply);
        } catch {
          // A body that is no JSON is kept as text.
        }
        done({ status: res.statusCode, body: json ?? reply });
      } catch {
        done({ status: 0, body: null });
      }
    });
    const timer = setTimeout(() => req.destroy(new Error("late")), timeoutMs);
    const done = (reply) => {
      clearTimeout(timer);
      resolve(reply);
    };
    req.on("error", () => done({ status: 0, body: null }));
    req.end(text);
  });
}

/** One play: its processes, its folder and its record. */
export class Play {
  #children = new Set();
  #record;

  constructor(folder, name) {
    this.folder = folder;
    this.trouble = process.env.TROUBLE !== "0";
    this.temp = fs.mkdtempSync(path.join(os.tmpdir(), `review-${name}-`));
    this.log = path.join(this.temp, "tasks.log");
    fs.writeFileSync(this.log, "");
    this.#record = [];
    this.beganMs = Date.now();
    setTimeout(() => this.finish(2, "the play took too long"), PLAY_MS).unref();
    for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
      process.on(signal, () => this.finish(2, `ended by ${signal}`));
    }
    process.on("uncaughtException", (err) => this.finish(2, String(err?.stack ?? err)));
    process.on("unhandledRejection", (err) => this.finish(2, String(err?.stack ?? err)));
  }

  note(text) {
    const line = `${((Date.now() - this.beganMs) / 1000).toFixed(3)} ${text}`;
    this.#record.push(line);
    console.log(line);
  }

  /** Starts a program; completes when it prints `ready`, where that is waited for. */
  async spawn(args, { env = {}, out = null, waits = true } = {}) {
    // Nothing is started any more once the play is being ended.
    if (this.ended) return new Promise(() => {});
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME ?? "", ...env },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#children.add(child);
    const file = out === null ? null : fs.createWriteStream(path.join(this.temp, out), { flags: "a" });
    child.exited = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        this.#children.delete(child);
        resolve({ code, signal });
      })
    );
    child.stderr.on("data", (data) => file === null ? process.stderr.write(data) : file.write(data));
    const ready = new Promise((resolve) =>
      child.stdout.on("data", (data) => {
        file?.write(data);
        resolve();
      })
    );
    if (waits) await Promise.race([ready, child.exited]);
    return child;
  }

  async startStore(mode = "down") {
    this.storePort = await freePort();
    this.store = `127.0.0.1:${this.storePort}`;
    this.storeProcess = await this.spawn([path.join(HERE, "store.mjs"), String(this.storePort), mode]);
  }

  /** Starts one life of a worker. */
  async startWorker(fields) {
    const port = fields.port ?? await freePort();
    const me = {
      service: "agrotrace",
      zone: "a",
      capacity: { cpu: 64_000, mem_mb: 262_144, gpu: 8 },
      labels: ["a", "r1"],
      maxHoldMs: 10_000,
      ...fields,
      port,
      store: this.store,
      log: this.log,
    };
    const child = await this.spawn([path.join(HERE, "worker.mjs"), JSON.stringify(me)]);
    return { ...me, child };
  }

  /** Writes a row of the operator's. */
  async operate(key, value) {
    const put = [{ table: "op", part: "", tls_key: key, value: Buffer.from(JSON.stringify(value)).toString("base64") }];
    const reply = await call(this.store, "POST", "/rows-tx", { body: { put } });
    if (reply.status !== 200) throw new Error(`the store refused op/${key}`);
  }

  /** Starts a box by the command of the deploy file. */
  async startNode(name, bounds = {}, ports = null) {
    const [callers, readiness, peers] = ports ?? [await freePort(), await freePort(), await freePort()];
    const file = path.join(this.temp, `${name}.yaml`);
    const settings = {
      node: name,
      zone: "a",
      callersAddress: `127.0.0.1:${callers}`,
      readinessAddress: `127.0.0.1:${readiness}`,
      peersAddress: `127.0.0.1:${peers}`,
      storeAddress: this.store,
      processor: { share: 1, cores: 1 },
      memoryMb: 350,
      maxFds: 4100,
      storeRowBytes: 65536,
      storeWritesPerSecond: 800,
      configInForceMs: 2000,
      evacuationInForceMs: 5000,
      graceSeconds: 6,
      hardLoad: { competingTeams: "auto", unevenEndpoints: "auto" },
      bounds: {
        longestLeaseMs: 10_000,
        stopMs: 900,
        gangWaitMs: 3000,
        remotePenalty: 3,
        keepEndedMs: 120_000,
        ...bounds,
      },
    };
    fs.writeFileSync(file, JSON.stringify(settings));
    const deploy = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
    const [, ...args] = /^run = "([^"]*)"/m.exec(deploy)[1].split(" ");
    const child = await this.spawn(args, {
      env: { CAIRNGATE_BOOT: file },
      out: `${name}.log`,
      waits: false,
    });
    return {
      name,
      child,
      ports: [callers, readiness, peers],
      callers: settings.callersAddress,
      readiness: settings.readinessAddress,
    };
  }

  /** Starts a box again whenever it ends by itself, as the platform does. */
  keepRunning(node, bounds, delayMs = 1000) {
    node.ownEnds = 0;
    node.child.exited.then(async ({ code, signal }) => {
      if (this.ended) return;
      node.ownEnds++;
      this.note(`${node.name} has ended by itself (${signal ?? `code ${code}`})`);
      await sleep(delayMs);
      if (this.ended) return;
      const { ownEnds } = node;
      Object.assign(node, await this.startNode(node.name, bounds, node.ports));
      this.keepRunning(node, bounds, delayMs);
      node.ownEnds = ownEnds;
    });
  }

  /** Waits until a box is ready. */
  async awaitReady(node, limitMs = 15_000) {
    const endMs = Date.now() + limitMs;
    while (Date.now() < endMs) {
      const { status } = await call(node.readiness, "GET", "/", { timeoutMs: 500 });
      if (status === 200) return;
      await sleep(100);
    }
    await this.finish(2, `${node.name} is not ready`);
  }

  /** The box that coordinates, by what the boxes show to operators; null for none. */
  async coordinator(nodes) {
    for (const node of nodes) {
      const { body } = await call(node.readiness, "GET", "/state", { timeoutMs: 1000 });
      if (body?.work) return node;
    }
    return null;
  }

  /** Starts, ends and acknowledgements of ends, in the order in which they were seen. */
  events() {
    return fs.readFileSync(this.log, "utf8").split("\n").filter((l) => l !== "").map((l) => JSON.parse(l));
  }

  /**
   * Starts of tasks after a run of theirs had ended `done`, where that end was taken note
   * of at some time: `last_seen` has reached it, and no lease lapsed on its worker.
   */
  startsAfterDone() {
    const events = this.events();
    const seen = new Map();
    const lapsed = new Set();
    for (const { worker, seen: number, how } of events) {
      if (number !== undefined) seen.set(worker, Math.max(number, seen.get(worker) ?? 0));
      if (how === "lapsed") lapsed.add(worker);
    }
    const done = new Set();
    const again = [];
    for (const event of events) {
      const { worker, end, how, number } = event;
      const isNoted = number <= (seen.get(worker) ?? 0) && !lapsed.has(worker);
      if (end && how === "done" && isNoted) done.add(end);
      if (event.start && done.has(event.start)) again.push(event);
    }
    return again;
  }

  /**
   * Time since which a job of which not all tasks are done has had nothing running; null
   * where something of it runs, or all of it is done.
   */
  standsStillSince(id, tasks, fromMs) {
    const done = new Set();
    const running = new Set();
    let sinceMs = fromMs;
    for (const { at, start, end, how, run } of this.events()) {
      const name = start ?? end;
      if (name === undefined || !name.startsWith(`${id}.`)) continue;
      if (start) running.add(`${name}@${run}`);
      else running.delete(`${name}@${run}`);
      if (how === "done") done.add(name);
      sinceMs = Math.max(sinceMs, at);
    }
    return running.size > 0 || done.size === tasks ? null : sinceMs;
  }

  /** Ends all processes, writes the record and ends the play. */
  async finish(code, verdict) {
    if (this.ended) return sleep(60_000);
    this.ended = true;
    this.note(`${["HELD", "BROKEN", "NOT RUN"][code]}: ${verdict}`);
    const children = [...this.#children];
    for (const child of children) child.kill("SIGKILL");
    await Promise.all(children.map((child) => child.exited));
    const events = this.events().map((e) => JSON.stringify({ ...e, at: (e.at - this.beganMs) / 1000 }));
    fs.writeFileSync(path.join(this.folder, "record.txt"), [...this.#record, "", "what the workers saw:", ...events, ""].join("\n"));
    if (process.env.KEEP !== "1") fs.rmSync(this.temp, { recursive: true, force: true });
    process.exit(code);
  }
}

/** A configuration with one queue and one tenant. */
export function configOf(version, fields = {}) {
  return {
    version,
    routes: [{
      name: "scans",
      hostname: "jobs.example",
      path_prefix: "/scans/",
      type: "unsafe",
      timeout_ms: 3000,
      target_latency_ms: 1000,
      priority: 1,
      service: "agrotrace",
      attempts: 4,
      stretch: 3,
      allow_anonymous: false,
      ...fields,
    }],
    services: [{ name: "agrotrace", rejects_overload: true }],
    tenants: [{ name: "coop", api_keys: ["key-1"], guaranteed: { gpu: 4 } }],
    limits: { max_body_bytes: 262_144 },
  };
}

const HEADERS = { host: "jobs.example", "x-key": "key-1" };

/** A call of a client, to one box. */
export function ask(node, method, id, body, timeoutMs = 3000) {
  const headers = { ...HEADERS, "x-request-deadline": String(timeoutMs) };
  return call(node.callers, method, `/scans/${id}`, { body, headers, timeoutMs });
}

/** Hands a job in as clients do: again at another box after 429, 503, 504 or no answer. */
export async function submit(play, nodes, id, job) {
  for (let i = 0; i < 20; i++) {
    const node = nodes[i % nodes.length];
    const { status } = await ask(node, "POST", id, job);
    play.note(`POST ${id} at ${node.name}: ${status}`);
    if (status >= 200 && status < 300) return true;
    await sleep(300);
  }
  return false;
}
