import * as TestUtils from "@cairngate/test-utils";
import * as Types from "@cairngate/types";
import * as vitest from "vitest";

const { describe, expect, test } = vitest;
const { TestCluster } = TestUtils;

describe("while the store is down", () => {
  test("repeatable urgent work is carried out", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    cluster.faults.set({ down: true });
    await cluster.clock.advance(20_000);
    const answer = await cluster.run(
      cluster.submit("box_2", { service: "diagnose", input: { request: "r" } }),
    );
    expect(answer).toMatchObject({
      outcome: { kind: "done", result: { request: "r" } },
    });
    const owner = cluster.box(cluster.owner()!);
    expect(owner.dump().cells[0].holdover).toBe(true);
  });

  test("unrepeatable work is rejected as not run and does not run", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    cluster.faults.set({ down: true });
    await cluster.clock.advance(5000);
    const answer = await cluster.run(
      cluster.submit("box_2", { service: "scan", input: { request: "r" } }),
    );
    expect(answer).toMatchObject({ outcome: { kind: "not-run" } });
    await cluster.clock.advance(30_000);
    expect(cluster.summary().startedJobs).toBe(0);
  });

  test("a long job is not accepted", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    cluster.faults.set({ down: true });
    const refused = cluster.run(
      cluster.submit("box_1", { service: "rebuild" }),
    );
    await expect(refused).rejects.toMatchObject({
      _tag: "StoreUnavailableError",
    });
  });

  test("the end of a job is recorded once the store is back", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    const accepted = await cluster.run(
      cluster.submit("box_1", { service: "rebuild", input: { runMs: 2000 } }),
    );
    const { record } = accepted as { record: Types.JobRecord };
    await cluster.clock.advance(500);
    cluster.faults.set({ down: true });
    await cluster.clock.advance(15_000);
    cluster.faults.set({ down: false });
    const ended = await cluster.run(
      cluster.box("box_3").entry.status(record.job.id, 40),
    );
    expect(ended.state).toBe(Types.JobState.Done);
    expect(cluster.summary().startedJobs).toBe(1);
    const starts = cluster.runLog.entries.filter((e) => e.event === "started");
    expect(starts).toHaveLength(1);
  });

  test("no box takes over a cell; a new owner takes it afterwards", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    const accepted = await cluster.run(
      cluster.submit("box_1", { service: "once", input: { runMs: 1000 } }),
    );
    const { record } = accepted as { record: Types.JobRecord };
    await cluster.clock.advance(300);
    cluster.faults.set({ down: true });
    await cluster.kill(cluster.owner()!);
    await cluster.clock.advance(10_000);
    expect(cluster.owner()).toBe(null);
    cluster.faults.set({ down: false });
    const [survivor] = [...cluster.boxes.keys()];
    const ended = await cluster.run(
      cluster.box(survivor).entry.status(record.job.id, 40),
    );
    expect(ended.state).toBe(Types.JobState.Done);
    expect(cluster.summary().repeatedStarts).toEqual([]);
  });
});

describe("lost store answers", () => {
  test("neither lose nor duplicate a long job", async () => {
    const cluster = new TestCluster({ seed: 5 });
    await cluster.start();
    cluster.faults.set({ loseAnswers: 0.5 });
    const accepted: Types.JobRecord[] = [];
    for (let i = 0; i < 10; i++) {
      const found = await cluster.run(
        cluster.submit("box_1", { service: "once", input: { runMs: 100 } }, {
          key: `k${i}`,
        }),
      );
      accepted.push((found as { record: Types.JobRecord }).record);
    }
    cluster.faults.set({ loseAnswers: 0 });
    for (const { job } of accepted) {
      const ended = await cluster.run(
        cluster.box("box_2").entry.status(job.id, 40),
      );
      expect(ended.state).toBe(Types.JobState.Done);
    }
    expect(cluster.summary().repeatedStarts).toEqual([]);
    expect(cluster.summary().startedJobs).toBe(10);
  });
});
