/** Rows with fencing tokens that another writer has overwritten. */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const FIRST_ID = "a000000000000001";
const SECOND_ID = "a000000000000002";
const THIRD_ID = "a000000000000003";
/** Time in which a box takes over, in ms. */
const TAKEOVER_MS = 5000;
/** Time within which a workflow ends after a takeover, in ms. */
const TIMEOUT_MS = 15_000;
/** Token of a fleet that has changed its coordinator often. */
const LATE_TOKEN = 500;

const INVALID: Readonly<Record<string, unknown>> = {
  "no object": 5,
  "no fields": {},
  "a token that is a text": { token: "x", holder: "", incarnation: "" },
  "a nested token": { token: [[1]], holder: "", incarnation: "" },
  "a token of 1e308": { token: 1e308, holder: "", incarnation: "" },
  "a token of 2^53": { token: 2 ** 53, holder: "", incarnation: "" },
  "the largest exact token": {
    token: 2 ** 53 - 1,
    holder: "",
    incarnation: "",
  },
  "a negative token": { token: -5, holder: "", incarnation: "" },
  "a fraction as its token": { token: 7.5, holder: "", incarnation: "" },
};

async function completes(
  fleet: TestUtils.TestFleet,
  id: string,
): Promise<boolean> {
  const [name] = fleet.boxes.keys();
  await fleet.submit(name, id);
  const isDone = () => fleet.state(id) === Workflow.WorkflowState.Completed;
  return fleet.until(isDone, TIMEOUT_MS);
}

async function startFleet(): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
  await fleet.start();
  vitest.expect(await completes(fleet, FIRST_ID)).toBe(true);
  return fleet;
}

function fenceKeys(): string[] {
  return TableClient.Keys.PARTITIONS.map(TableClient.Keys.fenceKey);
}

const ROWS: Readonly<Record<string, readonly string[]>> = {
  "a coordinator row": [TableClient.Keys.COORDINATOR_KEY],
  "fence rows": fenceKeys(),
};

for (const [where, keys] of Object.entries(ROWS)) {
  vitest.describe(where, () => {
    for (const [what, value] of Object.entries(INVALID)) {
      vitest.it(`with ${what} keeps no box from coordinating`, async () => {
        const fleet = await startFleet();
        for (const key of keys) fleet.write(key, value);
        await fleet.clock.advance(TAKEOVER_MS);
        vitest.expect(await completes(fleet, SECOND_ID)).toBe(true);
        const token = fleet.token();
        vitest.expect(Number.isSafeInteger(token)).toBe(true);
        await fleet.kill(fleet.coordinator() ?? "");
        await fleet.clock.advance(TAKEOVER_MS);
        vitest.expect(await completes(fleet, THIRD_ID)).toBe(true);
        vitest.expect(fleet.token()).toBe(token + 1);
        await fleet.stop();
      });
    }
  });
}

vitest.describe("an unreadable coordinator row after many terms", () => {
  vitest.it("is followed by a term with a higher token", async () => {
    const fleet = await startFleet();
    const key = TableClient.Keys.COORDINATOR_KEY;
    fleet.write(key, { token: LATE_TOKEN, holder: "", incarnation: "" });
    await fleet.clock.advance(TAKEOVER_MS);
    vitest.expect(await completes(fleet, SECOND_ID)).toBe(true);
    const token = fleet.token();
    vitest.expect(token).toBeGreaterThan(LATE_TOKEN);
    fleet.write(key, undefined);
    await fleet.clock.advance(TAKEOVER_MS);
    vitest.expect(await completes(fleet, THIRD_ID)).toBe(true);
    vitest.expect(fleet.token()).toBeGreaterThan(token);
    await fleet.stop();
  });
});
