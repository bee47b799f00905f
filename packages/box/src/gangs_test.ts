import * as TestUtils from "@cairngate/test-utils";
import * as Types from "@cairngate/types";
import * as vitest from "vitest";

const { describe, expect, test } = vitest;
const { Loss, TestCluster } = TestUtils;

const GANG = { service: "rebuild", gang: 4, accelerators: 4 };

async function submitGang(
  cluster: TestUtils.TestCluster,
  runMs: number,
): Promise<string> {
  const accepted = await cluster.run(
    cluster.submit("box_1", { ...GANG, input: { runMs } }),
  );
  return (accepted as { record: Types.JobRecord }).record.job.id;
}

async function awaitEnd(
  cluster: TestUtils.TestCluster,
  jobId: string,
): Promise<Types.JobRecord> {
  return await cluster.run(cluster.box("box_2").entry.status(jobId, 50));
}

describe("a gang", () => {
  test("whose holds are lost at a worker still starts as a whole", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    let refused = 0;
    for (const link of cluster.links.values()) {
      link.rule = (order, endpoint) =>
        order === "hold" && endpoint.endsWith("5001") && refused++ < 2
          ? Loss.Order
          : Loss.None;
    }
    const jobId = await submitGang(cluster, 500);
    const ended = await awaitEnd(cluster, jobId);
    expect(ended.state).toBe(Types.JobState.Done);
    expect(refused).toBeGreaterThan(0);
    expect(cluster.summary().partialGangs).toEqual([]);
    const starts = cluster.runLog.entries.filter((e) => e.event === "started");
    expect(starts).toHaveLength(4);
  });

  test("whose start orders are lost is started in full by retries", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    let lost = 0;
    for (const link of cluster.links.values()) {
      link.rule = (order) =>
        order === "start" && lost++ < 3 ? Loss.Order : Loss.None;
    }
    const jobId = await submitGang(cluster, 500);
    const ended = await awaitEnd(cluster, jobId);
    expect(ended.state).toBe(Types.JobState.Done);
    expect(cluster.summary().partialGangs).toEqual([]);
  });

  test("that loses a worker is stopped in full and runs again", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    const jobId = await submitGang(cluster, 5000);
    await cluster.clock.advance(1000);
    cluster.workers.get("w0")!.restart();
    const ended = await awaitEnd(cluster, jobId);
    expect(ended.state).toBe(Types.JobState.Done);
    expect(cluster.summary().partialGangs).toEqual([]);
    const stopped = cluster.runLog.entries.filter((e) => e.event === "stopped");
    // The two members on the other worker did not continue alone.
    expect(stopped.filter((e) => e.worker === "w1")).toHaveLength(2);
  });

  test("that is preempted resumes from its checkpoint", async () => {
    const teams = [
      TestUtils.buildTeam("a"),
      TestUtils.buildTeam("b", { guarantee: [[16, 1]] }),
    ];
    const cfg = TestUtils.buildDeployment({ workersPerRack: 2, teams });
    const cluster = new TestCluster({ cfg });
    await cluster.start();
    const jobId = await submitGang(cluster, 20_000);
    await cluster.clock.advance(10_000);
    const claim = await cluster.run(cluster.submit("box_1", {
      ...GANG,
      team: "b",
      input: { runMs: 1000 },
    }));
    const { record } = claim as { record: Types.JobRecord };
    expect((await awaitEnd(cluster, record.job.id)).state).toBe(
      Types.JobState.Done,
    );
    const startMs = cluster.clock.wallMs();
    expect((await awaitEnd(cluster, jobId)).state).toBe(Types.JobState.Done);
    // Half of its 20 s of work were done before the preemption.
    expect(cluster.clock.wallMs() - startMs).toBeLessThan(15_000);
  });
});

describe("a worker that is leaving", () => {
  test("gets no new work after 3 s, even while the store is down", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    cluster.live.mark("w0", true);
    await cluster.clock.advance(3000);
    cluster.faults.set({ down: true });
    const fromMs = cluster.clock.wallMs();
    for (let i = 0; i < 12; i++) {
      const input = { runMs: 2000 };
      cluster.begin(cluster.submit("box_2", { service: "diagnose", input }));
    }
    await cluster.clock.advance(10_000);
    const late = cluster.runLog.entries.filter((e) =>
      e.worker === "w0" && e.atMs >= fromMs
    );
    expect(late).toEqual([]);
    expect(cluster.runLog.entries.length).toBeGreaterThan(0);
  });
});
