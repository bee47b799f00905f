/** Decoding of records that other versions have written. */
import * as vitest from "vitest";
import * as decoding from "./decode_progress.ts";

const RECORD = {
  state: "running",
  done: {},
  runs: {},
  tasks: { "0.0.0": [1, 0, 0, "", 1, 0, 2, 1, 0, null] },
  workers: ["worker-0"],
};
const RUN = [1, "worker-0", "unheard-of", "unheard-of", "unheard-of"];

vitest.describe("a record of a later version", () => {
  vitest.it("is not lost for descriptions that are unknown here", () => {
    const history = { runs: [RUN] };
    const record = {
      ...RECORD,
      histories: { "0.0.0": history },
      giveUp: {
        reason: "unheard-of",
        task: "0.0.0",
        run: 1,
        failures: 0,
        crashes: { laid: 3 },
        history,
      },
    };
    vitest.expect(decoding.decodeProgress(record)).toEqual(record);
  });

  vitest.it("is not lost for fields that are unknown here", () => {
    const record = { ...RECORD, later: [1] };
    vitest.expect(decoding.decodeProgress(record)).toEqual(record);
  });
});
