/**
 * Guards against leases that are granted while a term is handed over: the fitter box may
 * coordinate before the release of the row is answered.
 */
import * as Logger from "@cairngate/logger";
import * as Metrics from "@cairngate/metrics";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as vitest from "vitest";
import type * as ports from "../ports.ts";
import * as leaseGrants from "./lease_grants.ts";
import * as terms from "./term.ts";
import * as termKeepers from "./term_keeper.ts";

function createTerm(clock: TestUtils.FakeClock): terms.Term {
  const grants = new leaseGrants.LeaseGrants({
    clock,
    outageReports: { isUnavailableToAll: () => true },
    log: Logger.silentLogger(),
    metrics: new Metrics.Metrics(),
    token: 1,
    begunAt: clock.now(),
  });
  return new terms.Term({
    token: 1,
    revision: 1,
    inherited: null,
    inheritedLeases: null,
    inheritedMemoryUse: null,
    grants,
  });
}

vitest.describe("a term that is handed to a fitter box", () => {
  vitest.it("grants no leases once the release is sent", async () => {
    const clock = new TestUtils.FakeClock();
    const term = createTerm(clock);
    let mayGrantAtRelease: boolean | null = null;
    const release = Effect.suspend(() => {
      mayGrantAtRelease = term.grants.mayGrant();
      return Effect.never;
    });
    const keeper = new termKeepers.TermKeeper({
      clock,
      incarnation: "a",
      log: Logger.silentLogger(),
      store: { write: () => release },
      fitness: {
        hasFitterBox: () => true,
        findFitterBox: () => Effect.succeed("node-2"),
      },
    } as unknown as ports.CoordinatorPorts);
    vitest.expect(term.grants.mayGrant()).toBe(true);
    const fiber = Effect.runFork(keeper.moveToFitter(term));
    await clock.advance(2000);
    vitest.expect(mayGrantAtRelease).toBe(false);
    await Effect.runPromise(Fiber.interrupt(fiber));
  });
});
