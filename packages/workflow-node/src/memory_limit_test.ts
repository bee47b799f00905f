/**
 * Accepted workflows take a bounded share of a box's memory: more are rejected by every
 * box, also across a takeover, until earlier ones have ended and were removed.
 */
import * as Errors from "@cairngate/errors";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

/** A fifth of it holds some 100 workflows of 500 tasks. */
const HEAP_BYTES = 90_000_000;
const MORE_THAN_FIT = 150;
/** Time within which all boxes know the use of memory, in ms. */
const DELIVERY_MS = 3000;
const LARGE = TestUtils.buildStep({ count: 500, cpuMillis: 1e9 });
const SMALL = TestUtils.buildStep({ cpuMillis: 1e9 });

function idOf(number: number): string {
  return number.toString(16).padStart(16, "0");
}

/** Submits a workflow to a box; returns the failure, or null if it was accepted. */
function submit(
  fleet: TestUtils.TestFleet,
  name: string,
  { id, step }: { id: string; step: Workflow.StepSpec },
): Promise<Errors.RejectedError | null> {
  const { access, submissions } = fleet.box(name);
  const path = `/p1/${id}`;
  const request = { host: "jobs.example", path, key: "key-of-hana" };
  const job = { id, payload: "work", steps: [step], schedule: null };
  const call = Effect.gen(function* () {
    const allowed = yield* access.check(request);
    yield* submissions.accept(allowed, job);
  });
  return fleet.run(Effect.map(
    Effect.result(call),
    (result) =>
      result._tag === "Failure" ? result.failure as Errors.RejectedError : null,
  ));
}

/**
 * Submits large workflows to all boxes in turn until there is memory for no more;
 * returns the ids of accepted ones.
 */
async function fill(fleet: TestUtils.TestFleet): Promise<string[]> {
  const names = [...fleet.boxes.keys()];
  const accepted: string[] = [];
  let wasAccepted = true;
  while (wasAccepted && accepted.length < MORE_THAN_FIT) {
    wasAccepted = false;
    // What was accepted just before is counted twice until it is published.
    await fleet.clock.advance(DELIVERY_MS);
    for (const name of names) {
      const id = idOf(accepted.length);
      if (await submit(fleet, name, { id, step: LARGE }) !== null) continue;
      accepted.push(id);
      wasAccepted = true;
    }
  }
  return accepted;
}

async function expectRejected(fleet: TestUtils.TestFleet): Promise<void> {
  for (const name of fleet.boxes.keys()) {
    const err = await submit(fleet, name, { id: idOf(9000), step: LARGE });
    vitest.expect(err?.reason).toBe(Errors.RejectReason.NoMemory);
    vitest.expect(err?.retryAfterMs).toBeGreaterThanOrEqual(1000);
  }
}

vitest.describe("workflows beyond the memory of a box", () => {
  vitest.it("are rejected by every box, and small ones are not", async () => {
    const fleet = new TestUtils.TestFleet({ heapBytes: HEAP_BYTES });
    await fleet.start();
    const accepted = await fill(fleet);
    vitest.expect(accepted.length).toBeLessThan(100);
    await expectRejected(fleet);
    for (const [i, name] of [...fleet.boxes.keys()].entries()) {
      const job = { id: idOf(8000 + i), step: SMALL };
      vitest.expect(await submit(fleet, name, job)).toBeNull();
    }
    await fleet.stop();
  });

  vitest.it("are accepted if they were accepted before", async () => {
    const fleet = new TestUtils.TestFleet({ heapBytes: HEAP_BYTES });
    await fleet.start();
    const [first] = await fill(fleet);
    for (const name of fleet.boxes.keys()) {
      const again = { id: first, step: LARGE };
      vitest.expect(await submit(fleet, name, again)).toBeNull();
    }
    await fleet.stop();
  });

  vitest.it("stay rejected while the next coordinator takes over", async () => {
    const fleet = new TestUtils.TestFleet({ heapBytes: HEAP_BYTES });
    await fleet.start();
    await fill(fleet);
    const first = fleet.coordinator() ?? "";
    await fleet.kill(first);
    await expectRejected(fleet);
    await fleet.until(() => ![null, first].includes(fleet.coordinator()));
    await expectRejected(fleet);
    await fleet.clock.advance(DELIVERY_MS);
    await expectRejected(fleet);
    await fleet.stop();
  });

  vitest.it("are accepted again once earlier ones are removed", async () => {
    const fleet = new TestUtils.TestFleet({ heapBytes: HEAP_BYTES });
    await fleet.start();
    const accepted = await fill(fleet);
    const [name] = fleet.boxes.keys();
    for (const id of accepted) {
      await TestUtils.cancelAt(fleet, { at: name, id });
    }
    let isAccepted = false;
    for (let i = 0; i < 100 && !isAccepted; i++) {
      await fleet.clock.advance(DELIVERY_MS);
      const job = { id: idOf(9000 + i), step: LARGE };
      isAccepted = await submit(fleet, name, job) === null;
    }
    vitest.expect(isAccepted).toBe(true);
    await fleet.stop();
  });
});
