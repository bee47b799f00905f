/**
 * A queue with advice. The policy lets 3 of 33 workers run the step, one task at a time
 * each. These three are cut off for 5 s and run on; then they answer again and stay
 * idle. With TROUBLE=0 they are never cut off.
 */
import * as http from "node:http";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import * as P from "../stand-ins-3/platform.mjs";

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== "0";
const WORKERS = 33;
const ALLOWED = 3;
/** Time of the cut: half a second after the first tasks have begun, for 5 s. */
const CUT_AFTER_MS = 500;
const CUT_MS = 5000;
const VALIDITY_MS = 3000;
const DECISION_MS = 50;
const PERIOD_MS = 2;
/** LOST: 4 s of calm and then 3 s in which nothing of the job runs. */
const CALM_MS = 4000;
const IDLE_MS = 3000;
/** Far longer than both: the job is asked for at the end. */
const WATCH_MS = 30_000;
const JOB = "00000000000000c9";
const STEP = { count: 9, cpu: 8000, mem_mb: 2000, gpu: 1, estimated_ms: 1500, anti_affinity: 1 };

/** The advice service: it alone knows which workers may run the step. */
class Advice {
  tickets = new Map();
  allowed = new Set();
  issued = 0;
  /** It works on one call at a time. */
  turn = Promise.resolve();

  constructor(recorder) {
    this.recorder = recorder;
    this.server = http.createServer((req, res) => {
      let text = "";
      req.on("data", (chunk) => (text += chunk));
      req.on("end", () => {
        this.turn = this.turn.then(() => this.#answer(JSON.parse(text), res));
      });
    });
  }

  async start() {
    return `127.0.0.1:${await P.listen(this.server)}`;
  }

  async #answer({ step, workers }, res) {
    await P.sleep(DECISION_MS + PERIOD_MS * workers.length);
    const healthy = workers.filter((id) => this.allowed.has(id)).map((id) => {
      const ticket = `k${++this.issued}`;
      this.tickets.set(`${step} ${id} ${ticket}`, P.now() + VALIDITY_MS);
      return [id, ticket];
    });
    this.recorder.note(`advice on ${step}: ${workers.length} workers named, ${workers.filter((id) => this.allowed.has(id)).length} of them allowed`);
    res.setHeader("content-type", "application/json");
    res.end(JSON.stringify({ healthy, validity_ms: VALIDITY_MS }));
  }

  holds({ worker, task, ticket }) {
    const step = task.split(".").slice(0, 3).join(".");
    return P.now() < (this.tickets.get(`${step} ${worker.id} ${ticket}`) ?? 0);
  }
}

await P.runCase(async () => {
  const before = new P.Recorder(FOLDER);
  const advice = new Advice(before);
  const adviceAddress = await advice.start();
  const workers = Array.from({ length: WORKERS }, (_, i) => ({ rack: `r1-${1 + Math.floor(i / 8)}` }));
  const policy = { decision_ms: DECISION_MS, period_ms: PERIOD_MS, validity_ms: VALIDITY_MS };
  const d = await P.startDeployment(FOLDER, {
    nodes: 3,
    workers,
    config: P.makeConfig(1, { route: { advice: policy } }),
    settings: { adviceAddress },
    world: {
      stepOf: () => STEP,
      mayStart: (start) => advice.holds(start),
      behave: () => ({ workMs: 1500, how: "done" }),
    },
  });
  advice.recorder = d.recorder;
  if (!d.isReady) throw new Error("the nodes are not ready");
  for (const { id } of d.world.workers.slice(-ALLOWED)) advice.allowed.add(id);
  d.recorder.note(`the policy allows ${[...advice.allowed].join(", ")}`);
  const [a, b] = d.nodes.nodes;
  const client = new P.Client(d.nodes.nodes, d.recorder);
  const { status } = await client.submit(a, JOB, { spec: "advised", steps: [STEP] });
  if (status !== 200) throw new Error(`the job was not accepted: ${status}`);
  while (d.world.runs.length === 0) await P.sleep(20);
  if (TROUBLE) {
    await P.sleep(CUT_AFTER_MS);
    d.recorder.note(`the allowed workers are cut off for ${CUT_MS} ms`);
    d.world.rule = ({ worker }) => advice.allowed.has(worker.id) ? { drop: true } : undefined;
    await P.sleep(CUT_MS);
    d.world.rule = () => undefined;
    d.recorder.note("the cut has healed");
  }
  const calmAt = P.now() + CALM_MS;
  let idleSince = P.now();
  let longestIdleMs = 0;
  let state = "";
  const until = P.now() + WATCH_MS;
  while (P.now() < until && state !== "completed" && state !== "failed") {
    await P.sleep(100);
    const isIdle = d.world.openRuns().length === 0;
    if (!isIdle || P.now() < calmAt) idleSince = P.now();
    longestIdleMs = Math.max(longestIdleMs, P.now() - idleSince);
    if (Math.floor(P.now() / 100) % 10 === 0) state = (await client.state(b, JOB)).body?.state ?? state;
  }
  const done = d.world.runs.filter(({ how }) => how === "done").length;
  d.recorder.note(`at the end: shown as ${state}; ${done} of ${STEP.count} tasks done; ` +
    `after the calm nothing of the job ran for ${Math.round(longestIdleMs)} ms`);
  const isBroken = state !== "completed" && state !== "failed" && longestIdleMs > IDLE_MS;
  d.recorder.note(isBroken ? "LOST is broken" : "LOST holds");
  advice.server.closeAllConnections();
  advice.server.close();
  await d.stop();
  return isBroken;
});
