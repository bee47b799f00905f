/**
 * One worker of six turns away all starts with 503 while its looks are good; the others
 * are full. Jobs wait, and a client asks how many. TROUBLE=0 leaves the refusals out.
 */
import { runCase, sleep, until } from "../fleet.mjs";

const MAX_HOLD_MS = 6000;
const LONG_MS = 100_000;
const WAITING_JOBS = 10;
/** visible_ms + 2 s, and some more. */
const PENDING_AFTER_MS = 6500;

runCase("3", async ({ record, hasTrouble, createFleet }) => {
  const fleet = createFleet({ maxHoldMs: MAX_HOLD_MS, stopMs: 400, attempts: 4 });
  await fleet.addWorkers(6);
  fleet.configure();
  if (!await fleet.startNodes(3)) throw new Error("the nodes aren't ready");
  for (let i = 0; i < 5; i++) await fleet.submit({ workMs: LONG_MS, gpu: 8 }, {});
  if (!await until(() => record.runs.length === 5, 10_000)) {
    throw new Error("the long jobs haven't begun");
  }
  const free = fleet.workers.find((worker) => worker.runs.size === 0);
  if (hasTrouble) {
    free.sheds = true;
    record.note("turns away", { worker: free.id });
  }
  const ids = [];
  for (let i = 0; i < WAITING_JOBS; i++) {
    const id = await fleet.submit({ workMs: LONG_MS, gpu: 1 }, {});
    if (id === null) throw new Error("a job wasn't accepted");
    ids.push(id);
  }
  await sleep(PENDING_AFTER_MS);
  const broken = [];
  for (const node of fleet.nodes) {
    const { status, body } = await node.ask("GET", "");
    const waiting = ids.filter((id) => !record.runs.some(({ task }) => task.startsWith(id)));
    record.note("pending", { node: node.name, status, body, not_begun: waiting.length });
    if (status === 200 && body.pending * 2 < waiting.length) {
      broken.push({ rule: "MIXED", node: node.name, pending: body.pending, not_begun: waiting.length });
    }
  }
  return broken;
});
