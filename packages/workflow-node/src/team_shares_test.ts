/** The past use of each team is stored, shown and kept through a takeover. */
import type * as Coordinator from "@cairngate/coordinator";
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Types from "@cairngate/types";
import * as vitest from "vitest";

const KEY = TableClient.Keys.TEAM_SHARES_KEY;
const RUNNING_ID = "a000000000000001";

/** One team has a far larger guarantee than the others. */
const CONFIG = TestUtils.buildAccess({ large: 8, small: 1, other: 1 });
const AUTO = {
  competingTeams: Types.FeatureMode.Auto,
  unevenEndpoints: Types.FeatureMode.Off,
};

function buildFleet(
  options: { hardLoad?: Types.HardLoadSettings; log?: TestUtils.RecordingLog } =
    {},
): TestUtils.TestFleet {
  const { log } = options;
  const fleet = new TestUtils.TestFleet({
    workers: [4, 4],
    config: CONFIG,
    hardLoad: options.hardLoad ?? AUTO,
    ...(log === undefined ? {} : { logOf: () => log }),
  });
  fleet.workers.behave = () => ({ runMs: 120_000, fails: false });
  return fleet;
}

/** Lets the small team use half of the fleet for some time. */
async function occupyHalf(fleet: TestUtils.TestFleet, forMs: number) {
  await fleet.start();
  const steps = [TestUtils.buildStep({ count: 4, estimateMs: 120_000 })];
  await fleet.submit("node-1", RUNNING_ID, { tenant: "small", steps });
  await fleet.until(() => fleet.workers.runs.length === 4);
  await fleet.clock.advance(forMs);
}

function sharesAt(fleet: TestUtils.TestFleet) {
  const name = fleet.coordinator() ?? "";
  const work = fleet.box(name).dump()["work"];
  return (work as Coordinator.CoordinatorDump | null)?.teamShares ?? [];
}

function useOf(fleet: TestUtils.TestFleet, team = "small"): number {
  return sharesAt(fleet).find((one) => one.team === team)?.use ?? 0;
}

/** Kills the coordinator; waits until the next one has measured the load. */
async function takeOver(fleet: TestUtils.TestFleet): Promise<void> {
  const first = fleet.coordinator();
  await fleet.kill(first ?? "");
  await fleet.until(() =>
    ![null, first].includes(fleet.coordinator()) && sharesAt(fleet).length > 0
  );
  await fleet.clock.advance(1500);
}

vitest.describe("shares of teams", () => {
  vitest.it("show the past use and the waiting work", async () => {
    const log = new TestUtils.RecordingLog();
    const fleet = buildFleet({ log });
    await occupyHalf(fleet, 25_000);
    // Needs the whole fleet, so it waits for the current runs to end.
    const steps = [
      TestUtils.buildStep({ count: 8, gang: true, estimateMs: 60_000 }),
    ];
    await fleet.submit("node-1", "a000000000000002", {
      tenant: "small",
      steps,
    });
    await fleet.clock.advance(1000);
    const [first] = sharesAt(fleet);
    vitest.expect(first.team).toBe("small");
    vitest.expect(first.level).toBe("above");
    vitest.expect(first.use).toBeGreaterThan(0.35);
    vitest.expect(first.use).toBeLessThan(0.5);
    vitest.expect(first.waiting).toBe(1);
    const lines = log.messages.filter((one) => one.includes("Team small has"));
    vitest.expect(lines.length).toBe(1);
    await fleet.stop();
  });

  vitest.it("survive a takeover", async () => {
    const fleet = buildFleet();
    await occupyHalf(fleet, 20_000);
    const before = useOf(fleet);
    await takeOver(fleet);
    vitest.expect(before).toBeGreaterThan(0.3);
    vitest.expect(useOf(fleet)).toBeGreaterThan(before * 0.6);
    vitest.expect(sharesAt(fleet)[0].level).toBe("above");
    await fleet.stop();
  });

  vitest.it("are reset if another writer changed the row", async () => {
    const log = new TestUtils.RecordingLog();
    const fleet = buildFleet({ log });
    await occupyHalf(fleet, 20_000);
    const first = fleet.coordinator() ?? "";
    fleet.faultsOf(first).set({ down: true });
    fleet.write(KEY, { use: { small: "much" } });
    await takeOver(fleet);
    vitest.expect(useOf(fleet)).toBeLessThan(0.25);
    const lines = log.messages.filter((one) =>
      one.includes("Nothing is known of what teams have had: it can't be read")
    );
    vitest.expect(lines.length).toBe(1);
    await fleet.stop();
  });

  vitest.it(
    "keep counting while writes fail, and are written later",
    async () => {
      const fleet = buildFleet();
      await occupyHalf(fleet, 4000);
      const name = fleet.coordinator() ?? "";
      fleet.faultsOf(name).set({ down: true });
      await fleet.clock.advance(500);
      const before = useOf(fleet);
      fleet.faultsOf(name).set({ down: false });
      await fleet.clock.advance(8000);
      vitest.expect(fleet.coordinator()).toBe(name);
      vitest.expect(useOf(fleet)).toBeGreaterThan(before);
      const [row] = fleet.table.rowsUnder(KEY);
      const { use } = row.value as { use: Record<string, number> };
      vitest.expect(use["small"]).toBeGreaterThan(before);
      await fleet.stop();
    },
  );

  vitest.it("are neither stored nor counted if turned off", async () => {
    const fleet = buildFleet({ hardLoad: Types.HARD_LOAD_OFF });
    await occupyHalf(fleet, 20_000);
    vitest.expect(sharesAt(fleet)).toEqual([]);
    vitest.expect(fleet.table.rowsUnder(KEY)).toEqual([]);
    await fleet.stop();
  });

  vitest.it("are written at most every 2 s", async () => {
    const fleet = buildFleet();
    await occupyHalf(fleet, 3000);
    const before = fleet.table.revision;
    const changesBefore = fleet.table.changesAfter(KEY, before).length;
    await fleet.clock.advance(20_000);
    const changes = fleet.table.changesAfter(KEY, before).length;
    vitest.expect(changesBefore).toBe(0);
    vitest.expect(changes).toBeGreaterThan(5);
    vitest.expect(changes).toBeLessThanOrEqual(10);
    await fleet.stop();
  });
});
