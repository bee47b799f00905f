// LOST: a job is shown as failed because the worker that holds it goes down and up by turns.
import path from "node:path";
import { fileURLToPath } from "node:url";
import * as plays from "../stand-ins-2/play.mjs";

const WORKERS = 8;
const WORK_MS = 8000;
const TURNS = 4;
/** The worker goes down so long after the task has begun on it. */
const UP_MS = 2500;
const DOWN_MS = 4500;
const ID = "5c0e7a21d94b3610";

const play = new plays.Play(path.dirname(fileURLToPath(import.meta.url)), "5");
await play.startStore();
await play.operate("config", plays.configOf(1));
const nodes = [];
for (const name of ["node-1", "node-2", "node-3"]) nodes.push(await play.startNode(name, { longestLeaseMs: 6000, stopMs: 400 }));
for (let i = 1; i < WORKERS; i++) await play.startWorker({ id: `i-0000000${i}`, maxHoldMs: 6000 });
// One worker of eight is of the kind that the job needs: a share of 0.125.
let life = 1;
const fields = { labels: ["b", "r1"], maxHoldMs: 6000 };
let worker = await play.startWorker({ ...fields, id: `i-1000000${life}` });
for (const node of nodes) await play.awaitReady(node);
await plays.sleep(3000);

const spec = JSON.stringify({ ms: [WORK_MS], needs: [{ cpu: 7500, mem_mb: 22_000, gpu: 1 }] });
const steps = [{
  count: 1,
  cpu: 7500,
  mem_mb: 22_000,
  gpu: 1,
  estimated_ms: WORK_MS,
  requirements: "b",
}];
if (!await plays.submit(play, nodes, ID, { spec, steps })) {
  await play.finish(2, "the job was not accepted");
}
const runs = () => play.events().filter((e) => e.start).length;
let shown = "";
async function look() {
  for (const node of nodes) {
    const { status, body } = await plays.ask(node, "GET", ID);
    if (status !== 200) continue;
    if (body.state !== shown) play.note(`GET ${ID} at ${node.name}: ${body.state}`);
    shown = body.state;
    return shown;
  }
  return "";
}
const isOver = () => shown === "failed" || shown === "completed" || shown === "canceled";
for (let turn = 1; play.trouble && turn <= TURNS && !isOver(); turn++) {
  for (let i = 0; i < 300 && runs() < turn && !isOver(); i++) {
    await plays.sleep(50);
    if (i % 10 === 0) await look();
  }
  if (runs() < turn) break;
  await plays.sleep(UP_MS);
  worker.child.kill("SIGKILL");
  play.note(`the worker goes down, time ${turn}`);
  await plays.sleep(DOWN_MS);
  worker = await play.startWorker({ ...fields, id: `i-1000000${++life}`, port: worker.port });
  play.note(`it comes up as ${worker.id}`);
}
for (let i = 0; i < 70 && !isOver(); i++) {
  await plays.sleep(500);
  await look();
}
const failedEnds = play.events().filter((e) => e.how === "failed").length;
play.note(`shown as ${shown}; runs ${runs()}; ends that workers listed as failed: ${failedEnds}`);
if (shown === "failed" && failedEnds < 4) {
  await play.finish(1, `LOST: the job is shown as failed after ${failedEnds} of 4 attempts`);
} else if (shown === "completed") await play.finish(0, "the job was shown as completed");
else await play.finish(2, "the job has not ended in the time of the play");
