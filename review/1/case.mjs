/**
 * The coordinator freezes for 4 s while some of the other nodes have lost the path to
 * some workers. TROUBLE=0 leaves both out.
 */
import { runCase, sleep, until } from "../fleet.mjs";

const MAX_HOLD_MS = 6000;
/** The work outlasts a round. */
const WORK_MS = 25_000;
/** Four workers of ten lose the path to three nodes of five. */
const WORKERS = 10;
const CUT_WORKERS = 4;
const NODES = 5;
const CUT_NODES = 3;
const FREEZE_MS = 4000;
const CUT_MS = 10_000;
/** The next coordinator may be one that has kept its paths; then another round. */
const ROUNDS = 4;

runCase("1", async ({ record, hasTrouble, createFleet }) => {
  const fleet = createFleet({ maxHoldMs: MAX_HOLD_MS, stopMs: 400, attempts: 4, hasLinks: true });
  await fleet.addWorkers(WORKERS);
  fleet.configure();
  if (!await fleet.startNodes(NODES)) throw new Error("the nodes aren't ready");
  let broken = [];
  for (let round = 0; round < ROUNDS && broken.length === 0; round++) {
    await playRound();
    broken = findTwice(record.runs);
  }
  return broken;

  async function playRound() {
    const ids = [];
    for (let i = 0; i < CUT_WORKERS; i++) {
      ids.push(await fleet.submit({ workMs: WORK_MS, gpu: 8 }, {}));
    }
    const current = () => ids.flatMap((id) =>
      record.runs.filter(({ task, to }) => task.startsWith(id) && to === null)
    );
    if (!await until(() => current().length === CUT_WORKERS, 10_000)) {
      throw new Error("the tasks haven't begun");
    }
    await sleep(2000);
    const leader = await fleet.leader();
    const workers = current().map(({ worker }) => fleet.workerById(worker));
    const others = fleet.nodes.filter((node) => node !== leader)
      .sort(() => Math.random() - 0.5).slice(0, CUT_NODES);
    const links = others.flatMap((node) => workers.map((worker) => fleet.linkOf(node, worker)));
    if (hasTrouble) {
      const names = { nodes: others.map(({ name }) => name), workers: workers.map(({ id }) => id) };
      record.note("cut", names);
      for (const link of links) link.cut();
      await sleep(500);
      record.note("freeze", { node: leader.name });
      leader.signal("SIGSTOP");
      await sleep(FREEZE_MS);
      record.note("wake", { node: leader.name });
      leader.signal("SIGCONT");
      await sleep(CUT_MS - FREEZE_MS - 500);
      record.note("heal", names);
      for (const link of links) link.heal();
    } else await sleep(CUT_MS);
    await sleep(3000);
    for (const id of ids) {
      const { status } = await fleet.nodes[0].ask("DELETE", id);
      record.note("cancel", { id, status });
    }
    await until(() => current().length === 0, 5000);
  }
});

/** TWICE: one task run two times at once; a worker that has crashed has ended its runs. */
function findTwice(runs) {
  const broken = [];
  for (const one of runs) {
    for (const other of runs) {
      const isLater = other !== one && other.task === one.task && other.from > one.from;
      if (!isLater) continue;
      const isAtOnce = one.to === null || other.from < one.to;
      if (isAtOnce) broken.push({ rule: "TWICE", at_once: [one, other] });
    }
  }
  return broken;
}
