/** Rendering of the reasons why a workflow was given up. */
import * as vitest from "vitest";
import * as workflows from "./render_workflow.ts";

const ID = "5c0e7a21d94b36f8";
const RUN = {
  run: 3,
  endpoint: "i-1",
  how: "crashed",
  evidence: "seen",
  counted: "crash",
  sentence: "run 3 on i-1 ended as crashed: seen there.",
};
const GIVE_UP = {
  reason: "crashes",
  task: `${ID}.0.0.3`,
  run: 3,
  failures: 1,
  crashes: { laid: 3, excused: 1, unseen: 2 },
  runs: [RUN],
  isPartial: false,
};

vitest.describe("a rendered workflow", () => {
  vitest.it("shows each run for which it was given up", () => {
    const report = { id: ID, state: "failed", giveUp: GIVE_UP };
    vitest.expect(workflows.renderWorkflow(report)).toEqual([
      `Workflow ${ID} is failed.`,
      `It was given up for crashes of ${ID}.0.0.3, last with run 3: ` +
      "1 runs failed, 3 crashes are attributed to it, 1 are excused, and in " +
      "2 nothing proved that the run had started.",
      "  run 3 on i-1 ended as crashed: seen there.",
    ]);
  });

  vitest.it("shows that runs may be missing", () => {
    const giveUp = { ...GIVE_UP, isPartial: true };
    const report = { id: ID, state: "failed", giveUp };
    vitest.expect(workflows.renderWorkflow(report).at(-1))
      .toContain("More runs may have counted");
  });

  vitest.it("shows that an earlier version stored no runs", () => {
    const giveUp = { ...GIVE_UP, runs: null, isPartial: true };
    const report = { id: ID, state: "failed", giveUp };
    vitest.expect(workflows.renderWorkflow(report).slice(2)).toEqual([
      "  An earlier version gave it up and stored no list of runs; the logs " +
      "of that time may contain them.",
    ]);
  });

  vitest.it("is one line if it was not given up", () => {
    vitest.expect(
      workflows.renderWorkflow({ id: ID, state: "completed", giveUp: null }),
    ).toEqual([`Workflow ${ID} is completed; it was not given up.`]);
  });

  vitest.it("is found by the id of a task", () => {
    vitest.expect(workflows.workflowIdOf(`${ID}.0.1.17`)).toBe(ID);
    vitest.expect(workflows.workflowIdOf(ID)).toBe(ID);
  });
});
