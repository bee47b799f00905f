/**
 * What the ends of a gang's other members show. A task ran twice at once because one
 * member that had ended as broken stood for the ends of all.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";
import * as gangBreaks from "./gang_breaks.ts";
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

/** Whether the first member must have ended first, by what is known. */
function isFirstEnd(
  broken: readonly number[],
  stoppingSinceMs: number | null = null,
): boolean {
  const [first, ...others] = startGang();
  const breaks = new gangBreaks.GangBreaks();
  for (const place of broken) breaks.note(others[place], BROKEN_AT_MS);
  return breaks.isFirstEnd(first, others, stoppingSinceMs);
}

vitest.describe("a member that is not heard", () => {
  vitest.it("ended first where all others broke", () => {
    vitest.expect(isFirstEnd([0, 1])).toBe(true);
  });

  vitest.it("may run on where one other broke", () => {
    vitest.expect(isFirstEnd([0])).toBe(false);
  });

  vitest.it("may run on while no other broke", () => {
    vitest.expect(isFirstEnd([])).toBe(false);
  });

  vitest.it("may be stopping where it was told so before", () => {
    vitest.expect(isFirstEnd([0, 1], BROKEN_AT_MS - 1)).toBe(false);
    vitest.expect(isFirstEnd([0, 1], BROKEN_AT_MS + 1)).toBe(true);
  });

  vitest.it("may run on where another one was told to stop before", () => {
    const [first, second, third] = startGang();
    const breaks = new gangBreaks.GangBreaks();
    breaks.note(third, BROKEN_AT_MS);
    breaks.note(second, BROKEN_AT_MS + 100, BROKEN_AT_MS - 1);
    vitest.expect(breaks.isFirstEnd(first, [second, third], null)).toBe(false);
  });

  vitest.it("is not shown by an earlier run of its gang", () => {
    const [first, ...others] = startGang();
    const breaks = new gangBreaks.GangBreaks();
    for (const other of others) breaks.note(other, BROKEN_AT_MS);
    for (const member of [first, ...others]) member.place("i-9", 2, 0);
    vitest.expect(breaks.isFirstEnd(first, others, null)).toBe(false);
  });
});
