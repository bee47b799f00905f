/** Births of the lives that hold runs, in the record and over an upgrade by turns. */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";
import * as budgets from "./restart_budget.ts";
import * as records from "./progress_record.ts";
import * as workflows from "./workflow.ts";

function build(): workflows.Workflow {
  return new workflows.Workflow({
    id: "w",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps: [TestUtils.buildStep({ count: 3 })],
    schedule: null,
    acceptedAtMs: 0,
  });
}

/** The record as the store gives it back. */
function keep(workflow: workflows.Workflow): records.ProgressRecord {
  return JSON.parse(JSON.stringify(records.toProgress(workflow)));
}

function read(record: records.ProgressRecord): workflows.Workflow {
  const workflow = build();
  records.applyProgress(workflow, record);
  return workflow;
}

/** Where the tasks are placed. */
function livesOf(workflow: workflows.Workflow) {
  return [...workflow.tasks].map(({ worker, bornMs }) => [worker, bornMs]);
}

vitest.describe("the record of a workflow", () => {
  vitest.it("tells lives of one endpoint apart", () => {
    const workflow = build();
    const [first, second, third] = workflow.tasks;
    first.place("i-1", 1, 0, 1000);
    second.place("i-1", 1, 0, 2000);
    third.place("i-2", 1, 0);
    vitest.expect(livesOf(read(keep(workflow))))
      .toEqual([["i-1", 1000], ["i-1", 2000], ["i-2", null]]);
  });

  vitest.it("keeps the life of a run that was given up", () => {
    const workflow = build();
    const [task] = workflow.tasks;
    const presence = budgets.Presence.Certain;
    workflow.suspectGone({ task, run: 1, worker: "i-1", bornMs: 7, presence });
    const [end] = read(keep(workflow)).openEnds.all;
    vitest.expect(end)
      .toMatchObject({ worker: "i-1", bornMs: 7, isGone: true, presence });
    vitest.expect(read(keep(workflow)).task("0.0.0")?.goneRuns).toBe(1);
  });

  vitest.it("of an earlier version names lives that are not known", () => {
    const workflow = build();
    for (const task of workflow.tasks) task.place("i-1", 1, 0, 1000);
    const { births, ...earlier } = keep(workflow);
    vitest.expect(births).toEqual([1000]);
    vitest.expect(livesOf(read(earlier)))
      .toEqual([["i-1", null], ["i-1", null], ["i-1", null]]);
  });

  vitest.it("names endpoints as an earlier version looks for them", () => {
    const workflow = build();
    for (const task of workflow.tasks) task.place("i-1", 1, 0, 1000);
    vitest.expect(keep(workflow).workers).toEqual(["i-1"]);
    const plain = build();
    for (const task of plain.tasks) task.place("i-1", 1, 0);
    vitest.expect("births" in keep(plain)).toBe(false);
  });

  /**
   * A takeover lost the address of an endpoint whose entry had lapsed, so nobody could
   * ask who is there now, and the crash of a task in doubt stayed a doubt for good. The
   * evidence: a random play (rebirths, seed 150).
   */
  vitest.it("keeps the address of a life that may end under a task", () => {
    const workflow = build();
    const [calm, suspect, gone] = workflow.tasks;
    const presence = budgets.Presence.Certain;
    calm.place("i-1", 1, 0, 1000, "10.0.0.1:80");
    suspect.crashes = { laid: 1, excused: 0, presence, unseen: 0 };
    suspect.place("i-2", 1, 0, null, "10.0.0.2:80");
    const end = { task: gone, run: 1, worker: "i-3", bornMs: null, presence };
    workflow.suspectGone({ ...end, address: "10.0.0.3:80" });
    const next = read(keep(workflow));
    vitest.expect([...next.tasks].map(({ address }) => address))
      .toEqual([null, "10.0.0.2:80", null]);
    vitest.expect(next.openEnds.all)
      .toMatchObject([{ worker: "i-3", bornMs: null, address: "10.0.0.3:80" }]);
  });
});
