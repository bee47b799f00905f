/**
 * Stand-in of a worker (PROTOCOL.md, "Running tasks" and "Service discovery"). It runs
 * tasks by the clock, keeps leases and the highest fencing token, lists ends, and writes
 * its entry to the store. A crash ends everything; the next life has a new id.
 */
import crypto from "node:crypto";
import http from "node:http";

const HEARTBEAT_MS = 1500;
/** The entry goes after three heartbeats of silence. */
const ENTRY_MS = 3 * HEARTBEAT_MS;
/** Figure of the last half second for a task that serves nobody, in thousandths of a core. */
const CPU_IN_USE = 1000;

export class Worker {
  #options;
  #server = null;
  #port = 0;
  #life = 0;
  #timers = new Set();
  id = "";
  isUp = false;
  /** Whether starts are turned away with 503, while all else works. */
  sheds = false;

  /**
   * @param options store, record, service, zone, labels, capacity, maxHoldMs, stopMs,
   * and workMs(task): how long a task works, in ms
   */
  constructor(options) {
    this.#options = options;
  }

  get address() {
    return `127.0.0.1:${this.#port}`;
  }

  /** Begins a life at the same address under a new id. */
  async start() {
    this.#life++;
    this.id = `i-${crypto.randomBytes(5).toString("hex")}`;
    this.bornAt = performance.now();
    this.token = 0;
    this.leaseUntilMs = 0;
    this.ends = [];
    this.endCount = 0;
    /** Runs under way by task. */
    this.runs = new Map();
    /** Highest run that was started, stopped or ended here, by task. */
    this.lastRun = new Map();
    this.waiters = new Set();
    this.isUp = true;
    const life = this.#life;
    this.#server = http.createServer((req, res) => this.#serve(life, req, res));
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((done, fail) => {
      this.#server.once("error", fail);
      this.#server.listen(this.#port, "127.0.0.1", done);
    });
    this.#port = this.#server.address().port;
    this.sequence = 0;
    this.#beat();
    this.#every(HEARTBEAT_MS, () => this.#beat());
    this.#every(10, () => this.#lapse());
  }

  /** Ends this life at once: connections are reset and nothing is said. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    for (const timer of this.#timers) clearInterval(timer);
    this.#timers.clear();
    this.#server.closeAllConnections();
    this.#server.close();
    this.waiters.clear();
    for (const run of [...this.runs.values()]) this.#end(run, "crashed");
    const { id } = this;
    setTimeout(() => this.#options.store.remove("servers", id), ENTRY_MS);
  }

  get clockMs() {
    return Math.round(performance.now() - this.bornAt);
  }

  #every(ms, action) {
    this.#timers.add(setInterval(action, ms));
  }

  #beat() {
    const { store, service, zone, labels, capacity } = this.#options;
    this.sequence++;
    store.put("servers", this.id, {
      service,
      address: this.address,
      zone,
      version: "v1",
      slots: 8,
      state: "ready",
      cold_remaining_ms: 0,
      capacity,
      labels,
      clock_ms: this.clockMs,
      sequence: this.sequence,
    });
  }

  #lapse() {
    if (this.runs.size === 0 || this.clockMs <= this.leaseUntilMs) return;
    for (const run of [...this.runs.values()]) this.#end(run, "lapsed");
  }

  #serve(life, req, res) {
    let text = "";
    req.on("data", (chunk) => (text += chunk));
    req.on("end", () => {
      if (life !== this.#life || !this.isUp) return;
      const answer = (status, body = {}) => {
        if (res.destroyed || res.headersSent) return;
        res.writeHead(status, { "content-type": "application/json" });
        const full = status === 200 || status === 409
          ? { clock_ms: this.clockMs, ...body }
          : body;
        res.end(JSON.stringify(full));
      };
      if ((req.headers["x-expected-instance"] ?? this.id) !== this.id) {
        return answer(421);
      }
      const body = JSON.parse(text);
      const token = body.fencing_token ?? 0;
      if (token < this.token) return answer(409, { reason: "fence" });
      switch (req.url) {
        case "/run-start":
          return this.#start(body, answer);
        case "/run-stop":
          this.token = token;
          this.#stop(body);
          return answer(200);
        case "/hold":
          return this.#hold(body, answer, res);
        default:
          return answer(404);
      }
    });
  }

  #start({ task, run, spec, deadline_ms, fencing_token = 0, checkpoint = "" }, answer) {
    const { record, capacity, workMs, gpuOf } = this.#options;
    if (this.sheds) {
      record.note("worker", { worker: this.id, turns_away: `${task} run ${run}` });
      return answer(503);
    }
    this.token = Math.max(this.token, fencing_token);
    if (this.runs.get(task)?.run === run) return answer(200);
    if (run <= (this.lastRun.get(task) ?? 0)) return answer(409, { reason: "old" });
    if (deadline_ms <= this.clockMs) return answer(409, { reason: "late" });
    const used = [...this.runs.values()].reduce((sum, { gpu }) => sum + gpu, 0);
    const gpu = gpuOf(task);
    if (used + gpu > capacity.gpu) return answer(409, { reason: "room" });
    this.#lease(deadline_ms);
    this.lastRun.set(task, run);
    const started = { task, run, gpu, checkpoint, spec, startedAt: performance.now(), token: fencing_token };
    started.workMs = workMs(task);
    started.timer = setTimeout(() => this.#end(started, "done"), started.workMs);
    this.runs.set(task, started);
    record.runStarted(this, started);
    answer(200);
  }

  #stop({ task, run }) {
    this.lastRun.set(task, Math.max(run, this.lastRun.get(task) ?? 0));
    const current = this.runs.get(task);
    if (current !== undefined && current.run === run) this.#end(current, "stopped");
  }

  #hold({ deadline_ms, fencing_token = 0, last_seen = 0, wait_ms = 0 }, answer, res) {
    const { record } = this.#options;
    this.token = Math.max(this.token, fencing_token);
    if (deadline_ms !== undefined) {
      this.#lease(deadline_ms);
      record.leased(this, fencing_token);
    }
    this.ends = this.ends.filter(([number]) => number > last_seen);
    record.acknowledged(this, last_seen);
    const finish = () => {
      clearTimeout(timer);
      this.waiters.delete(finish);
      answer(200, {
        running: [...this.runs.values()].map((run) => [
          run.task,
          run.run,
          "",
          Math.floor(
            Math.min(99, 100 * (performance.now() - run.startedAt) / run.workMs),
          ),
          CPU_IN_USE,
        ]),
        finished_at: this.ends.slice(0, 500),
      });
    };
    const timer = setTimeout(finish, this.ends.length > 0 ? 0 : wait_ms);
    this.waiters.add(finish);
    res.on("close", () => {
      clearTimeout(timer);
      this.waiters.delete(finish);
    });
  }

  /** A lease never shortens, and a longer one is cut to the longest hold. */
  #lease(deadlineMs) {
    const cut = Math.min(deadlineMs, this.clockMs + this.#options.maxHoldMs);
    this.leaseUntilMs = Math.max(this.leaseUntilMs, cut);
  }

  #end(run, how) {
    if (this.runs.get(run.task) !== run) return;
    clearTimeout(run.timer);
    this.runs.delete(run.task);
    if (how !== "crashed") {
      this.ends.push([++this.endCount, run.task, run.run, how, ""]);
    }
    this.#options.record.runEnded(this, run, how, this.endCount);
    for (const finish of [...this.waiters]) finish();
  }
}
