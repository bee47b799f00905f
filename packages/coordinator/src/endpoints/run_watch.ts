/** Watches running tasks: slow ones begin again, leaving workers are emptied. */
import * as Workflow from "@cairngate/workflow";
import * as leavingRuns from "./leaving_runs.ts";
import type * as occupants from "../sessions/occupant.ts";
import type * as ports from "../ports.ts";
import type * as controls from "../work/run_control.ts";
import type * as paces from "../sessions/run_pace.ts";
import * as stragglers from "./straggler_watch.ts";
import type * as directories from "./endpoint_directory.ts";

/** A run this old tells the speed of its worker. */
const MIN_COMPARED_AGE_MS = 1000;
/** Runs of a step that are needed for a comparison. */
const MIN_COMPARED_RUNS = 3;

/** Looks at all runs from time to time. */
export class RunWatch {
  readonly #ports: ports.CoordinatorPorts;
  readonly #directory: directories.EndpointDirectory;
  readonly #control: controls.RunControl;

  constructor(
    coordinatorPorts: ports.CoordinatorPorts,
    directory: directories.EndpointDirectory,
    control: controls.RunControl,
  ) {
    this.#ports = coordinatorPorts;
    this.#directory = directory;
    this.#control = control;
  }

  /** One look. */
  look(): void {
    const occupants = this.#occupantsInProgress();
    const nowMs = this.#ports.clock.monotonicMs();
    for (const { occupant, pace, worker } of occupants) {
      occupant.wasCold ||= this.#directory.times.isCold(worker);
      this.#directory.session(worker)?.health.noteRunning(
        nowMs,
        pace.watchedMs,
      );
    }
    // A cold endpoint is slow for a while, whatever runs there.
    this.#compareSpeeds(occupants.filter(({ occupant }) => !occupant.wasCold));
    const isWarm = ({ worker }: WatchedRun) =>
      !this.#directory.times.isCold(worker);
    this.#restartStragglers(occupants.filter(isWarm));
    this.#moveLeavingRuns(occupants.map((one) => this.#progressOf(one)));
    this.#directory.closeUnlisted();
  }

  #compareSpeeds(watched: readonly WatchedRun[]): void {
    const steps = new Map<readonly Workflow.Task[], WatchedRun[]>();
    for (const one of watched) {
      if (one.pace.watchedMs < MIN_COMPARED_AGE_MS) continue;
      const { task } = one.occupant;
      const siblings = task.workflow.siblings(task);
      const group = steps.get(siblings);
      if (group === undefined) steps.set(siblings, [one]);
      else group.push(one);
    }
    for (const runs of steps.values()) {
      const rates = runs.map(({ pace }) => pace.came / pace.watchedMs);
      const fresh = runs.flatMap(({ occupant, worker }, i) =>
        occupant.compared ? [] : [{ worker, rate: rates[i] }]
      );
      this.#directory.speeds.compare(rates, fresh);
      const { task } = runs[0].occupant;
      const siblings = task.workflow.siblings(task);
      if (runs.length < Math.min(MIN_COMPARED_RUNS, siblings.length)) continue;
      this.#directory.speedLearner.noteRunning(
        runs.map(({ occupant, worker }, i) => ({
          task: occupant.task,
          run: { worker, rate: rates[i] },
          isFresh: !occupant.compared,
        })),
      );
      for (const { occupant } of runs) occupant.compared = true;
    }
  }

  #restartStragglers(
    occupants: readonly WatchedRun[],
  ): void {
    const { clock, log, metrics } = this.#ports;
    const nowMs = clock.monotonicMs();
    const runs = occupants.map((one) => this.#progressOf(one));
    const found = stragglers.findStragglers(runs);
    for (const { occupant } of occupants) {
      const isSlow = found.slow.has(occupant.task);
      occupant.slowSinceMs = isSlow ? occupant.slowSinceMs ?? nowMs : null;
    }
    for (const id of found.workers) {
      this.#directory.session(id)?.health.noteSlow(nowMs);
    }
    for (const task of found.restart) {
      if (task.hasFewStarts) continue;
      log.info(`Run ${task.run} of ${task.name} is slow; it starts again.`);
      metrics.count("cairngate_stragglers_total");
      task.slowRuns++;
      this.#control.stop(task);
    }
  }

  #moveLeavingRuns(runs: readonly stragglers.RunProgress[]): void {
    const { log, metrics } = this.#ports;
    const leaving = runs.flatMap((run) => {
      const leavesInMs = this.#directory.times.leavesInMs(run.worker);
      return leavesInMs === null ? [] : [{ ...run, leavesInMs }];
    });
    for (const task of leavingRuns.findRunsToMove(leaving)) {
      if (task.state !== Workflow.TaskState.Running) continue;
      log.info(`Run ${task.run} of ${task.name} moves; its worker leaves.`);
      metrics.count("cairngate_evacuated_total");
      this.#control.stop(task);
    }
  }

  #occupantsInProgress(): WatchedRun[] {
    return [...this.#directory.sessions].flatMap((session) =>
      session.occupants.flatMap((occupant) => {
        const { task, run, pace } = occupant;
        const isRunning = task.state === Workflow.TaskState.Running &&
          task.run === run;
        if (!isRunning || pace === null) return [];
        return [{ occupant, pace, worker: session.ref.id }];
      })
    );
  }

  #progressOf(watched: WatchedRun): stragglers.RunProgress {
    const { occupant: { task, slowSinceMs }, pace, worker } = watched;
    const nowMs = this.#ports.clock.monotonicMs();
    return {
      task,
      worker,
      ranMs: pace.watchedMs,
      speed: this.#directory.comparisonSpeed(worker),
      percent: pace.percent,
      progressPercent: pace.came,
      recentRate: pace.recentRate,
      earlierRate: pace.earlierRate,
      slowForMs: slowSinceMs === null ? 0 : nowMs - slowSinceMs,
    };
  }
}

/** A run that has been looked at. */
interface WatchedRun {
  readonly occupant: occupants.Occupant;
  readonly pace: paces.RunPace;
  readonly worker: string;
}
