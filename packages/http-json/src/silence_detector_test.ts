/**
 * Guards against calls that fail one after another because kept connections stopped
 * carrying data without a reset, and against a slow address that is treated as silent.
 * It uses real sockets, and a proxy that drops their data.
 */
import * as Adapters from "@cairngate/adapters";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as http from "node:http";
import type * as net from "node:net";
import * as vitest from "vitest";
import * as callers from "./http_caller.ts";
import * as listening from "./address.ts";
import * as sending from "./send.ts";
import * as detectors from "./silence_detector.ts";

const clock = new Adapters.SystemClock();
/** Number of connections of a box to the store. */
const CONNECTIONS = 24;
/** Timeout of a call, in ms. */
const TIMEOUT_MS = 400;
/**
 * Timeout of a call that is still pending while another one is made, in ms: ten times
 * what the other one takes beside three busy processes per core.
 */
const LONG_TIMEOUT_MS = 2000;
/** Response time of a store that is 90 times slower, in ms: 4 ms x 90. */
const SLOW_RESPONSE_MS = 360;
/** Delay after which a response that is overdue is seen as such, in ms. */
const OVERDUE_MARGIN_MS = 50;
/** Response times of a quick server and of one on a busy machine, in ms. */
const EARLIER_RESPONSES_MS: readonly number[] = [0, 80];

/** A server on loopback, a proxy in front of it and a caller. */
class Fixture {
  /** Response time of the server, in ms. */
  responseMs = 0;
  served = 0;
  #slowestMs = 0;
  readonly silences: callers.SilentConnection[] = [];
  readonly caller = new callers.HttpCaller({
    connections: CONNECTIONS,
    onSilence: (silent) => this.silences.push(silent),
  });
  readonly #server = http.createServer((req, res) => {
    this.served++;
    req.resume();
    const respond = () => sending.sendJson(res, 200, { body: { ok: true } });
    if (this.responseMs === 0) respond();
    else setTimeout(respond, this.responseMs);
  });
  proxy!: TestUtils.SilentProxy;
  #address = "";

  async start(): Promise<void> {
    await Effect.runPromise(listening.listen(this.#server, "127.0.0.1:0"));
    const { port } = this.#server.address() as net.AddressInfo;
    this.proxy = new TestUtils.SilentProxy(`127.0.0.1:${port}`);
    this.#address = await this.proxy.start();
  }

  stop(): void {
    this.caller.close();
    this.proxy.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Makes one call; returns whether its response arrived in time. */
  call(
    options: Partial<callers.HttpCall> = {},
    timeoutMs = TIMEOUT_MS,
  ): Promise<boolean> {
    const call = this.caller.call(this.#address, {
      method: "GET",
      path: "/",
      ...options,
    });
    const timed = Effect.result(clock.within(timeoutMs, call));
    const sentAtMs = clock.monotonicMs();
    return Effect.runPromise(
      Effect.map(timed, (result) => {
        const tookMs = clock.monotonicMs() - sentAtMs;
        this.#slowestMs = Math.max(this.#slowestMs, tookMs);
        return result._tag === "Success" && result.success !== null;
      }),
    );
  }

  /**
   * Time after which a response is overdue, in ms. It depends on the average response
   * time, which the slowest response bounds.
   */
  get overdueAfterMs(): number {
    const scaledMs = this.#slowestMs * detectors.OVERDUE_FACTOR;
    return Math.max(detectors.MIN_OVERDUE_MS, scaledMs) + OVERDUE_MARGIN_MS;
  }

  /** Makes the first calls, whose responses take this time, then a quick server. */
  async warmUp(count: number, responseMs: number): Promise<void> {
    this.responseMs = responseMs;
    vitest.expect(await this.callMany(count, LONG_TIMEOUT_MS)).toBe(count);
    this.responseMs = 0;
  }

  /** Makes concurrent calls; returns how many got a response in time. */
  async callMany(count: number, timeoutMs = TIMEOUT_MS): Promise<number> {
    const calls = Array.from({ length: count }, () => this.call({}, timeoutMs));
    return (await Promise.all(calls)).filter((isAnswered) => isAnswered).length;
  }
}

let fixture: Fixture;

vitest.beforeEach(async () => {
  fixture = new Fixture();
  await fixture.start();
});
vitest.afterEach(() => fixture.stop());

vitest.describe("kept connections that turn silent", () => {
  vitest.it("fail at most one call when none is pending", async () => {
    vitest.expect(await fixture.callMany(CONNECTIONS, LONG_TIMEOUT_MS))
      .toBe(CONNECTIONS);
    vitest.expect(fixture.proxy.silence()).toBe(CONNECTIONS);
    const answered: boolean[] = [];
    for (let i = 0; i < 4; i++) answered.push(await fixture.call());
    vitest.expect(answered).toEqual([false, true, true, true]);
    vitest.expect(fixture.silences).toHaveLength(1);
    vitest.expect(fixture.silences[0].closedCount).toBe(CONNECTIONS - 1);
  });

  vitest.it.each(EARLIER_RESPONSES_MS)(
    "are not used any more once one response is overdue, after %i ms each",
    async (responseMs) => {
      await fixture.warmUp(4, responseMs);
      const { overdueAfterMs } = fixture;
      fixture.proxy.silence();
      let isFirstDone = false;
      const first = fixture.call({}, overdueAfterMs + LONG_TIMEOUT_MS)
        .finally(() => {
          isFirstDone = true;
        });
      await Effect.runPromise(clock.sleep(overdueAfterMs));
      // The first call is still pending; the second one uses a new connection.
      vitest.expect(await fixture.call({}, LONG_TIMEOUT_MS / 2)).toBe(true);
      vitest.expect(isFirstDone).toBe(false);
      vitest.expect(await first).toBe(false);
    },
  );

  vitest.it("are detected when silent in one direction only", async () => {
    for (const way of ["to-server", "to-client"] as const) {
      await fixture.callMany(4);
      fixture.proxy.silence(way);
      await fixture.call();
      vitest.expect(await fixture.call()).toBe(true);
    }
  });

  vitest.it("are detected while a poll waits for a change", async () => {
    await fixture.callMany(4);
    fixture.proxy.silence();
    const poll = fixture.call({ quietMs: 300 }, 500);
    await Effect.runPromise(clock.sleep(50));
    vitest.expect(await poll).toBe(false);
    vitest.expect(await fixture.call()).toBe(true);
    vitest.expect(fixture.silences).toHaveLength(1);
  });

  vitest.it.each(EARLIER_RESPONSES_MS)(
    "do not make those suspect that have received data since, after %i ms each",
    async (responseMs) => {
      await fixture.warmUp(2, responseMs);
      const { overdueAfterMs } = fixture;
      fixture.proxy.silence();
      const first = fixture.call({}, overdueAfterMs + TIMEOUT_MS);
      await Effect.runPromise(clock.sleep(overdueAfterMs));
      await fixture.call();
      const opened = fixture.proxy.opened;
      await first;
      await fixture.callMany(1);
      vitest.expect(fixture.proxy.opened).toBe(opened);
    },
  );
});

vitest.describe("an address that is slow but not silent", () => {
  vitest.it("gets few new connections", async () => {
    await fixture.callMany(4, LONG_TIMEOUT_MS);
    fixture.responseMs = SLOW_RESPONSE_MS;
    for (let round = 0; round < 5; round++) {
      vitest.expect(await fixture.callMany(4, LONG_TIMEOUT_MS)).toBe(4);
    }
    // At most four more are opened, until the average includes the slow responses.
    vitest.expect(fixture.proxy.opened).toBeLessThanOrEqual(8);
    vitest.expect(fixture.silences).toEqual([]);
  });

  vitest.it(
    "gets a bounded number even where responses exceed the timeout",
    async () => {
      await fixture.callMany(4);
      fixture.responseMs = TIMEOUT_MS + 100;
      for (let round = 0; round < 5; round++) await fixture.callMany(4);
      // Each abandoned call closes its own connection.
      vitest.expect(fixture.proxy.opened).toBeLessThanOrEqual(4 + 5 * 4);
    },
  );

  vitest.it("is called over a new connection on request", async () => {
    await fixture.callMany(2);
    fixture.proxy.silence();
    vitest.expect(await fixture.call({ onNewConnection: true })).toBe(true);
  });
});
