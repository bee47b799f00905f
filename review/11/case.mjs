/**
 * A configuration sends a queue to another service, as the workers of the old one are full
 * with tasks of another queue that last. A job of the queue that was accepted before waits.
 * With TROUBLE=0 the configuration does not change.
 */
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import * as P from "../stand-ins-3/platform.mjs";

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== "0";
const GPUS = 8;
const OLD_WORKERS = 2;
const NEW_WORKERS = 31;
const WORK_MS = 3000;
/** Bounds: config_apply_ms, and of LOST: 4 s of calm, then 3 s in which nothing runs. */
const CONFIG_MS = 2000;
const CALM_MS = 4000;
const IDLE_MS = 3000;
const WATCH_MS = 30_000;
const SERVING_JOB = "0000000000000100";
const JOB = "0000000000000101";
const LATER_JOB = "0000000000000102";
const SERVING = { count: OLD_WORKERS, cpu: 30_000, mem_mb: 8000, gpu: GPUS, estimated_ms: 5000, long_running: true };
const STEP = { count: 2, cpu: 8000, mem_mb: 2000, gpu: 1, estimated_ms: WORK_MS };
const stepOf = (task) => task.startsWith(SERVING_JOB) ? SERVING : STEP;

/** Two queues: the tasks that last stay with svc-a, the other queue goes to `service`. */
function configOf(version, service) {
  const config = P.makeConfig(version);
  const [route] = config.routes;
  config.routes = [
    { ...route, name: "r-1", path_prefix: "/q/", service },
    { ...route, name: "r-2", path_prefix: "/s/", service: "svc-a" },
  ];
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
    world: { stepOf, behave: ({ task }) => ({ workMs: stepOf(task).long_running ? Infinity : WORK_MS, how: "done" }) },
  });
  if (!d.isReady) throw new Error("the nodes are not ready");
  const [a, b] = d.nodes.nodes;
  const client = new P.Client(d.nodes.nodes, d.recorder);
  const serving = new P.Client(d.nodes.nodes, d.recorder, { prefix: "/s/" });
  const submit = async (from, id, step) => {
    const { status } = await from.submit(a, id, { spec: "work", steps: [step] });
    if (status !== 200) throw new Error(`the job was not accepted: ${status}`);
  };
  await submit(serving, SERVING_JOB, SERVING);
  while (d.world.runs.length < SERVING.count) await P.sleep(20);
  await submit(client, JOB, STEP);
  await P.sleep(1000);
  let service = "svc-a";
  if (TROUBLE) {
    d.recorder.note("configuration 2 sends the queue to svc-b");
    d.store.putJson("op", "config", configOf(2, "svc-b"));
    service = "svc-b";
    await P.sleep(CONFIG_MS + 500);
    // A job of the same queue that comes now, to show where the queue's tasks run.
    await submit(client, LATER_JOB, STEP);
  }
  const usedOf = (worker) => [...worker.held.values()].reduce((sum, { use }) => sum + use.gpu, 0);
  const runsOf = (id) => d.world.runs.filter(({ task }) => task.startsWith(`${id}.`));
  const calmAt = P.now() + CALM_MS;
  const until = P.now() + WATCH_MS;
  let idleSince = null;
  let longestIdleMs = 0;
  while (P.now() < until && runsOf(JOB).length === 0) {
    await P.sleep(100);
    // Room in the service of the queue, by the configuration in force.
    const used = d.world.workers.filter(({ spec }) => spec.service === service).map(usedOf);
    const sum = used.reduce((total, gpus) => total + gpus, 0);
    const total = used.length * GPUS;
    const isRoomy = total - sum >= 2 * STEP.count && sum * 2 < total;
    const isIdle = isRoomy && P.now() >= calmAt && runsOf(JOB).length === 0;
    idleSince = isIdle ? idleSince ?? P.now() : null;
    if (isIdle) longestIdleMs = Math.max(longestIdleMs, P.now() - idleSince);
  }
  const { body } = await client.state(b, JOB);
  if (TROUBLE) await client.state(b, LATER_JOB);
  d.recorder.note(`at the end: shown as ${body?.state}; ${runsOf(JOB).length} runs; after the calm nothing of the job ran for ` +
    `${Math.round(longestIdleMs)} ms with room in ${service}, the service of its queue`);
  const isBroken = longestIdleMs > IDLE_MS;
  d.recorder.note(isBroken ? "LOST is broken" : "LOST holds");
  await d.stop();
  return isBroken;
});
