/** The silence that is borne follows the pace of the renewals. */
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
  vitest.it("is patient with a holder that is hardly known", () => {
    vitest.expect(paceOf(350, 350).silenceLimitMs).toBe(1600);
  });

  vitest.it("is quick where renewals come quickly", () => {
    vitest.expect(paceOf(350, 360, 350).silenceLimitMs).toBe(900);
  });

  vitest.it("is more patient while renewals are slow, and forgets it", () => {
    vitest.expect(paceOf(350, 350, 600).silenceLimitMs).toBe(1500);
    vitest.expect(paceOf(350, 350, 1000).silenceLimitMs).toBe(1600);
    const later = paceOf(350, 1000, 350, 350, 350, 350, 350, 350, 350);
    vitest.expect(later.silenceLimitMs).toBe(900);
  });

  vitest.it("begins anew with another holder", () => {
    const pace = paceOf(350, 350, 350);
    pace.reset();
    vitest.expect(pace.silenceLimitMs).toBe(1600);
  });
});
