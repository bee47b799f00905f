/** A forecast is conservative, and its text is short and survives a round trip. */
import * as fc from "fast-check";
import * as vitest from "vitest";
import * as codecs from "./forecast_codec.ts";
import type * as loads from "./load.ts";
import * as forecastMaker from "./make_forecast.ts";

function need(accelerators: number) {
  return { cpuMillis: 1000, memoryMb: 1024, accelerators };
}

const SIZE = { cpuMillis: 64_000, memoryMb: 65_536, accelerators: 8 };

function loadOf(changes: Partial<loads.Load> = {}): loads.Load {
  const endpoint = { service: "analysis", rack: "r", total: SIZE, speed: 1 };
  return {
    number: 1,
    boxes: 36,
    remotePenalty: 3,
    endpoints: [endpoint, endpoint],
    runs: [],
    waits: [],
    priorities: new Map([["analysis", [0, 1, 2]]]),
    urgentUse: new Map(),
    isInOrder: true,
    before: null,
    ...changes,
  };
}

function runOf(
  accelerators: number,
  leftMs: number,
  rank = 2,
): loads.RunningTask {
  return { service: "analysis", rank, need: need(accelerators), leftMs };
}

function waitOf(changes: Partial<loads.WaitingTasks>): loads.WaitingTasks {
  const base = { service: "analysis", rank: 2, need: need(1), count: 1 };
  return { ...base, gang: false, runMs: 2000, dueInMs: 60_000, ...changes };
}

function freeFor(load: loads.Load, priority: number) {
  const [service] = forecastMaker.makeForecast(load).services;
  const ahead = service.room.find((candidate) =>
    candidate.priority === priority
  );
  const accelerators = (of: "first" | "last") =>
    ahead?.[of].map((resources) => resources.accelerators);
  return { first: accelerators("first"), last: accelerators("last") };
}

vitest.describe("a capacity forecast", () => {
  vitest.it(
    "frees capacity as runs end, and lets urgent work preempt others",
    () => {
      const load = loadOf({ runs: [runOf(8, 3500), runOf(4, 9000, 0)] });
      vitest.expect(freeFor(load, 1).first)
        .toEqual([4, 4, 4, 12, 12, 12, 16, 16, 16, 16, 16]);
      vitest.expect(freeFor(load, 0).first)
        .toEqual([12, 12, 12, 12, 12, 12, 16, 16, 16, 16, 16]);
    },
  );

  vitest.it("gives freed capacity to earlier work", () => {
    const waits = [
      waitOf({ rank: 1, need: need(8), runMs: 6000 }),
      waitOf({ need: need(8), runMs: 20_000 }),
      waitOf({ need: need(1), runMs: 500, dueInMs: 0 }),
    ];
    const load = loadOf({ runs: [runOf(8, 0), runOf(8, 2000)], waits });
    const { first, last } = freeFor(load, 1);
    vitest.expect(first).toEqual([0, 0, 8, 8, 8, 16, 16, 16, 16, 16, 16]);
    vitest.expect(last).toEqual([0, 0, 0, 0, 0, 8, 8, 8, 8, 16, 16]);
    const [{ room }] = forecastMaker.makeForecast(load).services;
    vitest.expect(room[1].lastDueMs).toBe(60_000);
  });

  vitest.it("gives none to waiting work that new work may overtake", () => {
    const waits = [waitOf({ need: need(8), runMs: 20_000 })];
    const load = { runs: [runOf(16, 0)], waits };
    vitest.expect(freeFor(loadOf(load), 1).last?.[0]).toBe(8);
    const unordered = loadOf({ ...load, isInOrder: false });
    vitest.expect(freeFor(unordered, 1).last?.[0]).toBe(16);
  });

  vitest.it(
    "leaves capacity that waiting work could not take to new work",
    () => {
      const load = loadOf({
        runs: [runOf(12, 5000)],
        waits: [waitOf({ need: need(4), count: 2, gang: true })],
      });
      vitest.expect(freeFor(load, 1).last?.[0]).toBe(4);
    },
  );

  vitest.it("counts missing endpoints, which may come back", () => {
    const before = forecastMaker.makeForecast(loadOf());
    const load = loadOf({ endpoints: [], before });
    vitest.expect(freeFor(load, 1).first).toEqual(freeFor(loadOf(), 1).first);
  });

  vitest.it("remembers the largest sizes that were seen", () => {
    const before = forecastMaker.makeForecast(loadOf());
    const after = forecastMaker.makeForecast(loadOf({ endpoints: [], before }));
    vitest.expect(after.services[0].largest).toEqual(SIZE);
    vitest.expect(after.services[0].total.accelerators).toBe(16);
  });
});

const arbitraryLoads = fc.record({
  runs: fc.array(
    fc.record({
      service: fc.constantFrom("analysis", "other"),
      rank: fc.nat({ max: 3 }),
      need: fc.nat({ max: 8 }).map(need),
      leftMs: fc.integer({ min: -100, max: 80_000 }),
    }),
    { maxLength: 20 },
  ),
  waits: fc.array(
    fc.record({
      service: fc.constantFrom("analysis", "other"),
      rank: fc.nat({ max: 3 }),
      need: fc.nat({ max: 8 }).map(need),
      count: fc.integer({ min: 1, max: 50 }),
      gang: fc.boolean(),
      runMs: fc.nat({ max: 30_000 }),
      dueInMs: fc.integer({ min: -100, max: 80_000 }),
    }),
    { maxLength: 20 },
  ),
});

vitest.describe("the text of a forecast", () => {
  vitest.it("survives a round trip and is short", () => {
    fc.assert(fc.property(arbitraryLoads, (load) => {
      const forecast = forecastMaker.makeForecast(loadOf(load));
      const text = codecs.writeForecast(forecast);
      vitest.expect(Buffer.byteLength(text)).toBeLessThanOrEqual(900);
      const read = codecs.readForecast(text);
      vitest.expect(read).not.toBe(null);
      vitest.expect(codecs.writeForecast(read ?? forecast)).toBe(text);
      for (const [i, readService] of (read?.services ?? []).entries()) {
        const { room } = forecast.services[i];
        vitest.expect(readService.room.length).toBeGreaterThan(0);
        for (const [j, { last }] of readService.room.entries()) {
          const expectedLast = room[j].last.at(-1)?.accelerators;
          vitest.expect(last.at(-1)?.accelerators).toBe(expectedLast);
        }
      }
    }));
  });

  vitest.it("drops teams and services that do not fit", () => {
    const teams = Array.from({ length: 200 }, (_, i) => `team-${i}`);
    const urgentUse = new Map(teams.map((team, i) => [team, i + 1]));
    const priorities = new Map(["analysis", "b", "c", "d", "e", "f"].map(
      (service) => [service, [0, 1, 2]] as const,
    ));
    const forecast = forecastMaker.makeForecast(
      loadOf({ urgentUse, priorities }),
    );
    const text = codecs.writeForecast(forecast);
    vitest.expect(Buffer.byteLength(text)).toBeLessThanOrEqual(900);
    const read = codecs.readForecast(text);
    vitest.expect(read?.services[0].service).toBe("analysis");
    vitest.expect(read?.urgentUse[0]).toEqual(["team-199", 200]);
  });

  vitest.it("handles any amount that callers request", () => {
    const urgentUse = new Map([["hana", 0.5], ["ivo", Infinity], ["jo", 1.5]]);
    const forecast = forecastMaker.makeForecast(loadOf({ urgentUse }));
    const read = codecs.readForecast(codecs.writeForecast(forecast));
    vitest.expect(read?.urgentUse)
      .toEqual([["ivo", Number.MAX_SAFE_INTEGER], ["jo", 1], ["hana", 0]]);
  });

  vitest.it("is rejected if it is not a forecast", () => {
    const bad = ["", "{", "3", "null", "[]", '{"boxes":0}', "{}"];
    for (const text of bad) vitest.expect(codecs.readForecast(text)).toBe(null);
    fc.assert(fc.property(fc.json(), (text) => {
      vitest.expect(codecs.readForecast(text)).toBe(null);
    }));
  });
});
