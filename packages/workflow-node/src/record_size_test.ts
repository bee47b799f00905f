/**
 * The record of a workflow fits into one row of the store, even if very many of its
 * runs were on endpoints that neither answer nor are listed.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

/** Maximum size of one row's value in the users' stores, in bytes. */
const ROW_BYTES = 65_536;
/** Characters that such a row holds in the platform's encoding. */
const ENCODED_CHARACTERS = 49_152;
/** Tasks of the workflow; at most 500 of them run at once. */
const TASKS = 2000;
/** Maximum number of concurrent tasks of one workflow. */
const MAX_CONCURRENT_TASKS = 500;
/** Birth time of the first endpoint; each run is on another incarnation. */
const BORN_MS = 1_790_000_000_000;

vitest.describe("the record of a wide workflow", () => {
  vitest.it(
    "fits into a row after each task has lost its endpoint once",
    () => {
      const steps = [TestUtils.buildStep({ count: TASKS })];
      const workflow = new Workflow.Workflow({
        id: "a000000000000001",
        payload: "work",
        steps,
        schedule: null,
        policy: { attempts: 3, advice: null },
      } as unknown as Workflow.WorkflowSpec);
      let place = 0;
      for (const task of workflow.tasks) {
        const worker = `i-${String(place++).padStart(10, "0")}`;
        task.place(worker, 1, 0, BORN_MS + place);
        const lost = { run: 1, how: Workflow.RunEnd.Lost, checkpoint: "" };
        workflow.endRun(task, lost, 0);
        const presence = Workflow.Presence.Certain;
        const bornMs = BORN_MS + place;
        workflow.markRunGone({
          task,
          run: 1,
          endpoint: worker,
          bornMs,
          presence,
        });
        task.place("i-0", 2, 0, bornMs);
        const done = { run: 2, how: Workflow.RunEnd.Done, checkpoint: "" };
        if (place < TASKS) workflow.endRun(task, done, 0);
      }
      const record = Workflow.toProgressRecord(workflow);
      vitest.expect(JSON.stringify(record).length).toBeLessThan(ROW_BYTES);
    },
  );

  /** Measures the record after the endpoints of all running tasks have crashed. */
  function measureCrashes(tasks: number): {
    length: number;
    addresses: number;
  } {
    const steps = [TestUtils.buildStep({ count: tasks })];
    const workflow = new Workflow.Workflow({
      id: "a000000000000001",
      payload: "work",
      steps,
      schedule: null,
      policy: { attempts: 3, advice: null },
    } as unknown as Workflow.WorkflowSpec);
    let place = 0;
    for (const task of workflow.tasks) {
      const worker = `i-${String(place++).padStart(10, "0")}`;
      const address = `10.100.${100 + place % 100}.${100 + place % 90}:8080`;
      const bornMs = BORN_MS + place;
      task.crashes = { laid: 1, excused: 1, presence: 3, unseen: 1 };
      const presence = Workflow.Presence.Certain;
      const incarnation = { endpoint: worker, bornMs, address };
      workflow.markRunGone({ task, run: 1, ...incarnation, presence });
      task.place(worker, 2, 0, bornMs, address);
      task.confirmedRun = 2;
      task.confirmedEndsAtWallMs = bornMs;
    }
    const record = Workflow.toProgressRecord(workflow);
    const addresses = Object.keys(record.addresses ?? {}).length;
    return { length: JSON.stringify(record).length, addresses };
  }

  vitest.it("omits addresses that would not fit", () => {
    const wide = measureCrashes(MAX_CONCURRENT_TASKS);
    vitest.expect(wide.addresses).toBe(0);
    vitest.expect(wide.length).toBeLessThan(ENCODED_CHARACTERS);
    const narrow = measureCrashes(150);
    vitest.expect(narrow.addresses).toBe(150);
    vitest.expect(narrow.length).toBeLessThan(ENCODED_CHARACTERS);
  });
});
