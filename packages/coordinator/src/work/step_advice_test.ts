/** What a step keeps of the answers of the advice service. */
import * as vitest from "vitest";
import * as stepAdvice from "./step_advice.ts";

const VALIDITY_MS = 3000;
const ENDPOINTS = ["a", "b", "c", "d"];

/** Applies an answer that was requested and received at `atMs`. */
function answer(
  advice: stepAdvice.StepAdvice,
  requested: readonly string[],
  allowed: readonly string[],
  atMs: number,
): void {
  const tickets = allowed.map((worker) => ({
    worker,
    ticket: `${worker}@${atMs}`,
  }));
  advice.apply({
    advice: { tickets, validityMs: VALIDITY_MS },
    requested,
    requestedAtMs: atMs,
    answeredAtMs: atMs,
  });
}

vitest.describe("StepAdvice", () => {
  vitest.it("names endpoints that no answer has covered", () => {
    const advice = new stepAdvice.StepAdvice();
    vitest.expect(advice.selectEndpoints(ENDPOINTS, 0)).toEqual(ENDPOINTS);
    answer(advice, ["a", "b"], ["a"], 0);
    vitest.expect(advice.selectEndpoints(ENDPOINTS, 100)).toEqual(["c", "d"]);
  });

  // Guards against a round over all endpoints that begins again whenever the tickets
  // of its first answer expire.
  vitest.it("continues a round that outlasts its first answer", () => {
    const advice = new stepAdvice.StepAdvice();
    answer(advice, ["a"], [], 0);
    answer(advice, ["b"], [], 2000);
    vitest.expect(advice.selectEndpoints(ENDPOINTS, 4000)).toEqual(["c", "d"]);
  });

  // Guards against a step that stands still after its endpoints were cut off: they were
  // forgotten with their tickets and still counted as requested.
  vitest.it("names allowed endpoints again once their tickets expire", () => {
    const advice = new stepAdvice.StepAdvice();
    answer(advice, ENDPOINTS, ["c"], 0);
    vitest.expect(advice.selectEndpoints(["a", "b", "d"], 5000)).toEqual([]);
    vitest.expect(advice.ticket("c", 5000)).toBeNull();
    vitest.expect(advice.isAllowed("c")).toBe(true);
    vitest.expect(advice.selectEndpoints(ENDPOINTS, 5000)).toEqual(["c"]);
  });

  vitest.it("keeps the time of each ticket", () => {
    const advice = new stepAdvice.StepAdvice();
    answer(advice, ["a"], ["a"], 0);
    answer(advice, ["b"], ["b"], 2000);
    vitest.expect(advice.ticket("a", 2500)).toBe("a@0");
    vitest.expect(advice.ticket("a", 2700)).toBeNull();
    vitest.expect(advice.ticket("b", 2700)).toBe("b@2000");
  });

  // Guards against a new endpoint that is shut out because the service answered before
  // it knew of it.
  vitest.it("names denied endpoints again while none is allowed", () => {
    const advice = new stepAdvice.StepAdvice();
    answer(advice, ENDPOINTS, [], 0);
    vitest.expect(advice.selectEndpoints(ENDPOINTS, 9000)).toEqual([]);
    vitest.expect(advice.selectEndpoints(ENDPOINTS, 10_000)).toEqual(ENDPOINTS);
    answer(advice, ENDPOINTS, ["b"], 10_000);
    vitest.expect(advice.selectEndpoints(ENDPOINTS, 12_000)).toEqual([]);
  });

  vitest.it("names a new incarnation as one that it does not know", () => {
    const advice = new stepAdvice.StepAdvice();
    answer(advice, ENDPOINTS, ["a"], 0);
    advice.forget("a");
    advice.forget("b");
    vitest.expect(advice.ticket("a", 100)).toBeNull();
    vitest.expect(advice.isAllowed("a")).toBe(false);
    vitest.expect(advice.selectEndpoints(ENDPOINTS, 100)).toEqual(["a", "b"]);
  });

  vitest.it("drops a rejected ticket but not a newer one", () => {
    const advice = new stepAdvice.StepAdvice();
    answer(advice, ["a"], ["a"], 0);
    answer(advice, ["a"], ["a"], 1000);
    advice.dropTicket("a", "a@0");
    vitest.expect(advice.ticket("a", 1100)).toBe("a@1000");
    advice.dropTicket("a", "a@1000");
    vitest.expect(advice.ticket("a", 1100)).toBeNull();
    vitest.expect(advice.selectEndpoints(["a"], 1100)).toEqual(["a"]);
  });
});
