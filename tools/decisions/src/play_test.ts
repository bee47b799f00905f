/** Plays of a load against the planner. */
import * as vitest from "vitest";
import * as loads from "./load.ts";
import * as marks from "./marks.ts";
import * as plays from "./play.ts";

function smallLoad(): loads.Load {
  const load = loads.LOADS.get("small");
  if (load === undefined) throw new RangeError("no small load");
  return load;
}

vitest.describe("a play", () => {
  vitest.it("ends all work, and repeats for a seed", () => {
    const first = plays.play(smallLoad(), 1);
    const second = plays.play(smallLoad(), 1);
    vitest.expect(first.served.every(({ tookMs }) => tookMs !== null))
      .toBe(true);
    vitest.expect(marks.marksOf(second)).toEqual(marks.marksOf(first));
  });

  vitest.it("earns at least what it did when the ways were compared", () => {
    // Seeds 1 and 2: 0.90 on the mean; some room for other orders of equal units.
    const all = [1, 2].map((seed) =>
      marks.marksOf(plays.play(smallLoad(), seed))
    );
    const mean = (of: (one: marks.Marks) => number) =>
      all.reduce((sum, one) => sum + of(one), 0) / all.length;
    vitest.expect(mean((one) => one.mark)).toBeGreaterThan(0.8);
    vitest.expect(mean((one) => one.large)).toBeGreaterThan(0.8);
    vitest.expect(mean((one) => one.thrownAway)).toBeLessThan(12);
  });
});
