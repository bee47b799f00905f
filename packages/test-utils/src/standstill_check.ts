/**
 * Checks for work that could run but does not: a task or a gang whose turn has come
 * fits into the free accelerators of running endpoints, and nothing of its workflow
 * runs. Uses only the state of the endpoints and what they run and report, never the
 * state of the coordinator.
 */
import type * as StandIns from "@cairngate/stand-ins";
import * as Workflow from "@cairngate/workflow";
import * as runnableWork from "./runnable_work.ts";
import type * as fleets from "./test_fleet.ts";

/** Longest time that users accept idle work while there is capacity, in ms. */
const MAX_IDLE_MS = 3000;
/**
 * Time that a box needs to detect the last faults, in ms, which may have occurred just
 * before: a coordinator that is gone (2 s), or an endpoint whose lease has to expire.
 */
const DETECTION_MS = 9000;
/** Crashes of its endpoints after which no further start of a task is required. */
const MAX_CRASHES = 3;

/** Checks the work of one simulation once its faults are over. */
export class StandstillCheck {
  readonly #fleet: fleets.TestFleet;
  /** Time since which each idle workflow could run without interruption. */
  readonly #idleSinceMs = new Map<string, number>();
  readonly #violations = new Set<string>();

  constructor(fleet: fleets.TestFleet) {
    this.#fleet = fleet;
  }

  /** Checks the workflows once; to be called repeatedly while the clock advances. */
  check(accepted: readonly string[]): void {
    this.#fleet.workers.update();
    const nowMs = this.#fleet.clock.monotonicMs();
    const runnable = new Set(this.#findRunnable(accepted));
    for (const id of accepted) {
      if (!runnable.has(id)) {
        this.#idleSinceMs.delete(id);
        continue;
      }
      const sinceMs = this.#idleSinceMs.get(id) ?? nowMs;
      this.#idleSinceMs.set(id, sinceMs);
      if (nowMs - sinceMs <= MAX_IDLE_MS + DETECTION_MS) continue;
      this.#violations.add(`${id} could run but does not`);
    }
  }

  /** Descriptions of the workflows that were idle for too long. */
  get violations(): string[] {
    return [...this.#violations];
  }

  /**
   * Returns the idle workflows that could run. While half of the accelerators or more
   * are in use, free ones may be reserved for a waiting gang that does not fit yet.
   */
  #findRunnable(accepted: readonly string[]): readonly string[] {
    const free = this.#listFreeAccelerators();
    const idle = accepted.filter((id) => this.#isIdle(id));
    const runnable = idle.filter((id) => this.#couldRun(id, free));
    const mayReserve = runnable.length < idle.length;
    return mayReserve && !this.#isHalfFree(free) ? [] : runnable;
  }

  /** Whether less than half of the running accelerators are in use. */
  #isHalfFree(free: readonly number[]): boolean {
    const { running } = this.#fleet.workers;
    const total = running.reduce((sum, one) => sum + one.accelerators, 0);
    return free.reduce((sum, each) => sum + each, 0) * 2 > total;
  }

  /** Free accelerators of each running endpoint. */
  #listFreeAccelerators(): readonly number[] {
    const { workers } = this.#fleet;
    const occupied = workers.runs.filter(({ endedAtMs }) => endedAtMs === null);
    return workers.running.map(({ id, accelerators }) =>
      accelerators - occupied.filter(({ worker }) => worker === id).length
    );
  }

  #couldRun(id: string, free: readonly number[]): boolean {
    const steps = this.#fleet.stepsOf(id);
    return runnableWork.couldRun({ id, steps, runs: this.#runsOf(id) }, free);
  }

  #isIdle(id: string): boolean {
    const state = this.#fleet.state(id);
    if (state !== null && Workflow.isFinal(state)) return false;
    const runs = this.#runsOf(id);
    const isGivenUp = maxPerTask(runs, "crashed") >= MAX_CRASHES;
    return !isGivenUp && runs.every(({ endedAtMs }) => endedAtMs !== null);
  }

  #runsOf(id: string): readonly StandIns.TaskRunRecord[] {
    return this.#fleet.workers.runs.filter(({ task }) =>
      task.startsWith(`${id}.`)
    );
  }
}

/** Highest number of ends of a kind that a task has. */
function maxPerTask(
  runs: readonly StandIns.TaskRunRecord[],
  kind: string,
): number {
  const counts = new Map<string, number>();
  for (const { task, how } of runs) {
    if (how === kind) counts.set(task, (counts.get(task) ?? 0) + 1);
  }
  return Math.max(0, ...counts.values());
}
