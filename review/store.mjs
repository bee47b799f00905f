/**
 * Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): rows,
 * transactions and feeds. Each node has a port of its own, so that the store knows who
 * calls and may give each node the address of its own link to a worker.
 */
import http from "node:http";

const TX_MS = 5;
const READ_MS = 1;
const MAX_ROWS = 500;

export class Store {
  #ver = 0;
  /** Rows by table, then by part and key. */
  #tables = new Map();
  /** Changes in order: { table, row }. */
  #changes = [];
  #waiters = new Set();
  #servers = [];
  #startedAt = performance.now();
  /** Address that a node gets instead of a worker's own; set by links. */
  addressFor = (_node, address) => address;

  /** Listens on a free port for one caller; returns host:port. */
  async listen(caller) {
    const server = http.createServer((req, res) => this.#serve(caller, req, res));
    server.keepAliveTimeout = 30_000;
    await new Promise((done) => server.listen(0, "127.0.0.1", done));
    this.#servers.push(server);
    return `127.0.0.1:${server.address().port}`;
  }

  close() {
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Writes a row as the operator or a worker does. */
  put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#commit([{ table, part: "", tls_key: key, value: text }], []);
  }

  /** Removes a row as the platform does when a worker has left. */
  remove(table, key) {
    this.#commit([], [{ table, part: "", tls_key: key }]);
  }

  #rowsOf(table) {
    if (!this.#tables.has(table)) this.#tables.set(table, new Map());
    return this.#tables.get(table);
  }

  #find({ table, part = "", tls_key }) {
    return this.#rowsOf(table).get(`${part}\0${tls_key}`);
  }

  #commit(puts, removals) {
    const ver = ++this.#ver;
    for (const { table, part = "", tls_key, value } of puts) {
      const row = { table, part, tls_key, value, ver };
      this.#rowsOf(table).set(`${part}\0${tls_key}`, row);
      this.#changes.push({ table, row });
    }
    for (const { table, part = "", tls_key } of removals) {
      const isThere = this.#rowsOf(table).delete(`${part}\0${tls_key}`);
      const row = { table, part, tls_key, ver, gone: true };
      if (isThere) this.#changes.push({ table, row });
    }
    for (const wake of [...this.#waiters]) wake();
    return ver;
  }

  #nowMs() {
    return Math.round(performance.now() - this.#startedAt);
  }

  #serve(caller, req, res) {
    const url = new URL(req.url, "http://store");
    let text = "";
    req.on("data", (chunk) => (text += chunk));
    req.on("end", () => {
      const answer = (status, body) => {
        if (res.destroyed || res.headersSent) return;
        const full = { ...body, ver: body.ver ?? this.#ver, now_ms: this.#nowMs() };
        res.writeHead(status, { "content-type": "application/json" });
        res.end(JSON.stringify(full));
      };
      switch (url.pathname) {
        case "/rows-tx":
          return setTimeout(() => this.#transact(JSON.parse(text), answer), TX_MS);
        case "/rows-get":
          return setTimeout(() => this.#get(caller, url.searchParams, answer), READ_MS);
        case "/rows-feed":
          return this.#feed(caller, url.searchParams, { answer, res });
        default:
          return answer(404, {});
      }
    });
  }

  #transact({ expected_revision = [], put = [], remove = [] }, answer) {
    const all = [...expected_revision, ...put, ...remove];
    const parts = new Set(all.map(({ part = "" }) => part));
    if (all.length > 100 || parts.size > 1) return answer(400, {});
    if ([...put, ...remove].some(({ table }) => table === "servers")) {
      return answer(403, {});
    }
    const isMet = expected_revision.every((row) =>
      (this.#find(row)?.ver ?? 0) === row.ver
    );
    if (!isMet) {
      const rows = expected_revision.flatMap((row) => this.#find(row) ?? []);
      return answer(412, { rows });
    }
    answer(200, { ver: this.#commit(put, remove) });
  }

  #get(caller, params, answer) {
    const table = params.get("table") ?? "";
    const part = params.get("part") ?? "";
    const from = params.get("from") ?? "";
    const until = params.get("target_version");
    const limit = Math.min(MAX_ROWS, Number(params.get("limit") ?? MAX_ROWS));
    const bytes = (key) => Buffer.from(key);
    const rows = [...this.#rowsOf(table).values()]
      .filter((row) => row.part === part)
      .filter(({ tls_key }) => Buffer.compare(bytes(tls_key), bytes(from)) >= 0)
      .filter(({ tls_key }) =>
        until === null || Buffer.compare(bytes(tls_key), bytes(until)) < 0
      )
      .sort((a, b) => Buffer.compare(bytes(a.tls_key), bytes(b.tls_key)));
    const page = rows.slice(0, limit).map((row) => this.#shown(caller, row));
    answer(200, { rows: page, more: rows.length > limit });
  }

  #feed(caller, params, { answer, res }) {
    const table = params.get("table") ?? "";
    const after = Number(params.get("after") ?? 0);
    const waitMs = Math.min(30_000, Number(params.get("wait_ms") ?? 0));
    const changed = () =>
      this.#changes.filter((one) => one.table === table && one.row.ver > after);
    let timer = null;
    const finish = () => {
      clearTimeout(timer);
      this.#waiters.delete(wake);
      const rows = changed().map(({ row }) => this.#shown(caller, row));
      answer(200, { rows });
    };
    const wake = () => {
      if (changed().length > 0) finish();
    };
    if (changed().length > 0) return setTimeout(finish, READ_MS);
    this.#waiters.add(wake);
    timer = setTimeout(finish, waitMs);
    res.on("close", () => {
      clearTimeout(timer);
      this.#waiters.delete(wake);
    });
  }

  /** A row as one caller gets it: workers' addresses are those of its own links. */
  #shown(caller, row) {
    if (row.table !== "servers" || row.gone === true) return row;
    const entry = JSON.parse(Buffer.from(row.value, "base64").toString());
    const address = this.addressFor(caller, entry.address);
    const text = JSON.stringify({ ...entry, address });
    return { ...row, value: Buffer.from(text).toString("base64") };
  }
}
