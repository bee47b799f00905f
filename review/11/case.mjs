/**
 * A long-running task. The worker that runs it crashes three times, each time some
 * seconds after the start, and is back 1.5 s later with a new id. The task itself never
 * fails. A batch task of 20 s beside it is treated in the same way; it is recorded only.
 * With TROUBLE=0 no worker crashes.
 */
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import * as P from "../stand-ins-3/platform.mjs";

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== "0";
/** One worker of eight is down at a time. */
const WORKERS = 8;
const DOWN_MS = 1500;
const CRASH_AFTER_MS = 3000;
const CRASHES = 3;
const BATCH_MS = 20_000;
/** The state is asked for after the last crash and a calm of 4 s, for 12 s. */
const CALM_MS = 4000;
const WATCH_MS = 12_000;
const LASTING = "00000000000000d1";
const BATCH = "00000000000000d2";
const RESOURCES = { count: 1, cpu: 8000, mem_mb: 2000, gpu: 1 };
const STEPS = {
  [LASTING]: { ...RESOURCES, long_running: true },
  [BATCH]: { ...RESOURCES, estimated_ms: BATCH_MS },
};

await P.runCase(async () => {
  const stepOf = (task) => STEPS[task.split(".")[0]];
  const d = await P.startDeployment(FOLDER, {
    nodes: 3,
    workers: Array.from({ length: WORKERS }, (_, i) => ({ rack: `r1-${1 + i}` })),
    world: {
      stepOf,
      behave: ({ task }) => ({ workMs: stepOf(task).long_running ? Infinity : BATCH_MS, how: "done" }),
    },
  });
  if (!d.isReady) throw new Error("the nodes are not ready");
  const [a, b] = d.nodes.nodes;
  const client = new P.Client(d.nodes.nodes, d.recorder);
  const runsOf = (id) => d.world.runs.filter(({ task }) => task.startsWith(`${id}.`));

  /** Submits one job and lets the workers under it crash; returns its last state. */
  async function play(id) {
    const { status } = await client.submit(a, id, { spec: "work", steps: [STEPS[id]] });
    if (status !== 200) throw new Error(`the job was not accepted: ${status}`);
    for (let crashes = 0; TROUBLE && crashes < CRASHES;) {
      await P.sleep(50);
      const run = runsOf(id).find(({ endedAt }) => endedAt === null);
      if (run === undefined || P.now() - run.startedAt < CRASH_AFTER_MS) {
        if (P.now() > 90_000) throw new Error("the task was not started again");
        continue;
      }
      const worker = d.world.workers.find((one) => one.id === run.worker);
      worker.crash();
      crashes++;
      await P.sleep(DOWN_MS);
      await worker.begin();
    }
    await P.sleep(CALM_MS);
    let state = "";
    const until = P.now() + WATCH_MS;
    while (P.now() < until && state !== "failed") {
      state = (await client.state(b, id)).body?.state ?? state;
      await P.sleep(1000);
    }
    const ends = runsOf(id).map(({ run, worker, how }) => `run ${run} at ${worker}: ${how ?? "runs"}`);
    d.recorder.note(`${id} is shown as ${state}; ${ends.join(", ")}`);
    return state;
  }

  const state = await play(LASTING);
  const isFailedRun = runsOf(LASTING).some(({ how }) => how === "failed");
  const isBroken = (state === "failed" || state === "canceled") && !isFailedRun;
  d.recorder.note(isBroken ? "LOST is broken" : "LOST holds");
  d.recorder.note("The batch task, not judged:");
  await play(BATCH);
  await d.stop();
  return isBroken;
});
