/**
 * Guards the check itself: it has to find work that could run, and must not ask for
 * work that fits nowhere.
 */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as standstills from "./standstill_check.ts";
import * as fleets from "./test_fleet.ts";

const ID = "a000000000000001";
const OTHER_ID = "a000000000000002";
/** Longer than the check allows work to be idle, in ms. */
const IDLE_MS = 13_000;
/** Time between two checks, in ms. */
const CHECK_INTERVAL_MS = 100;
/** Exceeds the duration of the tests, in ms. */
const NEVER_MS = 600_000;
const STANDSTILL = [`${ID} could run but does not`];

/** Submits a workflow and kills all boxes before they start any of its tasks. */
async function submitAndStand(
  sizes: readonly number[],
  steps: readonly Workflow.StepSpec[],
  otherSteps: readonly Workflow.StepSpec[] = [],
): Promise<fleets.TestFleet> {
  const fleet = new fleets.TestFleet({ workers: sizes });
  fleet.workers.behave = () => ({ runMs: NEVER_MS, fails: false });
  await fleet.start();
  await fleet.kill(fleet.coordinator() ?? "");
  const [box] = fleet.boxes.keys();
  await fleet.submit(box, ID, { steps });
  if (otherSteps.length > 0) {
    await fleet.submit(box, OTHER_ID, { steps: otherSteps });
  }
  await fleet.stop();
  return fleet;
}

/** Starts a task at an endpoint as a coordinator would. */
function startTask({ workers }: fleets.TestFleet, at: string, task: string) {
  const ref: Ports.EndpointRef = { id: at, address: addressOf(at) };
  Effect.runSync(Effect.ignore(workers.start(ref, {
    task,
    run: 1,
    payload: "",
    checkpoint: "",
    ticket: null,
    fencingToken: 1,
    leaseUntilMs: NEVER_MS * 2,
  })));
}

function addressOf(endpoint: string): string {
  return `10.0.0.${endpoint.slice("worker-".length)}:80`;
}

async function findStandstills(
  fleet: fleets.TestFleet,
  forMs: number,
  accepted: readonly string[] = [ID],
) {
  const check = new standstills.StandstillCheck(fleet);
  for (let ms = 0; ms < forMs; ms += CHECK_INTERVAL_MS) {
    check.check(accepted);
    await fleet.clock.advance(CHECK_INTERVAL_MS);
  }
  return check.violations;
}

const single = fleets.buildStep();
const gangOfTwo = fleets.buildStep({ count: 2, gang: true });

vitest.describe("the check for work that stands still", () => {
  vitest.it("finds a task that fits", async () => {
    const fleet = await submitAndStand([1], [single]);
    vitest.expect(await findStandstills(fleet, IDLE_MS)).toEqual(STANDSTILL);
  });

  vitest.it(
    "finds a task that fits while most endpoints are busy",
    async () => {
      const fleet = await submitAndStand([1, 1, 1], [single]);
      startTask(fleet, "worker-0", "b000000000000001.0.0.0");
      startTask(fleet, "worker-1", "b000000000000001.0.0.1");
      vitest.expect(fleet.workers.runs.length).toBe(2);
      vitest.expect(await findStandstills(fleet, IDLE_MS)).toEqual(STANDSTILL);
    },
  );

  vitest.it("finds a gang that fits on several endpoints", async () => {
    const fleet = await submitAndStand([1, 1], [gangOfTwo]);
    vitest.expect(await findStandstills(fleet, IDLE_MS)).toEqual(STANDSTILL);
  });

  vitest.it("finds a second step that does not begin", async () => {
    const second = fleets.buildStep({ after: [0] });
    const fleet = await submitAndStand([1], [single, second]);
    startTask(fleet, "worker-0", `${ID}.0.0.0`);
    fleet.workers.endNow(`${ID}.0.0.0`, "done");
    vitest.expect(await findStandstills(fleet, IDLE_MS)).toEqual(STANDSTILL);
  });

  vitest.it("finds a workflow with nothing left to run", async () => {
    const fleet = await submitAndStand([1, 1], [single]);
    startTask(fleet, "worker-0", `${ID}.0.0.0`);
    fleet.workers.endNow(`${ID}.0.0.0`, "done");
    vitest.expect(await findStandstills(fleet, IDLE_MS)).toEqual(STANDSTILL);
  });

  vitest.it("does not ask for a gang that fits nowhere", async () => {
    const fleet = await submitAndStand([1, 1], [gangOfTwo]);
    fleet.workers.onCrash = () => {};
    fleet.workers.crash("worker-1");
    vitest.expect(await findStandstills(fleet, IDLE_MS)).toEqual([]);
  });

  vitest.it("counts from the time at which a gang fits", async () => {
    const fleet = await submitAndStand([1, 1], [gangOfTwo]);
    fleet.workers.onCrash = () => {};
    fleet.workers.crash("worker-1");
    const check = findStandstills(fleet, IDLE_MS * 2);
    const back = Effect.sync(() =>
      fleet.workers.restart({ id: "worker-1", accelerators: 1 })
    );
    Effect.runFork(Effect.andThen(fleet.clock.sleep(IDLE_MS), back));
    vitest.expect(await check).toEqual(STANDSTILL);
  });

  const reservations = [
    { busy: 1, expected: STANDSTILL },
    { busy: 2, expected: [] },
  ];
  for (const { busy, expected } of reservations) {
    vitest.it(
      `lets a gang reserve the rest of four accelerators, ${busy} in use`,
      async () => {
        const gangOfFour = fleets.buildStep({ count: 4, gang: true });
        const fleet = await submitAndStand([2, 2], [single], [gangOfFour]);
        for (let i = 0; i < busy; i++) {
          startTask(fleet, `worker-${i}`, `b000000000000001.0.0.${i}`);
        }
        const both = [ID, OTHER_ID];
        vitest.expect(await findStandstills(fleet, IDLE_MS, both))
          .toEqual(expected);
      },
    );
  }

  vitest.it("passes over work that runs", async () => {
    const fleet = await submitAndStand([1], [single]);
    startTask(fleet, "worker-0", `${ID}.0.0.0`);
    vitest.expect(await findStandstills(fleet, IDLE_MS)).toEqual([]);
  });
});
