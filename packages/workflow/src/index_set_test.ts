/** Sets of indexes survive a round trip through their text encoding. */
import * as fastCheck from "fast-check";
import * as vitest from "vitest";
import * as sets from "./index_set.ts";

vitest.describe("sets of indexes", () => {
  vitest.it("have a short encoding", () => {
    vitest.expect(sets.encodeIndexes([])).toBe("");
    vitest.expect(sets.encodeIndexes([0, 2, 11])).toBe("BQg=");
    const evenIndexes = Array.from({ length: 10_000 }, (_, i) => 2 * i);
    vitest.expect(sets.encodeIndexes(evenIndexes).length).toBeLessThan(3400);
  });

  vitest.it("survive a round trip", () => {
    const lists = fastCheck.uniqueArray(fastCheck.nat(60));
    fastCheck.assert(fastCheck.property(lists, (list) => {
      const indexes = [...list].sort((a, b) => a - b);
      const text = sets.encodeIndexes(indexes);
      vitest.expect(sets.decodeIndexes(text)).toEqual(indexes);
    }));
  });
});
