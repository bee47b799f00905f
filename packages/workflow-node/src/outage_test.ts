/** The whole store is unavailable for some time, and recovers. */
import type * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
const ALL = ["node-1", "node-2", "node-3"];

/** Time within which every box accepts work after the store's recovery, in ms. */
const MAX_ACCEPT_MS = 400;

function setDown(fleet: TestUtils.TestFleet, down: boolean): void {
  setFaults(fleet, { down });
}

function setFaults(
  fleet: TestUtils.TestFleet,
  faults: Partial<StandIns.StoreFaults>,
): void {
  for (const name of ALL) fleet.faultsOf(name).set(faults);
}

/** Measures the time until a box accepts a workflow, in ms. */
async function timeToAccept(
  fleet: TestUtils.TestFleet,
  name: string,
): Promise<number> {
  const startedAtMs = fleet.clock.monotonicMs();
  const id = `b${name.replace(/\D/g, "").padStart(15, "0")}`;
  let accepted = false;
  while (!accepted && fleet.clock.monotonicMs() < startedAtMs + 5000) {
    accepted = await fleet.submit(name, id).then(() => true, () => false);
    if (!accepted) await fleet.clock.advance(10);
  }
  return fleet.clock.monotonicMs() - startedAtMs;
}

vitest.describe("after an outage of the whole store", () => {
  vitest.it("work starts as soon as the store recovers", async () => {
    const waits: number[] = [];
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const fleet = new TestUtils.TestFleet({ seed });
      await fleet.start();
      await fleet.submit("node-1", ID);
      setDown(fleet, true);
      await fleet.clock.advance(3000 + 100 * seed);
      vitest.expect(fleet.workers.runs.length).toBe(0);
      setDown(fleet, false);
      const startedAtMs = fleet.clock.monotonicMs();
      await fleet.until(() => fleet.workers.runs.length > 0, 3000);
      waits.push(fleet.clock.monotonicMs() - startedAtMs);
      await fleet.stop();
    }
    vitest.expect(Math.max(...waits)).toBeLessThan(300);
  });

  const outages = {
    "refuses all": { down: true },
    "answers nothing": { silent: true },
  };
  for (const [failure, faults] of Object.entries(outages)) {
    vitest.it(
      `every box accepts work at once (the store ${failure})`,
      async () => {
        const waits: number[] = [];
        for (const seed of [1, 2, 3, 4, 5, 6]) {
          const fleet = new TestUtils.TestFleet({ seed });
          await fleet.start();
          setFaults(fleet, faults);
          await fleet.clock.advance(3000 + 170 * seed);
          setFaults(fleet, { down: false, silent: false });
          const all = ALL.map((name) => timeToAccept(fleet, name));
          waits.push(...await Promise.all(all));
          await fleet.stop();
        }
        vitest.expect(Math.max(...waits)).toBeLessThan(MAX_ACCEPT_MS);
      },
    );
  }
});

/** Endpoints whose entries expire during the outage, of two accelerators each. */
const ENDPOINTS = 4;
/** Duration of a run, in ms: longer than an outage and the longest lease, 6 s. */
const RUN_MS = 7000;
/** Outages in one test: more than the three suspected crashes that delay a task. */
const OUTAGES = 4;
/** Duration of an outage, in ms: over three heartbeats, so that entries expire. */
const OUTAGE_MS = 5000;
/** Time between outages, in ms: shorter than a run, so that each affects some runs. */
const OUTAGE_GAP_MS = 4000;
/** Time from the end of an outage until all entries are rewritten, in ms. */
const RELIST_DELAY_MS = 2000;
const TIMEOUT_MS = 60_000;

/** Takes the store down, and the entries of all endpoints away for longer. */
async function loseEntries(
  fleet: TestUtils.TestFleet,
  faults: Partial<StandIns.StoreFaults>,
): Promise<void> {
  const ids = Array.from({ length: ENDPOINTS }, (_, i) => `worker-${i}`);
  setFaults(fleet, faults);
  await fleet.clock.advance(OUTAGE_MS / 2);
  for (const id of ids) fleet.unlist(id);
  await fleet.clock.advance(OUTAGE_MS / 2);
  setFaults(fleet, { down: false, silent: false });
  await fleet.clock.advance(RELIST_DELAY_MS);
  for (const [i, id] of ids.entries()) fleet.list({ id, accelerators: 2 }, i);
}

vitest.describe("an outage of the store in which all entries expire", () => {
  const outages = {
    "refuses all": { down: true },
    "answers nothing": { silent: true },
  };
  for (const [failure, faults] of Object.entries(outages)) {
    vitest.it(`fails no workflow (the store ${failure})`, async () => {
      const workers = Array.from({ length: ENDPOINTS }, () => 2);
      const fleet = new TestUtils.TestFleet({ workers });
      fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
      await fleet.start();
      const steps = [TestUtils.buildStep({ estimateMs: RUN_MS })];
      const ids = [1, 2, 3, 4, 5, 6].map((i) => `a00000000000000${i}`);
      for (const id of ids) await fleet.submit("node-1", id, { steps });
      for (let i = 0; i < OUTAGES; i++) {
        await fleet.clock.advance(OUTAGE_GAP_MS);
        await loseEntries(fleet, faults);
      }
      const { Completed } = Workflow.WorkflowState;
      const areDone = () => ids.every((id) => fleet.state(id) === Completed);
      vitest.expect(await fleet.until(areDone, TIMEOUT_MS)).toBe(true);
      vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
      await fleet.stop();
    });
  }
});
