import * as Errors from "@cairngate/errors";
import * as Metrics from "@cairngate/metrics";
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as writers from "./grouped_writer.ts";
import * as clients from "./store_client.ts";

const { describe, expect, test } = vitest;

function createStore(writesPerSecond = 1000) {
  const clock = new TestUtils.FakeClock();
  const random = new TestUtils.SeededRandom(1);
  const faults = new StandIns.FaultSwitch(clock, random);
  const table = new StandIns.MemoryTable(faults);
  const metrics = new Metrics.Metrics();
  const options = { table, clock, random, metrics, writesPerSecond };
  const client = new clients.StoreClient(options);
  return { clock, faults, table, client };
}

async function run<A, E>(
  clock: TestUtils.FakeClock,
  work: Effect.Effect<A, E>,
) {
  let isDone = false;
  const pending = Effect.runPromise(Effect.result(work))
    .finally(() => (isDone = true));
  await clock.advanceUntil(() => isDone, 30_000);
  return await pending;
}

describe("a write whose answer is lost", () => {
  test("is resolved by reading back and not written twice", async () => {
    const { clock, faults, table, client } = createStore();
    faults.set({ loseAnswers: 1 });
    const write = {
      conditions: [{ key: "k", revision: 0 }],
      writes: [{ key: "k", value: 1 }],
    };
    const result = await run(clock, client.write(write));
    expect(result).toMatchObject({ _tag: "Success", success: 1 });
    expect(table.counts.writes).toBe(1);
  });

  test("fails with the condition if it lost the race", async () => {
    const { clock, client } = createStore();
    const write = (value: number) => ({
      conditions: [{ key: "k", revision: 0 }],
      writes: [{ key: "k", value }],
    });
    await run(clock, client.write(write(1)));
    const second = await run(clock, client.write(write(2)));
    expect(second).toMatchObject({
      _tag: "Failure",
      failure: { _tag: "ConditionFailedError", key: "k", actual: 1 },
    });
  });
});

describe("a store that is down", () => {
  test("fails a call after its deadline, with a typed error", async () => {
    const { clock, faults, client } = createStore();
    faults.set({ down: true });
    const startMs = clock.monotonicMs();
    const result = await run(clock, client.read(["k"], 2000));
    expect(result).toMatchObject({
      failure: { _tag: "StoreUnavailableError" },
    });
    expect(clock.monotonicMs() - startMs).toBeLessThanOrEqual(2100);
  });

  test("is not called while the circuit breaker is open", async () => {
    const { clock, faults, client } = createStore();
    faults.set({ down: true });
    await run(clock, client.read(["k"], 2000));
    expect(client.isReachable()).toBe(false);
    faults.set({ down: false });
    await clock.advance(1000);
    const result = await run(clock, client.read(["k"], 2000));
    expect(result._tag).toBe("Success");
    expect(client.isReachable()).toBe(true);
  });
});

describe("grouped writes", () => {
  test("share one transaction", async () => {
    const { clock, table, client } = createStore();
    const writer = new writers.GroupedWriter({ client, clock, windowMs: 10 });
    const writes = Array.from({ length: 20 }, (_, i) =>
      writer.write({
        conditions: [{ key: `k${i}`, revision: 0 }],
        writes: [{ key: `k${i}`, value: i }],
      }));
    const all = Effect.all(writes, { concurrency: "unbounded" });
    expect((await run(clock, all))._tag).toBe("Success");
    expect(table.counts.writes).toBe(1);
  });

  test("do not fail together when one of them fails", async () => {
    const { clock, client } = createStore();
    const writer = new writers.GroupedWriter({ client, clock, windowMs: 10 });
    const writes = [0, 0, 7].map((revision, i) =>
      Effect.result(writer.write({
        conditions: [{ key: `k${i}`, revision }],
        writes: [{ key: `k${i}`, value: i }],
      }))
    );
    const all = Effect.all(writes, { concurrency: "unbounded" });
    const results = await run(clock, all);
    const tags = results._tag === "Success"
      ? results.success.map((r) => r._tag)
      : [];
    expect(tags).toEqual(["Success", "Success", "Failure"]);
  });
});

describe("the write budget", () => {
  test("spreads writes over time", async () => {
    const { clock, client } = createStore(10);
    const startMs = clock.monotonicMs();
    const writes = Array.from(
      { length: 30 },
      (_, i) =>
        client.write({ conditions: [], writes: [{ key: `k${i}`, value: i }] }),
    );
    const all = Effect.all(writes, { concurrency: "unbounded" });
    expect((await run(clock, all))._tag).toBe("Success");
    expect(clock.monotonicMs() - startMs).toBeGreaterThanOrEqual(1900);
  });
});

test("error messages name the row and the remedy", () => {
  const err = new Errors.ConditionFailedError({
    key: "k",
    expected: 1,
    actual: 2,
  });
  expect(err.message).toContain("Read it again");
});

describe("a store that is slow", () => {
  const SLOW_MS = 300;
  const write = { conditions: [], writes: [{ key: "k", value: 1 }] };

  test("is not hedged early, also where it refuses writes", async () => {
    const { clock, faults, client } = createStore();
    await run(clock, client.write(write));
    const fastHedgeMs = client.hedgeDelayMs;
    faults.set({ down: true, delayMs: SLOW_MS });
    await run(clock, client.write(write, 100));
    expect(fastHedgeMs).toBeLessThan(SLOW_MS / 2);
    expect(client.hedgeDelayMs).toBeGreaterThan(SLOW_MS * 3);
  });

  test("affects hedging for a short time only", async () => {
    const { clock, client } = createStore();
    client.recordDelay(SLOW_MS);
    expect(client.hedgeDelayMs).toBeGreaterThan(SLOW_MS * 3);
    await clock.advance(5000);
    expect(client.hedgeDelayMs).toBeLessThan(SLOW_MS / 2);
  });

  test("is waited for instead of being sent the write again", async () => {
    const { clock, faults, table, client } = createStore();
    faults.set({ delayMs: 400 });
    await run(clock, client.write(write));
    faults.set({ delayMs: 1500 });
    const before = table.counts.writes;
    const result = await run(clock, client.write(write));
    expect(result._tag).toBe("Success");
    await clock.advance(5000);
    expect(table.counts.writes - before).toBe(1);
  });
});

describe("a partition that does not answer", () => {
  test("does not delay hedging in the others", async () => {
    const { clock, faults, client } = createStore();
    const write = { conditions: [], writes: [{ key: "k", value: 1 }] };
    await run(clock, client.write(write));
    const hedgeDelayMs = client.hedgeDelayMs;
    faults.set({ silent: true });
    // One call is interrupted, as when its hedge was answered; one times out.
    await run(clock, clock.within(200, client.write(write)));
    expect(client.hedgeDelayMs).toBe(hedgeDelayMs);
    await run(clock, client.write(write, 100));
    expect(client.hedgeDelayMs).toBe(hedgeDelayMs);
  });
});
