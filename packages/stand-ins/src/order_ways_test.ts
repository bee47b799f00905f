/** Orders on their way to endpoints and back, also where connections are reset. */
import * as Ports from "@cairngate/ports";
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const ENDPOINT: Ports.EndpointRef = { id: "i-1", address: "10.0.0.1:80" };
const TASK = "a.0.0.0";
const LEASE_MS = 60_000;
/** Time of an order on its way, in ms. */
const THERE_MS = 20;

/** All orders alike, and none arrives after a reset. */
const STEADY: StandIns.WayTimes = {
  thereMs: () => THERE_MS,
  backMs: () => 0,
  afterResetMs: () => null,
};

/** Each order takes the next of some times; they are used up in turn. */
function inTurn(times: readonly number[]): () => number {
  const left = [...times];
  return () => left.shift() ?? 0;
}

/** What became of an order, once it has. */
interface Sent {
  answer: string | null;
}

/** One endpoint and orders that are sent to it. */
class Play {
  readonly clock = new TestUtils.FakeClock();
  readonly workers = new StandIns.MemoryTaskWorkers(this.clock, [
    { id: ENDPOINT.id, accelerators: 2 },
  ]);

  constructor(times: StandIns.WayTimes) {
    this.workers.ways.times = times;
    this.workers.behave = () => ({ runMs: LEASE_MS, fails: false });
  }

  start(run = 1): Sent {
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

  stop(run = 1): Sent {
    const order = { task: TASK, run, fencingToken: 1 };
    return this.#send(this.workers.stop(ENDPOINT, order));
  }

  look(waitMs = 0): Sent {
    const look = this.workers.renew(ENDPOINT, {
      fencingToken: 1,
      leaseUntilMs: null,
      recordedEnds: 0,
      recordedBy: null,
      waitMs,
    });
    return this.#send(Effect.map(look, ({ held }) => `${held.length} held`));
  }

  resetAll(): number {
    return this.workers.ways.reset(() => true);
  }

  #send(order: Effect.Effect<unknown, Ports.OrderError>): Sent {
    const sent: Sent = { answer: null };
    const told = Effect.match(order, {
      onSuccess: (answer) =>
        typeof answer === "string" ? answer : "carried out",
      onFailure: ({ message }) => message,
    });
    Effect.runFork(Effect.map(told, (answer) => {
      sent.answer = answer;
    }));
    return sent;
  }
}

vitest.describe("orders whose connections are reset", () => {
  vitest.it("are lost where they have not arrived", async () => {
    const play = new Play(STEADY);
    const start = play.start();
    await play.clock.advance(THERE_MS / 2);
    vitest.expect(play.resetAll()).toBe(1);
    await play.clock.advance(1000);
    vitest.expect(start.answer).toContain("read ECONNRESET");
    vitest.expect(play.workers.runs).toEqual([]);
  });

  vitest.it("lose the answer of a look that waits", async () => {
    const play = new Play(STEADY);
    const start = play.start();
    const look = play.look(1000);
    await play.clock.advance(500);
    vitest.expect(start.answer).toBe("carried out");
    vitest.expect(play.resetAll()).toBe(1);
    await play.clock.advance(0);
    vitest.expect(look.answer).toContain("read ECONNRESET");
    vitest.expect(play.workers.runs.length).toBe(1);
  });

  vitest.it("leave other endpoints and later orders alone", async () => {
    const play = new Play(STEADY);
    const start = play.start();
    vitest.expect(play.workers.ways.reset((id) => id !== ENDPOINT.id)).toBe(0);
    await play.clock.advance(THERE_MS);
    vitest.expect(start.answer).toBe("carried out");
    vitest.expect(play.resetAll()).toBe(0);
    const stop = play.stop();
    await play.clock.advance(THERE_MS);
    vitest.expect(stop.answer).toBe("carried out");
  });
});

vitest.describe("answers on several connections", () => {
  vitest.it(
    "overtake one another: a look tells less than a start",
    async () => {
      const backMs = inTurn([50, 0]);
      const play = new Play({ ...STEADY, thereMs: () => 0, backMs });
      const look = play.look();
      await play.clock.advance(0);
      const start = play.start();
      await play.clock.advance(0);
      vitest.expect(start.answer).toBe("carried out");
      vitest.expect(look.answer).toBeNull();
      await play.clock.advance(50);
      vitest.expect(look.answer).toBe("0 held");
    },
  );

  vitest.it(
    "overtake one another: a look tells more than a start",
    async () => {
      const backMs = inTurn([50, 0]);
      const play = new Play({ ...STEADY, thereMs: () => 0, backMs });
      const start = play.start();
      await play.clock.advance(0);
      const look = play.look();
      await play.clock.advance(0);
      vitest.expect(look.answer).toBe("1 held");
      vitest.expect(start.answer).toBeNull();
      await play.clock.advance(50);
      vitest.expect(start.answer).toBe("carried out");
    },
  );

  vitest.it("bring refusals back as late as answers", async () => {
    const play = new Play({ ...STEADY, backMs: () => 50 });
    const stop = play.stop();
    await play.clock.advance(THERE_MS);
    const start = play.start();
    await play.clock.advance(THERE_MS + 49);
    vitest.expect(stop.answer).toBe("carried out");
    vitest.expect(start.answer).toBeNull();
    await play.clock.advance(1);
    vitest.expect(start.answer).toContain("old-run");
  });
});

vitest.describe("an order that was sent before a reset", () => {
  const times = { ...STEADY, afterResetMs: () => 200 };

  vitest.it("arrives after it", async () => {
    const play = new Play(times);
    const start = play.start();
    await play.clock.advance(THERE_MS / 2);
    play.resetAll();
    await play.clock.advance(199);
    vitest.expect(start.answer).toContain("read ECONNRESET");
    vitest.expect(play.workers.runs).toEqual([]);
    await play.clock.advance(1);
    vitest.expect(play.workers.runs.length).toBe(1);
  });

  vitest.it("is carried out once where it had arrived", async () => {
    const play = new Play({ ...times, backMs: () => 50 });
    const start = play.start();
    await play.clock.advance(THERE_MS);
    play.resetAll();
    await play.clock.advance(0);
    const stop = play.stop();
    await play.clock.advance(1000);
    vitest.expect(start.answer).toContain("read ECONNRESET");
    vitest.expect(stop.answer).toBe("carried out");
    vitest.expect(play.workers.runs.map(({ how }) => how)).toEqual(["stopped"]);
  });

  vitest.it("reaches no later life", async () => {
    const play = new Play(times);
    play.start();
    await play.clock.advance(THERE_MS / 2);
    play.resetAll();
    play.workers.crash(ENDPOINT.id);
    play.workers.beginAgain({ id: ENDPOINT.id, accelerators: 2 });
    await play.clock.advance(1000);
    vitest.expect(play.workers.runs).toEqual([]);
  });
});
