/** Few boxes follow each renewal of a term; the others look seldom. */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Boxes: twice as many as watch closely. */
const BOXES = 12;
/** Boxes that have the processor to coordinate, and watch closely. */
const LARGE_BOXES = 6;
/** Boxes of the test that counts looks: those of a deployment of middle size. */
const COUNTED_BOXES = 20;
/** Time for which looks are counted, in ms. */
const OBSERVATION_MS = 20_000;
/** Real time for the play of so many boxes, in ms: 7 s alone. */
const TIMEOUT_MS = 120_000;
/** Time within which a term is taken over while close watchers are left, in ms. */
const TAKEOVER_MS = 2500;
/** The same where all of them are gone: a rest longer, in ms. */
const LATE_TAKEOVER_MS = TAKEOVER_MS + 2500;
const ELECTION = "election/";

const numberOf = (name: string) => Number(name.split("-")[1]);
const isLarge = (name: string) => numberOf(name) <= LARGE_BOXES;

async function startFleet(
  seed = 1,
  nodes = BOXES,
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({
    nodes,
    cores: (name) => isLarge(name) ? 1.35 : 0.324,
    seed,
  });
  await fleet.start();
  // Boxes know each other by then.
  await fleet.clock.advance(12_000);
  return fleet;
}

function pollsOf(fleet: TestUtils.TestFleet, name: string): number {
  return fleet.faultsOf(name).looks.get(ELECTION) ?? 0;
}

async function measureTakeover(fleet: TestUtils.TestFleet): Promise<number> {
  const token = fleet.token();
  const sinceMs = fleet.clock.monotonicMs();
  await fleet.until(() => fleet.token() > token);
  return fleet.clock.monotonicMs() - sinceMs;
}

vitest.describe("the watch of the election", () => {
  vitest.it(
    "costs less than half of what all boxes would look",
    async () => {
      const fleet = await startFleet(1, COUNTED_BOXES);
      const names = [...fleet.nodes.keys()];
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

  vitest.it("takes a term over as soon as ever", async () => {
    for (const seed of [1, 2, 3]) {
      const fleet = await startFleet(seed);
      await fleet.kill(fleet.coordinator() ?? "");
      vitest.expect(await measureTakeover(fleet)).toBeLessThan(TAKEOVER_MS);
      await fleet.stop();
    }
  });

  vitest.it("takes it over also where all close watchers go", async () => {
    for (const seed of [1, 2, 3]) {
      const fleet = await startFleet(seed);
      const killed = [...fleet.nodes.keys()].filter(isLarge);
      for (const name of killed) await fleet.kill(name);
      vitest.expect(await measureTakeover(fleet)).toBeLessThan(
        LATE_TAKEOVER_MS,
      );
      await fleet.stop();
    }
  });

  vitest.it("leaves a released term to its successor at once", async () => {
    for (const seed of [1, 2, 3]) {
      const fleet = await startFleet(seed);
      const first = fleet.coordinator() ?? "";
      const token = fleet.token();
      await fleet.run(fleet.node(first).leave());
      const hasMoved = await fleet.until(() => fleet.token() > token, 700);
      vitest.expect(hasMoved).toBe(true);
      await fleet.stop();
    }
  });
});
