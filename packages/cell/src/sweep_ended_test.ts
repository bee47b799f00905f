import * as Metrics from "@cairngate/metrics";
import * as StandIns from "@cairngate/stand-ins";
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import type * as leases from "./owner_lease.ts";
import type * as ports from "./ports.ts";
import * as sweeping from "./sweep_ended.ts";

const { expect, test } = vitest;

const WEEK_MS = 7 * 24 * 3_600_000;
const OWNER = TableClient.Keys.ownerKey("cell");

async function createStore() {
  const clock = new TestUtils.FakeClock();
  const random = new TestUtils.SeededRandom(1);
  const faults = new StandIns.FaultSwitch(clock, random);
  const store = new TableClient.StoreClient({
    table: new StandIns.MemoryTable(faults),
    clock,
    random,
    metrics: new Metrics.Metrics(),
    writesPerSecond: 100,
  });
  const run = async <A, E>(work: Effect.Effect<A, E>) => {
    let over = false;
    const pending = Effect.runPromise(Effect.result(work))
      .finally(() => (over = true));
    await clock.advanceUntil(() => over, 60_000);
    return await pending;
  };
  const put = (key: string, value: unknown) =>
    run(store.write({ conditions: [], writes: [{ key, value }] }));
  await put(OWNER, { epoch: 1, holder: "box" });
  const cellPorts = { store, clock } as unknown as ports.CellPorts;
  const lease = (revision: number) =>
    ({
      cell: "cell",
      condition: { key: OWNER, revision },
    }) as leases.OwnerLease;
  return { clock, store, run, put, cellPorts, lease };
}

test("ended jobs and intents older than a week are removed", async () => {
  const { clock, store, run, put, cellPorts, lease } = await createStore();
  const oldMs = clock.wallMs();
  for (let i = 0; i < 150; i++) {
    const key = TableClient.Keys.endedKey("cell", `old${i}`);
    await put(key, { updatedAtMs: oldMs });
  }
  await put(TableClient.Keys.intentKey("cell", "old"), { atMs: oldMs });
  await put(TableClient.Keys.jobKey("cell", "open"), { updatedAtMs: oldMs });
  await clock.advance(WEEK_MS + 1000);
  const recent = TableClient.Keys.endedKey("cell", "recent");
  await put(recent, { updatedAtMs: clock.wallMs() });
  const swept = await run(sweeping.sweepEnded(cellPorts, lease(1)));
  expect(swept).toMatchObject({ success: 151 });
  const remaining = await run(store.scan(""));
  const keys = remaining._tag === "Success"
    ? remaining.success.map((r) => r.key)
    : [];
  expect(keys.sort()).toEqual([
    recent,
    TableClient.Keys.jobKey("cell", "open"),
    OWNER,
  ].sort());
});

test("a superseded owner removes nothing", async () => {
  const { clock, store, run, put, cellPorts, lease } = await createStore();
  const key = TableClient.Keys.endedKey("cell", "old");
  await put(key, { updatedAtMs: clock.wallMs() });
  await clock.advance(WEEK_MS + 1000);
  await put(OWNER, { epoch: 2, holder: "heir" });
  const swept = await run(sweeping.sweepEnded(cellPorts, lease(1)));
  expect(swept).toMatchObject({ failure: { _tag: "ConditionFailedError" } });
  expect(await run(store.read([key]))).toMatchObject({ success: [{ key }] });
});
