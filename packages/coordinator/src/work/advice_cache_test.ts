/** Which steps the requests to the advice service go to. */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as advice from "./advice_cache.ts";

const VALIDITY_MS = 3000;
const DECISION_MS = 200;

/** Denies all endpoints but the given ones; fails while it is overloaded. */
class FakeAdvisor extends Ports.Advisor {
  readonly requests: { step: string; endpoints: readonly string[] }[] = [];
  readonly allowed = new Set<string>();
  isOverloaded = false;
  readonly #clock: Ports.Clock;

  constructor(clock: Ports.Clock) {
    super();
    this.#clock = clock;
  }

  override requestAdvice(step: string, endpoints: readonly string[]) {
    this.requests.push({ step, endpoints });
    if (this.isOverloaded) {
      const err = { operation: "advice", cause: "status 429" };
      return Effect.fail(new Errors.StoreUnavailableError(err));
    }
    const tickets = endpoints.filter((id) => this.allowed.has(id))
      .map((worker) => ({ worker, ticket: `${step}@${worker}` }));
    return Effect.as(this.#clock.sleep(DECISION_MS), {
      tickets,
      validityMs: VALIDITY_MS,
    });
  }
}

/** A waiting unit that may use the given endpoints. */
function buildCandidate(
  id: string,
  endpoints: readonly string[],
): advice.AdviceCandidate {
  const policy = {
    ...TestUtils.buildAccess().queues[1],
    advice: {
      decisionMs: DECISION_MS,
      perWorkerMs: 0,
      validityMs: VALIDITY_MS,
    },
  };
  const workflow = new Workflow.Workflow({
    id,
    tenant: "hana",
    policy,
    payload: "",
    steps: [TestUtils.buildStep()],
    schedule: null,
    acceptedAtMs: 0,
  });
  const [unit] = workflow.readyUnits(0);
  return { unit, listEndpoints: () => endpoints };
}

function setUp() {
  const clock = new TestUtils.FakeClock();
  const advisor = new FakeAdvisor(clock);
  const cache = new advice.AdviceCache({ advisor, clock, onAdvice: () => {} });
  /** Requests advice for the candidates each 50 ms, as plans do. */
  const planFor = async (
    candidates: readonly advice.AdviceCandidate[],
    durationMs: number,
  ) => {
    for (let ms = 0; ms < durationMs; ms += 50) {
      cache.request(candidates);
      await clock.advance(50);
    }
  };
  return { clock, advisor, cache, planFor };
}

vitest.describe("AdviceCache", () => {
  // Guards against later steps that never get advice, while steps before them wait for
  // one busy endpoint and renew their tickets for it again and again.
  vitest.it("lets no step use up all requests", async () => {
    const { advisor, planFor } = setUp();
    for (const id of ["busy", "idle"]) advisor.allowed.add(id);
    const urgent = Array.from(
      { length: 20 },
      (_, i) => buildCandidate(`urgent-${i}`, ["busy"]),
    );
    await planFor(urgent, 6000);
    await planFor([...urgent, buildCandidate("late", ["idle"])], 1000);
    vitest.expect(advisor.requests.map(({ step }) => step))
      .toContain("late.0.0");
  });

  vitest.it("names an endpoint again after a lost answer", async () => {
    const { clock, advisor, cache, planFor } = setUp();
    const candidate = buildCandidate("w", ["a"]);
    advisor.allowed.add("a");
    advisor.isOverloaded = true;
    cache.request([candidate]);
    await clock.advance(0);
    advisor.isOverloaded = false;
    await planFor([candidate], 1000);
    vitest.expect(cache.ticket(candidate.unit, "a")).toBe("w.0.0@a");
  });

  vitest.it("pauses after a request that the service rejects", async () => {
    const { advisor, planFor } = setUp();
    advisor.isOverloaded = true;
    await planFor([buildCandidate("w", ["a"])], 1000);
    vitest.expect(advisor.requests.length).toBeLessThanOrEqual(4);
  });

  vitest.it(
    "ignores an answer about an endpoint that has restarted",
    async () => {
      const { clock, advisor, cache } = setUp();
      const candidate = buildCandidate("w", ["a"]);
      advisor.allowed.add("a");
      cache.request([candidate]);
      await clock.advance(DECISION_MS / 2);
      cache.evictEndpoint("a");
      await clock.advance(DECISION_MS);
      vitest.expect(cache.ticket(candidate.unit, "a")).toBeNull();
      cache.request([candidate]);
      await clock.advance(DECISION_MS);
      vitest.expect(cache.ticket(candidate.unit, "a")).toBe("w.0.0@a");
    },
  );

  vitest.it("drops the steps of workflows that are over", async () => {
    const { cache, planFor } = setUp();
    const ended = buildCandidate("ended", ["a"]);
    await planFor([ended], 500);
    ended.unit.workflow.cancelled = true;
    ended.unit.workflow.completeCancel();
    await planFor([buildCandidate("live", ["a"])], 500);
    vitest.expect(cache.size).toBe(1);
  });
});
