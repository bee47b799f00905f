import * as TestUtils from "@cairngate/test-utils";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const { describe, expect, test } = vitest;
const { Loss, TestCluster } = TestUtils;

function loseFirst(order: string, loss: TestUtils.Loss) {
  let remaining = 1;
  return (name: string) => name === order && remaining-- > 0 ? loss : Loss.None;
}

describe("an answer", () => {
  test("to another caller's request is discarded and counted", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    const link = cluster.links.get("box_2")!;
    let first = true;
    link.answerRule = (answer) => {
      if (!first) return answer;
      first = false;
      const caller = { box: "box_2", request: "somebody else's" };
      return { ...answer, caller, result: { request: "foreign" } };
    };
    const found = await cluster.run(
      cluster.submit("box_2", {
        service: "diagnose",
        input: { request: "own" },
      }),
    );
    expect(found).toMatchObject({
      outcome: { kind: "done", result: { request: "own" } },
    });
    const name = "cairngate_foreign_answers_total";
    expect(cluster.box("box_2").metrics.get(name)).toBe(1);
  });

  test("that was lost is fetched for unrepeatable work", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    cluster.links.get("box_2")!.rule = loseFirst("run", Loss.Answer);
    const found = await cluster.run(
      cluster.submit("box_2", { service: "scan", input: { request: "r" } }),
    );
    expect(found).toMatchObject({
      outcome: { kind: "done", result: { request: "r" } },
    });
    expect(cluster.summary().repeatedStarts).toEqual([]);
  });

  test("is unknown if it can't be fetched, and the work runs once", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    cluster.links.get("box_2")!.rule = loseFirst("run", Loss.Answer);
    for (const link of cluster.links.values()) {
      const inner = link.rule;
      link.rule = (order, endpoint) =>
        order === "stop" ? Loss.Order : inner(order, endpoint);
    }
    const found = await cluster.run(
      cluster.submit("box_2", { service: "scan", input: { request: "r" } }),
    );
    expect(found).toMatchObject({ outcome: { kind: "unknown" } });
    await cluster.clock.advance(30_000);
    expect(cluster.summary().startedJobs).toBe(1);
    expect(cluster.summary().repeatedStarts).toEqual([]);
  });

  test("is not-run if the order never arrived, and the work does not run", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    cluster.links.get("box_2")!.rule = (order) =>
      order === "run" ? Loss.Order : Loss.None;
    const found = await cluster.run(
      cluster.submit("box_2", {
        service: "scan",
        input: { request: "r" },
        deadlineSeconds: 3,
      }),
    );
    expect(found).toMatchObject({ outcome: { kind: "not-run" } });
    await cluster.clock.advance(30_000);
    expect(cluster.summary().startedJobs).toBe(0);
  });
});

describe("an idempotency key of another request", () => {
  test("does not return the other request's answer to a scan", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    const scan = (box: string, request: string) =>
      cluster.run(
        cluster.submit(box, { service: "scan", input: { request } }, {
          key: "same",
        }),
      );
    await scan("box_1", "first");
    await cluster.clock.advance(1000);
    const second = await scan("box_2", "second");
    expect(second).toMatchObject({ outcome: { kind: "not-run" } });
    expect(cluster.summary().startedJobs).toBe(1);
  });

  test("is rejected for a long job, with the name of the field", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    const store = (request: string) =>
      cluster.run(
        cluster.submit("box_1", { service: "rebuild", input: { request } }, {
          key: "same",
        }),
      );
    await store("first");
    await expect(store("second")).rejects.toMatchObject({
      _tag: "BadRequestError",
      field: "Idempotency-Key",
    });
  });
});

describe("a job whose first attempt was stopped", () => {
  test("is not reported as not run when no second place is found", async () => {
    const cfg = TestUtils.buildDeployment({ workersPerRack: 1 });
    const cluster = new TestCluster({ cfg });
    await cluster.start();
    const pending = cluster.begin(cluster.submit("box_2", {
      service: "diagnose",
      input: { runMs: 60_000 },
      deadlineSeconds: 8,
    }));
    await cluster.clock.advance(1000);
    const [held] = cluster.runLog.entries;
    const worker = cluster.workers.get("w0")!;
    worker.setLeaving(true);
    const fence = { cell: "cell", epoch: 1 };
    await cluster.run(worker.stop({ ...held, fence, checkpoint: false }));
    await cluster.clock.advance(20_000);
    expect(await pending.value).toMatchObject({ outcome: { kind: "unknown" } });
  });
});

describe("a worker restart", () => {
  test("is no proof that a long job did not run", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    const accepted = await cluster.run(
      cluster.submit("box_1", { service: "once", input: { runMs: 5000 } }),
    );
    await cluster.clock.advance(1000);
    for (const worker of cluster.workers.values()) worker.restart();
    const { record } = accepted as { record: Types.JobRecord };
    const ended = await cluster.run(
      cluster.box("box_1").entry.status(record.job.id, 40),
    );
    expect(ended.state).toBe(Types.JobState.Unknown);
    expect(cluster.summary().repeatedStarts).toEqual([]);
  });

  test("is no proof that a scan did not run", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    const pending = cluster.begin(
      cluster.submit("box_2", { service: "scan", input: { runMs: 5000 } }),
    );
    await cluster.clock.advance(1000);
    cluster.links.get("box_2")!.rule = () => Loss.Answer;
    for (const worker of cluster.workers.values()) worker.restart();
    await cluster.clock.advance(40_000);
    expect(await pending.value).toMatchObject({ outcome: { kind: "unknown" } });
    expect(cluster.summary().repeatedStarts).toEqual([]);
  });
});

describe("overload", () => {
  test("rejects the lowest tier first, with a time to retry after", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    const input = { runMs: 60_000 };
    for (let i = 0; i < 80; i++) {
      cluster.begin(cluster.submit("box_1", { service: "diagnose", input }));
    }
    await cluster.clock.advance(10);
    const batch = { service: "diagnose", tier: "batch", input };
    await expect(cluster.run(cluster.submit("box_1", batch))).rejects
      .toMatchObject({ _tag: "OverloadedError", retryAfterSeconds: 5 });
    const urgent = cluster.begin(
      cluster.submit("box_1", { service: "diagnose", input }),
    );
    await cluster.clock.advance(10);
    expect(urgent.isOver()).toBe(false);
  });
});

describe("a late message about a stored job", () => {
  test("does not run an ended job again", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    const accepted = await cluster.run(
      cluster.submit("box_1", { service: "once", input: { runMs: 100 } }),
    );
    const { record } = accepted as { record: Types.JobRecord };
    await cluster.run(cluster.box("box_1").entry.status(record.job.id, 40));
    const kind = Types.PeerKind.Enqueue as const;
    const { owners } = cluster.box("box_2");
    await cluster.run(
      Effect.ignore(owners.request("cell", { kind, cell: "cell" }, 1000)),
    );
    await cluster.clock.advance(10_000);
    expect(cluster.summary().repeatedStarts).toEqual([]);
  });
});
