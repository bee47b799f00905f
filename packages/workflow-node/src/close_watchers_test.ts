/** Few boxes, the close watchers, follow each term renewal; others poll rarely. */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Number of boxes, twice that of the close watchers. */
const BOXES = 12;
/** Number of boxes with enough processor capacity to coordinate: close watchers. */
const LARGE_BOXES = 6;
/** Number of boxes in the test that counts polls: a medium-sized deployment. */
const COUNTED_BOXES = 20;
/** Time during which polls are counted, in ms. */
const OBSERVATION_MS = 20_000;
/** Real-time limit for this many boxes, in ms; an idle machine takes 7 s. */
const TIMEOUT_MS = 120_000;
/** Takeover limit while close watchers remain, in ms. */
const TAKEOVER_MS = 2500;
/** Takeover limit without close watchers, in ms: one rare poll interval longer. */
const LATE_TAKEOVER_MS = TAKEOVER_MS + 2500;
const ELECTION = "election/";

const numberOf = (name: string) => Number(name.split("-")[1]);
const isLarge = (name: string) => numberOf(name) <= LARGE_BOXES;

async function startFleet(
  seed = 1,
  boxes = BOXES,
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({
    boxes,
    cores: (name) => isLarge(name) ? 1.35 : 0.324,
    seed,
  });
  await fleet.start();
  // The boxes have discovered each other by then.
  await fleet.clock.advance(12_000);
  return fleet;
}

function pollsOf(fleet: TestUtils.TestFleet, name: string): number {
  return fleet.faultsOf(name).polls.get(ELECTION) ?? 0;
}

async function measureTakeover(fleet: TestUtils.TestFleet): Promise<number> {
  const token = fleet.token();
  const sinceMs = fleet.clock.monotonicMs();
  await fleet.until(() => fleet.token() > token);
  return fleet.clock.monotonicMs() - sinceMs;
}

vitest.describe("the polling of the election", () => {
  vitest.it(
    "needs less than half the polls of boxes that are all close watchers",
    async () => {
      const fleet = await startFleet(1, COUNTED_BOXES);
      const names = [...fleet.boxes.keys()];
      const before = new Map(names.map((name) => [name, pollsOf(fleet, name)]));
      await fleet.clock.advance(OBSERVATION_MS);
      const polls = names.map((name) =>
        pollsOf(fleet, name) - (before.get(name) ?? 0)
      );
      const maxPolls = Math.max(...polls);
      const sum = polls.reduce((total, count) => total + count, 0);
      vitest.expect(sum).toBeLessThan(maxPolls * COUNTED_BOXES / 2);
      vitest.expect(Math.min(...polls)).toBeGreaterThan(0);
      await fleet.stop();
    },
    TIMEOUT_MS,
  );

  vitest.it("allows a takeover within the usual time", async () => {
    for (const seed of [1, 2, 3]) {
      const fleet = await startFleet(seed);
      await fleet.kill(fleet.coordinator() ?? "");
      vitest.expect(await measureTakeover(fleet)).toBeLessThan(TAKEOVER_MS);
      await fleet.stop();
    }
  });

  vitest.it("allows a takeover after all close watchers end", async () => {
    for (const seed of [1, 2, 3]) {
      const fleet = await startFleet(seed);
      const killed = [...fleet.boxes.keys()].filter(isLarge);
      for (const name of killed) await fleet.kill(name);
      vitest.expect(await measureTakeover(fleet)).toBeLessThan(
        LATE_TAKEOVER_MS,
      );
      await fleet.stop();
    }
  });

  vitest.it("passes a released term to a successor at once", async () => {
    for (const seed of [1, 2, 3]) {
      const fleet = await startFleet(seed);
      const first = fleet.coordinator() ?? "";
      const token = fleet.token();
      await fleet.run(fleet.box(first).leave());
      const hasMoved = await fleet.until(() => fleet.token() > token, 700);
      vitest.expect(hasMoved).toBe(true);
      await fleet.stop();
    }
  });
});
