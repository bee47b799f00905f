/**
 * Checks for work that could run but does not. Uses only the state of the endpoints and
 * what they run and report, never the state of the coordinator.
 */
import type * as StandIns from "@cairngate/stand-ins";
import * as Workflow from "@cairngate/workflow";
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
  /** Start of the idle time of each unfinished workflow without a run. */
  readonly #idleSinceMs = new Map<string, number>();
  readonly #violations = new Set<string>();

  constructor(fleet: fleets.TestFleet) {
    this.#fleet = fleet;
  }

  /** Checks the workflows once; to be called repeatedly while the clock advances. */
  check(accepted: readonly string[]): void {
    this.#fleet.workers.update();
    const nowMs = this.#fleet.clock.monotonicMs();
    const hasCapacity = this.#hasCapacity();
    for (const id of accepted) {
      if (!hasCapacity || !this.#isIdle(id)) {
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

  /** Whether less than half of the accelerators of the running endpoints are in use. */
  #hasCapacity(): boolean {
    const { workers } = this.#fleet;
    const aliveIds = new Set(workers.listRunning());
    const running = workers.runs.filter((run) =>
      run.endedAtMs === null && aliveIds.has(run.worker)
    );
    return running.length * 2 < workers.runningAccelerators;
  }

  #isIdle(id: string): boolean {
    const state = this.#fleet.state(id);
    if (state !== null && Workflow.isFinal(state)) return false;
    const runs = this.#fleet.workers.runs.filter(({ task }) =>
      task.startsWith(`${id}.`)
    );
    const isGivenUp = maxPerTask(runs, "crashed") >= MAX_CRASHES;
    return !isGivenUp && runs.every(({ endedAtMs }) => endedAtMs !== null);
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
