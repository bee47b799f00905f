/**
 * The store is down for 1.5 s and answers nothing. A client submits a job in that time and
 * gets 504; one of the writes of it is done 6 s later, the others never. When the store is
 * back, the client cancels the job. The cancel is answered with 410.
 * With TROUBLE=0 the store is never down.
 */
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import * as P from "../stand-ins-3/platform.mjs";

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== "0";
const DOWN_MS = 1500;
const LATE_MS = 6000;
/** Bounds of the site: cancel_ms, contact_ms, stop_timeout_ms. */
const CANCEL_MS = 3000;
const CONTACT_MS = 3000;
const WATCH_MS = 14_000;
const JOB = "0000000000000111";
const STEP = { count: 2, cpu: 8000, mem_mb: 2000, gpu: 1, estimated_ms: 1500 };
const STEPS = [STEP, { ...STEP, after: [0] }];

await P.runCase(async () => {
  const d = await P.startDeployment(FOLDER, {
    nodes: 3,
    workers: [{ rack: "r1-1" }, { rack: "r1-2" }, { rack: "r1-3" }, { rack: "r1-4" }],
    world: { stepOf: () => STEP, behave: () => ({ workMs: 1500, how: "done" }) },
  });
  if (!d.isReady) throw new Error("the nodes are not ready");
  const [a, b] = d.nodes.nodes;
  const client = new P.Client(d.nodes.nodes, d.recorder);
  const isIntake = ({ body }) => (body.put ?? []).some(({ tls_key }) => tls_key.startsWith(JOB));
  let writes = 0;
  let lateWrites = 0;
  if (TROUBLE) {
    d.recorder.note(`the store is down for ${DOWN_MS} ms`);
    d.store.rule = (call) => {
      if (call.path === "/rows-tx") writes++;
      if (call.path !== "/rows-tx" || !isIntake(call) || lateWrites > 0) return { drop: true };
      lateWrites++;
      d.recorder.note(`${call.who} writes the job into part ${call.body.put[0].part}: done ${LATE_MS} ms later, not answered`);
      return { lateMs: LATE_MS };
    };
  }
  const submitted = client.submit(a, JOB, { spec: "work", steps: STEPS });
  await P.sleep(DOWN_MS);
  d.store.rule = () => undefined;
  const upAt = P.now();
  d.recorder.note(`the store is up; of ${writes} writes that were sent to it while it was down, ${lateWrites} will be done`);
  const { status } = await submitted;
  // Waits until the other node serves again.
  let cancel = { status: 0 };
  for (let tries = 0; tries < 20 && cancel.status !== 200 && cancel.status !== 410; tries++) {
    await P.sleep(200);
    cancel = await client.cancel(b, JOB, 6000);
  }
  const cancelledAt = P.now();
  if (cancel.status !== 200 && cancel.status !== 410) throw new Error("the cancel was not acknowledged");
  await P.sleep(WATCH_MS);
  const { body } = await client.state(b, JOB);
  const late = d.world.runs.filter(({ startedAt }) =>
    startedAt > cancelledAt + CANCEL_MS && startedAt > upAt + CONTACT_MS
  );
  d.recorder.note(`submitted: ${status}; cancelled: ${cancel.status}; then shown as ${body?.state ?? "no job"}; ` +
    `${late.length} tasks started later than ${CANCEL_MS} ms after the cancel was acknowledged, at ` +
    `${late.map(({ startedAt }) => `+${Math.round(startedAt - cancelledAt)} ms`).join(", ")}`);
  const isBroken = late.length > 0;
  d.recorder.note(isBroken ? "UNASKED is broken" : "UNASKED holds");
  await d.stop();
  return isBroken;
});
