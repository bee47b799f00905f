// LOST: many users come at once with jobs that fall due on later days, and every box ends.
import path from "node:path";
import { fileURLToPath } from "node:url";
import * as plays from "../stand-ins-2/play.mjs";

/** Jobs that run each night: 50 tasks on 400 days. */
const TASKS = 50;
const DAYS = 400;
const DAY_MS = 86_400_000;
/** Nightly jobs come for so long, small ones until the end of the traffic. */
const NIGHTLY = { perS: 2.3, forS: 8 };
const SMALL_EACH_S = 1;
const TRAFFIC_S = 26;
const BURST = { fromS: 1, forS: 6, x: 2.2 };
const FINISH_S = 14;
const SMALL_TASKS = 2;
/** The rule's 3 s, counted only from 4 s of calm after the burst on. */
const STANDSTILL_MS = 3000;
const CALM_S = 4;
const ASKS = 5;
const bounds = { longestLeaseMs: 6000, stopMs: 400 };

const play = new plays.Play(path.dirname(fileURLToPath(import.meta.url)), "5");
await play.startStore();
await play.operate("config", plays.configOf(1));
const nodes = [];
for (const name of ["node-1", "node-2", "node-3"]) {
  const node = await play.startNode(name, bounds);
  play.keepRunning(node, bounds);
  nodes.push(node);
}
for (let i = 1; i <= 8; i++) await play.startWorker({ id: `i-0000000${i}`, maxHoldMs: 6000 });
for (const node of nodes) await play.awaitReady(node);
await plays.sleep(3000);

const spec = JSON.stringify({ ms: [1000], needs: [{ cpu: 500, mem_mb: 256 }] });
const step = { cpu: 500, mem_mb: 256, estimated_ms: 1000 };
const accepted = [];
async function handIn(id, job) {
  for (let i = 0; i < 6; i++) {
    const node = nodes[(accepted.length + i) % nodes.length];
    const { status } = await plays.ask(node, "POST", id, job);
    if (status >= 200 && status < 300) return accepted.push({ id, atMs: Date.now() });
    play.note(`POST ${id} at ${node.name}: ${status}`);
    await plays.sleep(300);
  }
}
const beganMs = Date.now();
const elapsedS = () => (Date.now() - beganMs) / 1000;
let nightly = 0;
let small = 0;
let owed = 0;
let lastS = 0;
while (elapsedS() < TRAFFIC_S) {
  const nowS = elapsedS();
  const isBurst = play.trouble && nowS >= BURST.fromS && nowS < BURST.fromS + BURST.forS;
  if (nowS < NIGHTLY.forS) owed += (nowS - lastS) * NIGHTLY.perS * (isBurst ? BURST.x : 1);
  lastS = nowS;
  if (owed >= nightly + 1) {
    await handIn(`5c0e7a21d${100_000 + ++nightly}a`, {
      spec,
      steps: [{ ...step, count: TASKS }],
      start_at_ms: Date.now() + DAY_MS,
      interval_ms: DAY_MS,
      max_runs: DAYS,
    });
  }
  // A job of two tasks, to be done at once.
  if (nowS >= SMALL_EACH_S * small) {
    await handIn(`6c0e7a21d${100_000 + ++small}a`, { spec, steps: [{ ...step, count: SMALL_TASKS }] });
  }
  await plays.sleep(50);
}
play.note(`accepted: ${accepted.length} of ${nightly} nightly and ${small} small jobs`);
await plays.sleep(FINISH_S * 1000);

/** Asks all boxes for a job, again after a second where none answers. */
async function isKnown(id) {
  for (let i = 0; i < ASKS; i++) {
    const answers = await Promise.all(nodes.map((node) => plays.ask(node, "GET", id)));
    if (answers.some(({ status }) => status === 200)) return true;
    await plays.sleep(1000);
  }
  return false;
}
const calmFromMs = beganMs + 1000 * (BURST.fromS + BURST.forS + CALM_S);
const lost = [];
for (const { id, atMs } of accepted) {
  if (!id.startsWith("6")) continue;
  const fromMs = Math.max(atMs, calmFromMs);
  const sinceMs = play.standsStillSince(id, SMALL_TASKS, fromMs);
  const stoodMs = sinceMs === null ? 0 : Date.now() - sinceMs;
  if (stoodMs > STANDSTILL_MS) lost.push(`${id} has nothing running for ${(stoodMs / 1000).toFixed(1)} s`);
}
for (const { id } of accepted) {
  if (!await isKnown(id)) lost.push(`${id} isn't known, or no box answers`);
}
const ends = nodes.map(({ name, ownEnds }) => `${name} ${ownEnds}`).join(", ");
play.note(`boxes ended by themselves: ${ends}`);
for (const line of lost.slice(0, 5)) play.note(line);
if (accepted.length < 10) await play.finish(2, "too few jobs were accepted");
else if (lost.length > 0) await play.finish(1, `LOST: ${lost.length} of ${accepted.length} accepted jobs`);
else await play.finish(0, "all accepted jobs are known, and none stands still");
