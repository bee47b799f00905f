/** Checks what a box counts between two renewals, and what it tells operators. */
import type * as Admission from "@cairngate/admission";
import * as TestUtils from "@cairngate/test-utils";
import type * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as memory from "./memory_admission.ts";

const BOXES = 9;
/** Workflows of this test, of 180 KB each, that fit into the limit. */
const FITTING = 100;
const LIMIT_BYTES = 18_000_000;

function buildSpec(): Workflow.WorkflowSpec {
  const [policy] = TestUtils.buildAccess().queues;
  return {
    id: "a000000000000001",
    tenant: "hana",
    policy,
    payload: "",
    steps: [TestUtils.buildStep({ count: 500 })],
    schedule: null,
    acceptedAtMs: 0,
  };
}

/** A box that learns of the use of memory when the test says so. */
class Box {
  readonly clock = new TestUtils.FakeClock();
  readonly log = new TestUtils.RecordingLog();
  known: Admission.KnownMemoryUse = { use: null, notedAtMs: 0 };
  readonly admission = new memory.MemoryAdmission({
    clock: this.clock,
    log: this.log,
    limitBytes: LIMIT_BYTES,
    knownUse: () => this.known,
    countBoxes: () => BOXES,
  });

  /** Takes in a renewal, which counts all that this box has accepted. */
  noteRenewal(heldShare = 0): void {
    const use = heldShare === 0 ? null : { heldShare, freedShare: 0 };
    this.known = { use, notedAtMs: this.clock.monotonicMs() };
  }

  /** Submits workflows until one is rejected; returns how many were accepted. */
  fill(): number {
    for (let accepted = 0; accepted < 10 * FITTING; accepted++) {
      const spec = buildSpec();
      if (this.admission.findWaitMs(spec) !== null) return accepted;
      this.admission.noteAccepted(spec);
    }
    return Number.POSITIVE_INFINITY;
  }
}

vitest.describe("admission by memory", () => {
  vitest.it("counts what it has accepted since the last renewals", async () => {
    const box = new Box();
    box.noteRenewal();
    const first = box.fill();
    vitest.expect(first).toBeGreaterThan(0);
    vitest.expect(first).toBeLessThan(FITTING);
    // This renewal may have been sent before the coordinator knew of them.
    await box.clock.advance(100);
    box.noteRenewal();
    vitest.expect(box.fill()).toBe(0);
    await box.clock.advance(100);
    box.noteRenewal();
    vitest.expect(box.fill()).toBe(first);
  });

  vitest.it("accepts less while there is no coordinator", async () => {
    const box = new Box();
    box.noteRenewal();
    const calm = box.fill();
    const other = new Box();
    other.noteRenewal();
    await other.clock.advance(4000);
    const alone = other.fill();
    vitest.expect(alone).toBeGreaterThan(0);
    vitest.expect(alone).toBeLessThanOrEqual(Math.ceil(calm / BOXES));
  });

  vitest.it("logs once that it rejects, and once that it accepts", async () => {
    const box = new Box();
    box.noteRenewal(0.95);
    for (let i = 0; i < 5; i++) box.admission.findWaitMs(buildSpec());
    vitest.expect(box.log.messages).toEqual([
      "Workflows are rejected: accepted ones take 95% of the 18 MB that the " +
      "coordinator may use for them.",
    ]);
    await box.clock.advance(20_000);
    box.noteRenewal();
    vitest.expect(box.admission.findWaitMs(buildSpec())).toBeNull();
    vitest.expect(box.log.messages.slice(1)).toEqual([
      "Workflows are accepted again after 5 rejections for lack of memory.",
    ]);
  });
});
