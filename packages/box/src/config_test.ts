import * as Config from "@cairngate/config";
import * as TestUtils from "@cairngate/test-utils";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const { describe, expect, test } = vitest;
const { TestCluster } = TestUtils;

/** A version has to be in force on every box within this time. */
const MAX_PROPAGATION_MS = 3000;

function createText(cluster: TestUtils.TestCluster, mark: string): string {
  return `${cluster.box("box_1").configs.current!.text}# ${mark}\n`;
}

describe("two concurrent applies", () => {
  test("one succeeds, the other fails with the version in force", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    // The delay lets both read the same version before either writes.
    cluster.faults.set({ delayMs: 100 });
    const applies = ["box_1", "box_2"].map((name) =>
      cluster.begin(Effect.result(
        cluster.box(name).configs.apply({
          text: createText(cluster, name),
          basedOn: 1,
          applyId: name,
        }),
      ))
    );
    await cluster.clock.advance(5000);
    const results = await Promise.all(applies.map((apply) => apply.value));
    const lost = results.filter((r) => r._tag === "Failure");
    expect(results.filter((r) => r._tag === "Success")).toHaveLength(1);
    expect(lost).toHaveLength(1);
    expect(lost[0]).toMatchObject({
      failure: { _tag: "VersionConflictError", basedOn: 1, inForce: 2 },
    });
  });
});

describe("an applied file", () => {
  test("is in force on every box within 3 s", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    const startMs = cluster.clock.wallMs();
    await cluster.run(
      cluster.box("box_2").configs.apply({
        text: createText(cluster, "next"),
        basedOn: 1,
        applyId: "next",
      }),
    );
    const isEverywhere = () =>
      [...cluster.boxes.values()].every((b) =>
        b.configs.current?.version === 2
      );
    await cluster.clock.advanceUntil(isEverywhere, MAX_PROPAGATION_MS);
    expect(isEverywhere()).toBe(true);
    expect(cluster.clock.wallMs() - startMs).toBeLessThanOrEqual(
      MAX_PROPAGATION_MS,
    );
  });

  test("takes effect although the store's answer was lost", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    cluster.faults.set({ loseAnswers: 1 });
    const request = {
      text: createText(cluster, "x"),
      basedOn: 1,
      applyId: "x",
    };
    const applied = await cluster.run(
      cluster.box("box_1").configs.apply(request),
    );
    expect(applied).toMatchObject({ version: 2, changed: true });
    cluster.faults.set({ loseAnswers: 0 });
    const again = await cluster.run(
      cluster.box("box_3").configs.apply(request),
    );
    expect(again).toMatchObject({ version: 2, changed: false });
  });

  test("is never replaced by an older one", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    const old = cluster.box("box_1").configs.current!;
    await cluster.run(
      cluster.box("box_1").configs.apply({
        text: createText(cluster, "new"),
        basedOn: 1,
        applyId: "new",
      }),
    );
    await cluster.run(cluster.box("box_1").configs.adopt(old));
    expect(cluster.box("box_1").configs.current?.version).toBe(2);
  });

  test("is fetched from a peer by a box starting in a store outage", async () => {
    const cluster = new TestCluster();
    await cluster.start();
    await cluster.kill("box_3");
    cluster.faults.set({ down: true });
    await cluster.restart("box_3");
    expect(cluster.box("box_3").isReady).toBe(false);
    await cluster.clock.advance(3000);
    expect(cluster.box("box_3").isReady).toBe(true);
    expect(cluster.box("box_3").configs.current?.version).toBe(1);
  });
});

describe("a file that removes a rack", () => {
  test("moves the work of that rack and does not disturb the other", async () => {
    const cfg = TestUtils.buildDeployment({ racks: 2, workersPerRack: 1 });
    const cluster = new TestCluster({ cfg });
    await cluster.start();
    const ids: string[] = [];
    for (let i = 0; i < 2; i++) {
      const accepted = await cluster.run(cluster.submit("box_1", {
        service: "rebuild",
        accelerators: 8,
        input: { runMs: 6000 },
      }));
      ids.push((accepted as { record: Types.JobRecord }).record.job.id);
    }
    await cluster.clock.advance(2000);
    const smaller = { ...cfg, racks: cfg.racks.slice(0, 1) };
    const cells = [{ name: "cell", racks: ["rack_0"] }];
    await cluster.run(
      cluster.box("box_2").configs.apply({
        text: TestUtils.printDeployment({ ...smaller, cells }),
        basedOn: 1,
        applyId: "smaller",
      }),
    );
    for (const id of ids) {
      const ended = await cluster.run(
        cluster.box("box_3").entry.status(id, 50),
      );
      expect(ended.state).toBe(Types.JobState.Done);
    }
    const starts = cluster.runLog.entries.filter((e) => e.event === "started");
    expect(starts.map((e) => e.worker).sort()).toEqual(["w0", "w0", "w1"]);
  });
});

describe("an invalid file", () => {
  test("is rejected with the path of every fault", async () => {
    const text = "name: x\nweighting: {completionTime: 2, fragmentation: 0}\n" +
      "racks: []\ncells: []\nteams: []\nservices: []\nspare: 1\n";
    const parsed = await Effect.runPromise(
      Effect.result(Config.parseDeployment(text)),
    );
    expect(parsed._tag).toBe("Failure");
    const failure = parsed._tag === "Failure" ? parsed.failure : null;
    const paths = failure!.faults.map((fault) => fault.path);
    expect(paths).toContain("$.spare");
    expect(paths).toContain("$.weighting.completionTime");
    expect(paths).toContain("$.racks");
    expect(paths.length).toBeGreaterThanOrEqual(6);
  });
});
