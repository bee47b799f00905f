/** Guards against starts beyond the attempts when a gang's failure is reported late. */
import * as StandIns from "@cairngate/stand-ins";
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "f000000000000001";
const [FAILING, ...OTHERS] = [0, 1, 2].map((i) => `${ID}.0.0.${i}`);
/** Time from the start of a run to its failure, in ms. */
const FAILURE_DELAY_MS = 40;
/** Time in which a gang that may start again does so, in ms. */
const RESTART_MS = 2500;
/** Time in which another box takes over and polls the endpoints, in ms. */
const TAKEOVER_MS = 5000;
/** Time after a start that is within its lease of 6 s, in ms. */
const WITHIN_LEASE_MS = 5500;
/** Longest lease and the time to detect its end, in ms. */
const LEASE_EXPIRY_MS = 7000;

/** A gang of three whose first member fails in every run. */
class FailingGang {
  readonly fleet: TestUtils.TestFleet;
  /** Endpoint that does not answer; null if all answer. */
  #silent: string | null = null;

  constructor(attempts: number) {
    this.fleet = new TestUtils.TestFleet({
      workers: Array.from({ length: 9 }, () => 1),
      config: TestUtils.buildAccessWithAttempts(attempts),
    });
    this.fleet.workers.decideOutcome = (endpoint) =>
      endpoint === this.#silent
        ? StandIns.OrderOutcome.Lost
        : StandIns.OrderOutcome.Delivered;
    this.fleet.workers.behave = (task) =>
      task === FAILING
        ? { runMs: FAILURE_DELAY_MS, fails: true }
        : { runMs: 1e6, fails: false };
  }

  /** Number of runs started so far. */
  get runCount(): number {
    return this.fleet.workers.runsOf(FAILING).length;
  }

  async start(): Promise<void> {
    await this.fleet.start();
    const steps = [TestUtils.buildStep({ count: 3, gang: true })];
    await this.fleet.submit("node-1", ID, { steps });
  }

  /** Waits for a run to fail, and ends its other members as broken. */
  async failRun(run: number): Promise<void> {
    const { fleet } = this;
    const hasFailed = () => {
      fleet.workers.update();
      return fleet.workers.runsOf(FAILING)[run - 1]?.how === "failed";
    };
    vitest.expect(await fleet.until(hasFailed)).toBe(true);
    for (const other of OTHERS) fleet.workers.endNow(other, "broken");
  }

  /** Fails a run while the endpoint of its failing member does not answer. */
  async failRunSilently(run: number): Promise<void> {
    const { fleet } = this;
    const hasStarted = () => this.runCount === run;
    vitest.expect(await fleet.until(hasStarted)).toBe(true);
    this.#silent = fleet.workers.runsOf(FAILING)[run - 1].worker;
    await this.failRun(run);
  }

  /** Fails as many runs as allowed, the first one on a silent endpoint. */
  async useUpAttempts(attempts: number): Promise<void> {
    await this.failRunSilently(1);
    for (let run = 2; run <= attempts; run++) await this.failRun(run);
  }

  /** Endpoint that does not answer. */
  get silentEndpoint(): string {
    if (this.#silent === null) throw new RangeError("all endpoints answer");
    return this.#silent;
  }

  /** Lets the silent endpoint answer again. */
  endSilence(): void {
    this.#silent = null;
  }
}

vitest.describe("a gang with a run of unknown outcome", () => {
  for (const [attempts, silentRun] of [[2, 1], [3, 1], [3, 2]] as const) {
    vitest.it(
      `does not start beyond ${attempts} attempts if run ${silentRun} ` +
        `turns out to have failed`,
      async () => {
        const gang = new FailingGang(attempts);
        await gang.start();
        for (let run = 1; run <= attempts; run++) {
          if (run === silentRun) await gang.failRunSilently(run);
          else await gang.failRun(run);
        }
        await gang.fleet.clock.advance(RESTART_MS);
        gang.endSilence();
        await gang.fleet.clock.advance(RESTART_MS);
        vitest.expect(gang.runCount).toBe(attempts);
        vitest.expect(gang.fleet.state(ID)).toBe(Workflow.WorkflowState.Failed);
        await gang.fleet.stop();
      },
    );
  }

  vitest.it("does not start beyond its attempts after a takeover", async () => {
    const gang = new FailingGang(2);
    await gang.start();
    await gang.useUpAttempts(2);
    const former = gang.fleet.coordinator() ?? "";
    await gang.fleet.kill(former);
    const hasTakenOver = () => gang.fleet.coordinator() !== former;
    vitest.expect(await gang.fleet.until(hasTakenOver)).toBe(true);
    await gang.fleet.clock.advance(RESTART_MS);
    gang.endSilence();
    await gang.fleet.clock.advance(RESTART_MS);
    vitest.expect(gang.runCount).toBe(2);
    vitest.expect(gang.fleet.state(ID)).toBe(Workflow.WorkflowState.Failed);
    await gang.fleet.stop();
  });

  vitest.it(
    "does not start beyond its attempts if its endpoint is unlisted",
    async () => {
      const gang = new FailingGang(2);
      const { fleet } = gang;
      await gang.start();
      await gang.failRunSilently(1);
      const id = gang.silentEndpoint;
      fleet.unlist(id);
      await gang.failRun(2);
      const [first] = fleet.workers.runsOf(FAILING);
      const elapsedMs = fleet.clock.monotonicMs() - first.startedAtMs;
      await fleet.clock.advance(WITHIN_LEASE_MS - elapsedMs);
      fleet.list({ id, accelerators: 1 }, fleet.indexOf(id));
      gang.endSilence();
      await fleet.clock.advance(RESTART_MS);
      vitest.expect(gang.runCount).toBe(2);
      vitest.expect(fleet.state(ID)).toBe(Workflow.WorkflowState.Failed);
      await fleet.stop();
    },
  );

  vitest.it(
    "does not start beyond its attempts while other records are unread",
    async () => {
      const gang = new FailingGang(2);
      const { fleet } = gang;
      await gang.start();
      await gang.useUpAttempts(2);
      await fleet.kill(fleet.coordinator() ?? "");
      const home = TableClient.Keys.homePartition(ID);
      const others = TableClient.Keys.PARTITIONS.filter((one) => one !== home);
      const [unread] = others;
      const setDown = (downPartitions: readonly string[]) => {
        for (const name of fleet.boxes.keys()) {
          fleet.faultsOf(name).set({ downPartitions });
        }
      };
      setDown([home, unread]);
      gang.endSilence();
      // The next coordinator gets the report of the run before its record.
      await fleet.clock.advance(TAKEOVER_MS);
      setDown([unread]);
      await fleet.clock.advance(RESTART_MS);
      setDown([]);
      await fleet.clock.advance(RESTART_MS);
      vitest.expect(gang.runCount).toBe(2);
      vitest.expect(fleet.state(ID)).toBe(Workflow.WorkflowState.Failed);
      await fleet.stop();
    },
  );

  vitest.it("starts again when the lease of that run expires", async () => {
    const gang = new FailingGang(2);
    await gang.start();
    await gang.useUpAttempts(2);
    const hasRestarted = () => gang.runCount === 3;
    vitest.expect(await gang.fleet.until(hasRestarted, LEASE_EXPIRY_MS)).toBe(
      true,
    );
    await gang.fleet.stop();
  });

  vitest.it("starts again when that run turns out to be lost", async () => {
    const gang = new FailingGang(2);
    gang.fleet.restartDelayMs = 100;
    await gang.start();
    await gang.useUpAttempts(2);
    gang.fleet.workers.crash(gang.silentEndpoint);
    gang.endSilence();
    const hasRestarted = () => gang.runCount === 3;
    vitest.expect(await gang.fleet.until(hasRestarted, RESTART_MS)).toBe(true);
    await gang.fleet.stop();
  });

  vitest.it("starts again when the endpoint of that run leaves", async () => {
    const gang = new FailingGang(2);
    const { fleet } = gang;
    await gang.start();
    await gang.failRunSilently(1);
    const id = gang.silentEndpoint;
    fleet.list({ id, accelerators: 1 }, fleet.indexOf(id), { draining: true });
    await gang.failRun(2);
    fleet.unlist(id);
    const hasRestarted = () => gang.runCount === 3;
    vitest.expect(await fleet.until(hasRestarted, LEASE_EXPIRY_MS)).toBe(true);
    await fleet.stop();
  });
});
