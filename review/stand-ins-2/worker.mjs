// Stand-in of one life of one worker (PROTOCOL.md, "Running tasks"). The spec of a job is
// JSON: how long a task works. It writes each start and each end to the log of the play.
//   node worker.mjs '{"id","port","store","service","zone","capacity","labels",
//                     "maxHoldMs","stopMs","log"}'
import fs from "node:fs";
import http from "node:http";

const HEARTBEAT_MS = 1500;
const MOST_ENDS = 500;
const STOP_MS = 50;
const me = JSON.parse(process.argv[2]);
const bornMs = performance.now();
const clock = () => Math.round(performance.now() - bornMs + 1000);
const note = (line) =>
  fs.appendFileSync(me.log, `${JSON.stringify({ at: Date.now(), worker: me.id, ...line })}\n`);

let fence = 0;
let leaseMs = 0;
let sequence = 0;
let draining = false;
let ends = 0;
const running = new Map();
/** The highest run of each task that was started, stopped or ended here. */
const highest = new Map();
let finished = [];
const waiting = new Set();

function used(what) {
  return [...running.values()].reduce((sum, run) => sum + run.needs[what], 0);
}

function end(task, how) {
  const run = running.get(task);
  if (run === undefined) return;
  clearTimeout(run.timer);
  running.delete(task);
  finished.push([++ends, task, run.run, how, ""]);
  note({ end: task, run: run.run, how, number: ends });
  for (const wake of [...waiting]) wake();
}

function lease(deadlineMs) {
  leaseMs = Math.max(leaseMs, Math.min(deadlineMs, clock() + me.maxHoldMs));
}

setInterval(() => {
  if (clock() < leaseMs) return;
  for (const task of [...running.keys()]) end(task, "lapsed");
}, 20);

function start(order) {
  const { task, run, spec, deadline_ms: deadlineMs, fencing_token: token = 0 } = order;
  if (token < fence) return [409, { reason: "fence" }];
  fence = token;
  if (running.get(task)?.run === run) return [200, {}];
  if (run <= (highest.get(task) ?? 0)) {
    lease(deadlineMs);
    return [409, { reason: "old" }];
  }
  if (deadlineMs <= clock()) return [409, { reason: "late" }];
  lease(deadlineMs);
  const [, , step, index] = task.split(".").map(Number);
  const work = JSON.parse(spec);
  const needs = work.needs[step];
  const fits = Object.keys(needs).every((what) => used(what) + needs[what] <= me.capacity[what]);
  if (!fits) return [409, { reason: "room" }];
  const ms = work.ms[step] + (work.spreadMs?.[step] ?? 0) * index;
  const entry = { run, needs, startedMs: clock(), ms };
  entry.timer = setTimeout(() => end(task, "done"), ms);
  running.set(task, entry);
  highest.set(task, run);
  note({ start: task, run, token, spec });
  return [200, {}];
}

function stop({ task, run, fencing_token: token = 0 }) {
  if (token < fence) return [409, { reason: "fence" }];
  fence = token;
  highest.set(task, Math.max(run, highest.get(task) ?? 0));
  if (running.get(task)?.run === run) setTimeout(() => end(task, "stopped"), STOP_MS);
  return [200, {}];
}

async function hold(req, order) {
  const { fencing_token: token = 0, last_seen: seen = 0, wait_ms: waitMs = 0 } = order;
  if (token < fence) return [409, { reason: "fence" }];
  fence = token;
  finished = finished.filter(([number]) => number > seen);
  if (seen > 0) note({ seen });
  if (order.deadline_ms !== undefined) lease(order.deadline_ms);
  if (finished.length === 0 && waitMs > 0) {
    await new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiting.delete(wake);
        req.socket.off("close", wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.min(2000, waitMs));
      waiting.add(wake);
      req.socket.once("close", wake);
    });
  }
  const held = [...running].map(([task, { run, startedMs, ms }]) => [
    task,
    run,
    "",
    Math.min(99, Math.floor(100 * (clock() - startedMs) / ms)),
  ]);
  return [200, { running: held, finished_at: finished.slice(0, MOST_ENDS) }];
}

const server = http.createServer(async (req, res) => {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  const send = ([status, body]) =>
    res.writeHead(status, { "content-type": "application/json" })
      .end(JSON.stringify({ clock_ms: clock(), ...body }));
  if (req.headers["x-expected-instance"] !== me.id) return res.writeHead(421).end();
  const order = JSON.parse(Buffer.concat(chunks).toString());
  switch (req.url) {
    case "/run-start":
      return send(start(order));
    case "/run-stop":
      return send(stop(order));
    case "/hold":
      return send(await hold(req, order));
    default:
      res.writeHead(404).end();
  }
});
server.keepAliveTimeout = 60_000;

async function beat() {
  const { id, service, zone, capacity, labels } = me;
  const entry = {
    service,
    address: `127.0.0.1:${me.port}`,
    zone,
    version: "v1",
    slots: 8,
    state: draining ? "draining" : "ready",
    cold_remaining_ms: 0,
    capacity,
    labels,
    clock_ms: clock(),
    sequence: ++sequence,
  };
  const body = JSON.stringify({ id, entry });
  const options = { method: "POST", body, signal: AbortSignal.timeout(1000) };
  await fetch(`http://${me.store}/beat`, options).then((r) => r.text()).catch(() => {});
}

server.listen(me.port, "127.0.0.1", async () => {
  note({ life: "begins" });
  console.log("ready");
  await beat();
  setInterval(beat, HEARTBEAT_MS);
});
