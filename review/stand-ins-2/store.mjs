// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): rows,
// transactions and the feed, in memory. Workers tell it their heartbeats on /beat, a path
// of this stand-in; it drops an entry after three heartbeats of silence.
// SIGUSR2 begins a disruption and ends it: MODE `down` (503 to every call) or a factor by
// which it takes longer to answer.
//   node store.mjs PORT [MODE]
import http from "node:http";

const HEARTBEAT_MS = 1500;
const READ_MS = 4;
const WRITE_MS = 5;
const HISTORY_MS = 20_000;
const MOST_ROWS = 500;
const MOST_ENTRIES = 100;
const ROW_BYTES = 65_536;

let ver = 0;
/** Versions up to this one can't be asked for any more. */
let forgotten = 0;
const rows = new Map();
let history = [];
const beats = new Map();
const waiting = new Set();
const mode = process.argv[3] ?? "down";
/** Whether the store is down: it answers 503 and does nothing. */
let down = false;
/** How many times as long each answer takes. */
let slowness = 1;
process.on("SIGUSR2", () => {
  if (mode === "down") down = !down;
  else slowness = slowness === 1 ? Number(mode) : 1;
  for (const wake of [...waiting]) wake();
});

const nameOf = (r) => JSON.stringify([r.table, r.part ?? "", r.tls_key]);
const now = () => performance.now();
const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function apply(puts, removals) {
  ver++;
  for (const { table, part = "", tls_key, value } of puts) {
    const row = { table, part, tls_key, value, ver };
    rows.set(nameOf(row), row);
    history.push({ atMs: now(), row });
  }
  for (const { table, part = "", tls_key } of removals) {
    const row = { table, part, tls_key, ver, gone: true };
    if (!rows.delete(nameOf(row))) continue;
    history.push({ atMs: now(), row });
  }
  for (const wake of [...waiting]) wake();
}

function answer(res, status, body) {
  const text = JSON.stringify({ ver, now_ms: Math.round(now()), ...body });
  res.writeHead(status, { "content-type": "application/json" }).end(text);
}

async function transact(res, tx) {
  await pause(WRITE_MS * slowness);
  if (down) return res.writeHead(503).end();
  const { expected_revision: conditions = [], put = [], remove = [] } = tx;
  const count = conditions.length + put.length + remove.length;
  const parts = new Set([...conditions, ...put, ...remove].map((r) => r.part ?? ""));
  const tooLarge = put.some((r) => Buffer.from(r.value, "base64").length > ROW_BYTES);
  if (count > MOST_ENTRIES || parts.size > 1 || tooLarge) return answer(res, 400, {});
  const found = conditions.map((c) => rows.get(nameOf(c)));
  if (conditions.some((c, i) => (found[i]?.ver ?? 0) !== c.ver)) {
    return answer(res, 412, { rows: found.filter((row) => row !== undefined) });
  }
  apply(put, remove);
  answer(res, 200, {});
}

async function get(res, query) {
  await pause(READ_MS * slowness);
  if (down) return res.writeHead(503).end();
  const [table, part, from] = ["table", "part", "from"].map((n) => query.get(n) ?? "");
  const to = query.get("target_version");
  const limit = Math.min(MOST_ROWS, Number(query.get("limit") ?? MOST_ROWS));
  const bytes = (text) => Buffer.from(text);
  const found = [...rows.values()].filter((r) =>
    r.table === table && r.part === part &&
    Buffer.compare(bytes(r.tls_key), bytes(from)) >= 0 &&
    (to === null || Buffer.compare(bytes(r.tls_key), bytes(to)) < 0)
  ).sort((a, b) => Buffer.compare(bytes(a.tls_key), bytes(b.tls_key)));
  const page = [];
  let size = 0;
  for (const row of found) {
    size += row.value.length + 200;
    if (page.length === limit || (size > 1_000_000 && page.length > 0)) break;
    page.push(row);
  }
  answer(res, 200, { rows: page, more: page.length < found.length });
}

async function feed(req, res, query) {
  const table = query.get("table");
  const after = Number(query.get("after") ?? 0);
  const endMs = now() + Math.min(30_000, Number(query.get("wait_ms") ?? 0));
  await pause(READ_MS * slowness);
  for (;;) {
    if (after < forgotten) return answer(res, 410, {});
    const newest = new Map();
    for (const { row } of history) {
      if (row.table === table && row.ver > after) newest.set(nameOf(row), row);
    }
    const changed = [...newest.values()].sort((a, b) => a.ver - b.ver);
    const leftMs = endMs - now();
    if (changed.length > 0 || leftMs <= 0) return answer(res, 200, { rows: changed });
    await new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiting.delete(wake);
        req.socket.off("close", wake);
        resolve();
      };
      const timer = setTimeout(wake, leftMs);
      waiting.add(wake);
      req.socket.once("close", wake);
    });
    if (req.socket.destroyed) return;
    if (down) return res.writeHead(503).end();
  }
}

function beat(res, { id, entry }) {
  beats.set(id, now());
  const name = nameOf({ table: "servers", tls_key: id });
  const { clock_ms: _, sequence: __, ...lasting } = entry;
  const was = rows.get(name);
  const { clock_ms: ___, sequence: ____, ...old } = was === undefined
    ? {}
    : JSON.parse(Buffer.from(was.value, "base64").toString());
  if (JSON.stringify(old) !== JSON.stringify(lasting)) {
    const value = Buffer.from(JSON.stringify(entry)).toString("base64");
    apply([{ table: "servers", tls_key: id, value }], []);
  }
  answer(res, 200, {});
}

setInterval(() => {
  for (const [id, atMs] of beats) {
    if (now() - atMs < 3 * HEARTBEAT_MS) continue;
    beats.delete(id);
    apply([], [{ table: "servers", tls_key: id }]);
  }
  while (history.length > 0 && now() - history[0].atMs > HISTORY_MS) {
    forgotten = history.shift().row.ver;
  }
}, 100);

const server = http.createServer(async (req, res) => {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  if (down) return res.writeHead(503).end();
  const url = new URL(req.url, "http://127.0.0.1");
  const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
  switch (`${req.method} ${url.pathname}`) {
    case "POST /rows-tx":
      return transact(res, body);
    case "GET /rows-get":
      return get(res, url.searchParams);
    case "GET /rows-feed":
      return feed(req, res, url.searchParams);
    case "POST /beat":
      return beat(res, body);
    default:
      answer(res, 404, {});
  }
});
server.keepAliveTimeout = 60_000;
server.listen(Number(process.argv[2]), "127.0.0.1", () => console.log("ready"));
