import * as Entry from "@cairngate/entry";
import * as TestUtils from "@cairngate/test-utils";
import * as Types from "@cairngate/types";
import * as vitest from "vitest";

const { describe, expect, test } = vitest;

describe("reported incidents", () => {
  test("a large gang is not starved by a stream of diagnostics", async () => {
    const cluster = new TestUtils.TestCluster();
    await cluster.start();
    const accepted = await cluster.run(cluster.submit("box_1", {
      service: "rebuild",
      gang: 16,
      input: { runMs: 500 },
    }));
    const { record } = accepted as { record: Types.JobRecord };
    for (let i = 0; i < 30; i++) {
      const input = { runMs: 400 };
      cluster.begin(cluster.submit("box_2", { service: "diagnose", input }));
      await cluster.clock.advance(100);
    }
    const ended = await cluster.run(
      cluster.box("box_3").entry.status(record.job.id, 60),
    );
    expect(ended.state).toBe(Types.JobState.Done);
  });

  test("a scan that is retried through another box runs once", async () => {
    const cluster = new TestUtils.TestCluster();
    await cluster.start();
    const input = { request: "scan", runMs: 300 };
    const body = { service: "scan", input };
    const first = cluster.begin(
      cluster.submit("box_1", body, { key: "vehicle-7" }),
    );
    await cluster.clock.advance(100);
    const second = cluster.begin(
      cluster.submit("box_2", body, { key: "vehicle-7" }),
    );
    await cluster.clock.advance(5000);
    const answers = await Promise.all([first.value, second.value]);
    for (const answer of answers) {
      expect(answer).toMatchObject({
        kind: Entry.SubmissionKind.Ended,
        outcome: { kind: Types.OutcomeKind.Done, result: { request: "scan" } },
      });
    }
    expect(cluster.summary().startedJobs).toBe(1);
    expect(cluster.summary().repeatedStarts).toEqual([]);
  });

  test("a gang survives the failure of the owner that accepted it", async () => {
    const cluster = new TestUtils.TestCluster();
    await cluster.start();
    const owner = cluster.owner()!;
    const accepted = await cluster.run(cluster.submit(owner, {
      service: "rebuild",
      gang: 4,
      input: { runMs: 8000 },
    }));
    const { record } = accepted as { record: Types.JobRecord };
    await cluster.clock.advance(1000);
    // With a slow store, a faulty owner might fence the workers before it has read
    // the rows.
    cluster.faults.set({ delayMs: 300 });
    await cluster.kill(owner);
    const [survivor] = [...cluster.boxes.keys()];
    const ended = await cluster.run(
      cluster.box(survivor).entry.status(record.job.id, 60),
    );
    expect(ended.state).toBe(Types.JobState.Done);
    const starts = cluster.runLog.entries.filter((e) => e.event === "started");
    // The new owner adopted the running gang and did not restart it.
    expect(starts).toHaveLength(4);
  });
});
