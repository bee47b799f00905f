/** Transit of orders to endpoints and of their answers, with and without resets. */
import * as Ports from "@cairngate/ports";
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const ENDPOINT: Ports.EndpointRef = { id: "i-1", address: "10.0.0.1:80" };
const TASK = "a.0.0.0";
const LEASE_MS = 60_000;
/** Transit time of an order, in ms. */
const THERE_MS = 20;

/** Constant times; no order arrives after a reset. */
const STEADY: StandIns.TransitTimes = {
  drawOutboundMs: () => THERE_MS,
  drawReturnMs: () => 0,
  drawAfterResetMs: () => null,
};

/** Returns the given times one after another, then 0. */
function takeInTurn(times: readonly number[]): () => number {
  const remaining = [...times];
  return () => remaining.shift() ?? 0;
}

/** A sent order; the answer or error message is null until it arrives. */
interface SentOrder {
  answer: string | null;
}

/** One endpoint and the orders sent to it. */
class Fixture {
  readonly clock = new TestUtils.FakeClock();
  readonly workers = new StandIns.MemoryTaskEndpoints(this.clock, [
    { id: ENDPOINT.id, accelerators: 2 },
  ]);

  constructor(times: StandIns.TransitTimes) {
    this.workers.transit.times = times;
    this.workers.behave = () => ({ runMs: LEASE_MS, fails: false });
  }

  start(run = 1): SentOrder {
    return this.#send(this.workers.start(ENDPOINT, {
      task: TASK,
      run,
      payload: "",
      checkpoint: "",
      ticket: null,
      fencingToken: 1,
      leaseUntilMs: this.clock.monotonicMs() + LEASE_MS,
    }));
  }

  stop(run = 1): SentOrder {
    const order = { task: TASK, run, fencingToken: 1 };
    return this.#send(this.workers.stop(ENDPOINT, order));
  }

  renew(waitMs = 0): SentOrder {
    const renew = this.workers.renew(ENDPOINT, {
      fencingToken: 1,
      leaseUntilMs: null,
      recordedEnds: 0,
      recordedBy: null,
      waitMs,
    });
    return this.#send(Effect.map(renew, ({ held }) => `${held.length} held`));
  }

  resetAll(): number {
    return this.workers.transit.reset(() => true);
  }

  #send(order: Effect.Effect<unknown, Ports.OrderError>): SentOrder {
    const sent: SentOrder = { answer: null };
    const result = Effect.match(order, {
      onSuccess: (answer) =>
        typeof answer === "string" ? answer : "carried out",
      onFailure: ({ message }) => message,
    });
    Effect.runFork(Effect.map(result, (answer) => {
      sent.answer = answer;
    }));
    return sent;
  }
}

vitest.describe("orders whose connections are reset", () => {
  vitest.it("are lost where they have not arrived", async () => {
    const fixture = new Fixture(STEADY);
    const start = fixture.start();
    await fixture.clock.advance(THERE_MS / 2);
    vitest.expect(fixture.resetAll()).toBe(1);
    await fixture.clock.advance(1000);
    vitest.expect(start.answer).toContain("read ECONNRESET");
    vitest.expect(fixture.workers.runs).toEqual([]);
  });

  vitest.it("lose the answer of a waiting poll", async () => {
    const fixture = new Fixture(STEADY);
    const start = fixture.start();
    const renew = fixture.renew(1000);
    await fixture.clock.advance(500);
    vitest.expect(start.answer).toBe("carried out");
    vitest.expect(fixture.resetAll()).toBe(1);
    await fixture.clock.advance(0);
    vitest.expect(renew.answer).toContain("read ECONNRESET");
    vitest.expect(fixture.workers.runs.length).toBe(1);
  });

  vitest.it("do not affect other endpoints or later orders", async () => {
    const fixture = new Fixture(STEADY);
    const start = fixture.start();
    vitest.expect(fixture.workers.transit.reset((id) => id !== ENDPOINT.id))
      .toBe(
        0,
      );
    await fixture.clock.advance(THERE_MS);
    vitest.expect(start.answer).toBe("carried out");
    vitest.expect(fixture.resetAll()).toBe(0);
    const stop = fixture.stop();
    await fixture.clock.advance(THERE_MS);
    vitest.expect(stop.answer).toBe("carried out");
  });
});

vitest.describe("answers on several connections", () => {
  vitest.it(
    "overtake one another: a poll misses a start",
    async () => {
      const drawReturnMs = takeInTurn([50, 0]);
      const fixture = new Fixture({
        ...STEADY,
        drawOutboundMs: () => 0,
        drawReturnMs,
      });
      const renew = fixture.renew();
      await fixture.clock.advance(0);
      const start = fixture.start();
      await fixture.clock.advance(0);
      vitest.expect(start.answer).toBe("carried out");
      vitest.expect(renew.answer).toBeNull();
      await fixture.clock.advance(50);
      vitest.expect(renew.answer).toBe("0 held");
    },
  );

  vitest.it(
    "overtake one another: a poll shows a start early",
    async () => {
      const drawReturnMs = takeInTurn([50, 0]);
      const fixture = new Fixture({
        ...STEADY,
        drawOutboundMs: () => 0,
        drawReturnMs,
      });
      const start = fixture.start();
      await fixture.clock.advance(0);
      const renew = fixture.renew();
      await fixture.clock.advance(0);
      vitest.expect(renew.answer).toBe("1 held");
      vitest.expect(start.answer).toBeNull();
      await fixture.clock.advance(50);
      vitest.expect(start.answer).toBe("carried out");
    },
  );

  vitest.it("delay refusals like other answers", async () => {
    const fixture = new Fixture({ ...STEADY, drawReturnMs: () => 50 });
    const stop = fixture.stop();
    await fixture.clock.advance(THERE_MS);
    const start = fixture.start();
    await fixture.clock.advance(THERE_MS + 49);
    vitest.expect(stop.answer).toBe("carried out");
    vitest.expect(start.answer).toBeNull();
    await fixture.clock.advance(1);
    vitest.expect(start.answer).toContain("old-run");
  });
});

vitest.describe("an order that was sent before a reset", () => {
  const times = { ...STEADY, drawAfterResetMs: () => 200 };

  vitest.it("arrives after it", async () => {
    const fixture = new Fixture(times);
    const start = fixture.start();
    await fixture.clock.advance(THERE_MS / 2);
    fixture.resetAll();
    await fixture.clock.advance(199);
    vitest.expect(start.answer).toContain("read ECONNRESET");
    vitest.expect(fixture.workers.runs).toEqual([]);
    await fixture.clock.advance(1);
    vitest.expect(fixture.workers.runs.length).toBe(1);
  });

  vitest.it("is executed once if it had arrived", async () => {
    const fixture = new Fixture({ ...times, drawReturnMs: () => 50 });
    const start = fixture.start();
    await fixture.clock.advance(THERE_MS);
    fixture.resetAll();
    await fixture.clock.advance(0);
    const stop = fixture.stop();
    await fixture.clock.advance(1000);
    vitest.expect(start.answer).toContain("read ECONNRESET");
    vitest.expect(stop.answer).toBe("carried out");
    vitest.expect(fixture.workers.runs.map(({ how }) => how)).toEqual([
      "stopped",
    ]);
  });

  vitest.it("does not reach a later incarnation", async () => {
    const fixture = new Fixture(times);
    fixture.start();
    await fixture.clock.advance(THERE_MS / 2);
    fixture.resetAll();
    fixture.workers.crash(ENDPOINT.id);
    fixture.workers.restart({ id: ENDPOINT.id, accelerators: 2 });
    await fixture.clock.advance(1000);
    vitest.expect(fixture.workers.runs).toEqual([]);
  });
});
