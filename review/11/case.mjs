/**
 * A configuration sends a queue to another service. The two workers of the old service
 * are emptied and taken away, as planned. A job that was accepted before runs on them.
 * With TROUBLE=0 neither the configuration nor the workers change.
 */
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import * as P from "../stand-ins-3/platform.mjs";

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== "0";
const OLD_WORKERS = 2;
const NEW_WORKERS = 31;
const WORK_MS = 12_000;
/** A worker says `draining`, serves on for this time, and ends. */
const DRAIN_MS = 5000;
/** Bounds: config_apply_ms, and of LOST: 4 s of calm, then 3 s in which nothing runs. */
const CONFIG_MS = 2000;
const CALM_MS = 4000;
const IDLE_MS = 3000;
const WATCH_MS = 35_000;
const JOB = "0000000000000101";
const LATER_JOB = "0000000000000102";
const STEP = { count: 2, cpu: 8000, mem_mb: 2000, gpu: 1, estimated_ms: WORK_MS };

function configOf(version, service) {
  const config = P.makeConfig(version, { route: { service } });
  config.services = ["svc-a", "svc-b"].map((name) => ({ ...config.services[0], name }));
  return config;
}

await P.runCase(async () => {
  const old = Array.from({ length: OLD_WORKERS }, () => ({ service: "svc-a", rack: "r1-1" }));
  const later = Array.from({ length: NEW_WORKERS }, (_, i) => ({ service: "svc-b", rack: `r1-${2 + Math.floor(i / 8)}` }));
  const d = await P.startDeployment(FOLDER, {
    nodes: 3,
    workers: [...old, ...later],
    config: configOf(1, "svc-a"),
    world: { stepOf: () => STEP, behave: () => ({ workMs: WORK_MS, how: "done" }) },
  });
  if (!d.isReady) throw new Error("the nodes are not ready");
  const [a, b] = d.nodes.nodes;
  const client = new P.Client(d.nodes.nodes, d.recorder);
  const { status } = await client.submit(a, JOB, { spec: "work", steps: [STEP] });
  if (status !== 200) throw new Error(`the job was not accepted: ${status}`);
  while (d.world.runs.length < STEP.count) await P.sleep(20);
  await P.sleep(1000);
  if (TROUBLE) {
    d.recorder.note("configuration 2 sends the queue to svc-b");
    d.store.putJson("op", "config", configOf(2, "svc-b"));
    await P.sleep(CONFIG_MS + 500);
    for (const worker of d.world.workers.slice(0, OLD_WORKERS)) {
      d.recorder.note(`worker ${worker.id} is draining`);
      worker.drain(DRAIN_MS);
    }
    await P.sleep(DRAIN_MS + 500);
    for (const worker of d.world.workers.slice(0, OLD_WORKERS)) {
      worker.crash();
      d.store.remove("servers", worker.id);
      d.recorder.note(`worker ${worker.id} has left`);
    }
    // A job of the same queue that comes now, to show where the queue's tasks run.
    await client.submit(a, LATER_JOB, { spec: "work", steps: [STEP] });
  }
  const runsOf = (id) => d.world.runs.filter(({ task }) => task.startsWith(`${id}.`));
  const calmAt = P.now() + CALM_MS;
  let idleSince = P.now();
  let longestIdleMs = 0;
  let state = "";
  const until = P.now() + WATCH_MS;
  while (P.now() < until && state !== "completed" && state !== "failed") {
    await P.sleep(500);
    const isIdle = runsOf(JOB).every(({ endedAt }) => endedAt !== null);
    if (!isIdle || P.now() < calmAt) idleSince = P.now();
    longestIdleMs = Math.max(longestIdleMs, P.now() - idleSince);
    state = (await client.state(b, JOB)).body?.state ?? state;
  }
  if (TROUBLE) await client.state(b, LATER_JOB);
  d.recorder.note(`at the end: shown as ${state}; runs: ${runsOf(JOB).map(({ run, worker, how }) => `${run} at ${worker} ${how}`).join(", ")}; ` +
    `after the calm nothing of the job ran for ${Math.round(longestIdleMs)} ms, with ${NEW_WORKERS} workers of svc-b`);
  const isBroken = state !== "completed" && state !== "failed" && longestIdleMs > IDLE_MS;
  d.recorder.note(isBroken ? "LOST is broken" : "LOST holds");
  await d.stop();
  return isBroken;
});
