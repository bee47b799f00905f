/**
 * Conclusions from the ends of a gang's other members. A task ran twice at the same
 * time because one member that ended as broken was taken as proof that all had
 * ended.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";
import * as brokenGangRuns from "./broken_gang_runs.ts";
import type * as tasks from "./task.ts";
import * as workflows from "./workflow.ts";

const BROKEN_AT_MS = 1000;

/** A gang of three in its first run. */
function startGang(): readonly tasks.Task[] {
  const workflow = new workflows.Workflow({
    id: "w",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps: [TestUtils.buildStep({ count: 3, gang: true })],
    schedule: null,
    acceptedAtMs: 0,
  });
  const members = [...workflow.tasks];
  members.forEach((member, i) => member.place(`i-${i}`, 1, 0));
  return members;
}

/** Whether the first member must have ended first, given which others broke. */
function hasFirstEnded(
  broken: readonly number[],
  stoppingSinceMs: number | null = null,
): boolean {
  const [first, ...others] = startGang();
  const brokenRuns = new brokenGangRuns.BrokenGangRuns();
  for (const index of broken) brokenRuns.add(others[index], BROKEN_AT_MS);
  return brokenRuns.hasEndedFirst(first, others, stoppingSinceMs);
}

vitest.describe("a gang member on an unreachable endpoint", () => {
  vitest.it("ended first if all others broke", () => {
    vitest.expect(hasFirstEnded([0, 1])).toBe(true);
  });

  vitest.it("may still run if only one other broke", () => {
    vitest.expect(hasFirstEnded([0])).toBe(false);
  });

  vitest.it("may still run while no other broke", () => {
    vitest.expect(hasFirstEnded([])).toBe(false);
  });

  vitest.it("may be stopping if it was ordered to stop before", () => {
    vitest.expect(hasFirstEnded([0, 1], BROKEN_AT_MS - 1)).toBe(false);
    vitest.expect(hasFirstEnded([0, 1], BROKEN_AT_MS + 1)).toBe(true);
  });

  vitest.it("may still run if another one was ordered to stop before", () => {
    const [first, second, third] = startGang();
    const brokenRuns = new brokenGangRuns.BrokenGangRuns();
    brokenRuns.add(third, BROKEN_AT_MS);
    brokenRuns.add(second, BROKEN_AT_MS + 100, BROKEN_AT_MS - 1);
    vitest.expect(brokenRuns.hasEndedFirst(first, [second, third], null)).toBe(
      false,
    );
  });

  vitest.it(
    "is not implied to have ended by an earlier run of its gang",
    () => {
      const [first, ...others] = startGang();
      const brokenRuns = new brokenGangRuns.BrokenGangRuns();
      for (const other of others) brokenRuns.add(other, BROKEN_AT_MS);
      for (const member of [first, ...others]) member.place("i-9", 2, 0);
      vitest.expect(brokenRuns.hasEndedFirst(first, others, null)).toBe(false);
    },
  );
});
