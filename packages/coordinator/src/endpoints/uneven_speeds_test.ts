/** Widely differing speeds are learned from a few rough comparisons. */
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as fc from "fast-check";
import * as vitest from "vitest";
import * as uneven from "./uneven_speeds.ts";

const SPEEDS = [0.6, 1, 1.6];
const ENDPOINTS = 60;
const speedOf = (i: number, speeds = SPEEDS) => speeds[i % speeds.length];
const TASKS = 12;
/** Rate on a usual endpoint, in percent per millisecond. */
const RATE = 0.02;

/** Seeded generator of numbers from 0 to 1. */
function drawsOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** Steps of uneven tasks on endpoints drawn at random, with rough estimates. */
function buildSteps(
  count: number,
  seed: number,
  speeds = SPEEDS,
): uneven.StepRates[] {
  const draw = drawsOf(seed);
  const around = (off: number) => 1 + off * (2 * draw() - 1);
  return Array.from({ length: count }, () => {
    const all = Array.from({ length: TASKS }, () => {
      const i = Math.floor(draw() * ENDPOINTS);
      const tail = draw() < 0.03 ? 7 : 1;
      return {
        endpoint: `${i}`,
        rate: RATE * speedOf(i, speeds) / around(0.3) / tail,
      };
    });
    return { all, fresh: all, expectedRate: RATE * around(0.5) };
  });
}

/** Share of the endpoints whose learned speed is within 20% of the true one. */
function knownShare(of: (endpoint: string) => number): number {
  const all = Array.from({ length: ENDPOINTS }, (_, i) => i);
  const known = all.filter((i) => Math.abs(of(`${i}`) / speedOf(i) - 1) < 0.2);
  return known.length / ENDPOINTS;
}

vitest.describe("speeds of uneven endpoints", () => {
  vitest.it("are known after a few comparisons of each endpoint", () => {
    const seeds = Array.from({ length: 20 }, (_, i) => i + 1);
    const shares = seeds.map((seed) => {
      const speeds = new uneven.UnevenSpeeds();
      // Eight comparisons of each endpoint on average.
      for (const step of buildSteps(40, seed)) speeds.compare(step);
      return knownShare((id) => speeds.of(id));
    });
    const mean = shares.reduce((sum, one) => sum + one, 0) / shares.length;
    vitest.expect(mean).toBeGreaterThan(0.8);
  });

  vitest.it(
    "distinguish an uneven fleet from an even one at any stage",
    () => {
      for (let seed = 1; seed <= 20; seed++) {
        const spreadsOf = (speeds: number[], steps: number) => {
          const learned = new uneven.UnevenSpeeds();
          return buildSteps(steps, seed, speeds).map((step) => {
            learned.compare(step);
            const confident = Array.from(
              { length: ENDPOINTS },
              (_, i) => learned.confidentOf(`${i}`),
            );
            return Scheduler.speedSpread(confident);
          });
        };
        const even = spreadsOf([1], 100);
        vitest.expect(Scheduler.doEndpointsDiffer(Math.max(...even), false))
          .toBe(false);
        const differing = spreadsOf(SPEEDS, 20);
        vitest.expect(Scheduler.doEndpointsDiffer(differing[19], false))
          .toBe(true);
      }
    },
  );

  vitest.it("do not drift while steps run only on slow endpoints", () => {
    const speeds = new uneven.UnevenSpeeds();
    for (const step of buildSteps(60, 1)) speeds.compare(step);
    const slow = Array.from({ length: 20 }, (_, i) => `${i * 3}`);
    const meanSpeed = () =>
      slow.reduce((sum, id) => sum + speeds.of(id), 0) / slow.length;
    const before = meanSpeed();
    for (let i = 0; i < 20; i++) {
      const all = slow.map((endpoint) => ({ endpoint, rate: RATE * 0.6 }));
      speeds.compare({ all, fresh: all, expectedRate: RATE });
    }
    vitest.expect(Math.abs(meanSpeed() - before)).toBeLessThan(0.05);
  });

  vitest.it("follow an endpoint that slows down and recovers", () => {
    const speeds = new uneven.UnevenSpeeds();
    const others = ["a", "b", "c", "d"].map((endpoint) => ({
      endpoint,
      rate: RATE,
    }));
    const feed = (share: number, times: number) => {
      const one = { endpoint: "turning", rate: RATE * share };
      for (let i = 0; i < times; i++) {
        const all = [...others, one];
        speeds.compare({ all, fresh: all, expectedRate: RATE });
      }
      return speeds.of("turning");
    };
    vitest.expect(feed(1, 9)).toBe(1);
    vitest.expect(feed(0.5, 6)).toBe(0.5);
    vitest.expect(feed(1, 6)).toBe(1);
  });

  vitest.it("stay within bounds for arbitrary rates", () => {
    const rate = fc.record({
      endpoint: fc.constantFrom("a", "b", "c"),
      rate: fc.double(),
    });
    const step = fc.record({
      all: fc.array(rate),
      fresh: fc.array(rate),
      expectedRate: fc.double(),
    });
    fc.assert(fc.property(fc.array(step), (steps) => {
      const speeds = new uneven.UnevenSpeeds();
      for (const one of steps) speeds.compare(one);
      for (const id of ["a", "b", "c"]) {
        vitest.expect(speeds.of(id)).toBeGreaterThanOrEqual(0.3);
        vitest.expect(speeds.of(id)).toBeLessThanOrEqual(3);
      }
    }));
  });
});
