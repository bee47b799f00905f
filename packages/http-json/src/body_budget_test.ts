/** All bodies together stay within a budget, and small ones find room beside large. */
import * as fc from "fast-check";
import * as vitest from "vitest";
import * as budgets from "./body_budget.ts";

const CAPACITY_BYTES = 10_000;

interface Body {
  readonly claim: budgets.BodyClaim;
  isArriving: boolean;
}

/** Bodies of one budget, with those that were evicted, in this order. */
function createBodies(count: number) {
  const budget = new budgets.BodyBudget(CAPACITY_BYTES);
  const evicted: Body[] = [];
  const bodies = Array.from({ length: count }, (): Body => {
    const body = { claim: budget.claim(), isArriving: true };
    body.claim.onEvict = () => evicted.push(body);
    return body;
  });
  return { budget, bodies, evicted };
}

const steps = fc.array(
  fc.record({
    index: fc.nat(19),
    action: fc.constantFrom("grow", "grow", "grow", "complete", "release"),
    bytes: fc.integer({ min: 1, max: 4000 }),
  }),
  { maxLength: 200 },
);

vitest.describe("the budget of all bodies", () => {
  vitest.it("is never exceeded, whatever bodies do", () => {
    fc.assert(fc.property(steps, (plan) => {
      const { budget, bodies } = createBodies(20);
      for (const { index, action, bytes } of plan) {
        const body = bodies[index];
        if (action === "release") body.claim.release();
        if (action === "complete") body.claim.complete();
        if (action === "complete") body.isArriving = false;
        if (action === "release") body.isArriving = true;
        if (action === "grow" && body.isArriving) {
          body.claim.grow(body.claim.bytes + bytes);
        }
        const heldBytes = bodies.reduce((sum, one) => sum + one.claim.bytes, 0);
        vitest.expect(budget.usedBytes).toBe(heldBytes);
        vitest.expect(heldBytes).toBeLessThanOrEqual(CAPACITY_BYTES);
      }
      for (const { claim } of bodies) claim.release();
      vitest.expect(budget.usedBytes).toBe(0);
    }));
  });

  vitest.it("evicts no body that is much smaller than the one in need", () => {
    fc.assert(fc.property(steps, (plan) => {
      const { bodies, evicted } = createBodies(20);
      for (const { index, action, bytes } of plan) {
        const { claim } = bodies[index];
        if (action !== "grow") continue;
        const sizes = new Map(bodies.map((one) => [one, one.claim.bytes]));
        evicted.length = 0;
        claim.grow(claim.bytes + bytes);
        for (const victim of evicted) {
          const victimBytes = sizes.get(victim) ?? 0;
          vitest.expect(2 * victimBytes).toBeGreaterThan(bytes);
          const larger = bodies.filter((one) =>
            one.claim !== claim && one.claim.bytes > 2 * victimBytes
          );
          vitest.expect(larger).toEqual([]);
        }
      }
    }));
  });

  vitest.it("has room for a small body beside large ones", () => {
    const { bodies: [small, ...large] } = createBodies(6);
    for (const { claim } of large) claim.grow(2000);
    vitest.expect(small.claim.grow(100)).toBe(true);
    vitest.expect(large.map(({ claim }) => claim.bytes))
      .toEqual([0, 2000, 2000, 2000, 2000]);
  });

  vitest.it("is not taken from small bodies by a large one", () => {
    const { bodies: [large, ...small] } = createBodies(20);
    for (const { claim } of small) claim.grow(500);
    vitest.expect(large.claim.grow(4000)).toBe(false);
    vitest.expect(small.every(({ claim }) => claim.bytes === 500)).toBe(true);
  });

  vitest.it("evicts the body that has not grown for the longest", () => {
    const { bodies: [first, second, third], evicted } = createBodies(3);
    first.claim.grow(4000);
    second.claim.grow(4000);
    first.claim.grow(4050);
    third.claim.grow(4000);
    vitest.expect(evicted).toEqual([second]);
  });

  vitest.it("evicts no body that has arrived", () => {
    const { bodies: [first, second, third] } = createBodies(3);
    first.claim.grow(8000);
    first.claim.complete();
    vitest.expect(second.claim.grow(4000)).toBe(false);
    vitest.expect(third.claim.grow(1000)).toBe(true);
    first.claim.release();
    vitest.expect(second.claim.grow(4000)).toBe(true);
  });
});
