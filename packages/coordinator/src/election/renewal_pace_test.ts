/** The tolerated time without a renewal follows the intervals of renewals. */
import * as vitest from "vitest";
import * as paces from "./renewal_pace.ts";

function paceOf(...intervalsMs: number[]): paces.RenewalPace {
  const pace = new paces.RenewalPace();
  let nowMs = 1000;
  pace.note(nowMs);
  for (const intervalMs of intervalsMs) pace.note(nowMs += intervalMs);
  return pace;
}

vitest.describe("RenewalPace", () => {
  vitest.it("tolerates most while few renewals have been seen", () => {
    vitest.expect(paceOf(350, 350).silenceLimitMs).toBe(1600);
  });

  vitest.it("tolerates little where renewals are frequent", () => {
    vitest.expect(paceOf(350, 360, 350).silenceLimitMs).toBe(900);
  });

  vitest.it("tolerates more while renewals are slow, and decays", () => {
    vitest.expect(paceOf(350, 350, 600).silenceLimitMs).toBe(1500);
    vitest.expect(paceOf(350, 350, 1000).silenceLimitMs).toBe(1600);
    const later = paceOf(350, 1000, 350, 350, 350, 350, 350, 350, 350);
    vitest.expect(later.silenceLimitMs).toBe(900);
  });

  vitest.it("starts again with another holder", () => {
    const pace = paceOf(350, 350, 350);
    pace.reset();
    vitest.expect(pace.silenceLimitMs).toBe(1600);
  });
});
