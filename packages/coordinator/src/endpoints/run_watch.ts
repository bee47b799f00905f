/** Watches runs: restarts stragglers and moves runs off leaving endpoints. */
import * as Workflow from "@cairngate/workflow";
import * as leavingRuns from "./leaving_runs.ts";
import type * as occupants from "../sessions/occupant.ts";
import type * as ports from "../ports.ts";
import type * as controls from "../work/run_control.ts";
import type * as paces from "../sessions/run_pace.ts";
import * as stragglers from "./straggler_watch.ts";
import type * as directories from "./endpoint_directory.ts";

/** Age from which a run's rate counts for the speed of its endpoint, in ms. */
const MIN_COMPARED_AGE_MS = 1000;
/** Minimum number of runs of a step for a comparison. */
const MIN_COMPARED_RUNS = 3;

/** Checks all runs; called periodically. */
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

  /** Checks all runs once. */
  look(): void {
    const occupants = this.#occupantsInProgress();
    const nowMs = this.#ports.clock.monotonicMs();
    for (const { occupant, pace, endpoint } of occupants) {
      occupant.wasCold ||= this.#directory.times.isCold(endpoint);
      this.#directory.session(endpoint)?.health.noteRunning(
        nowMs,
        pace.watchedMs,
      );
    }
    // Rates measured on a cold endpoint do not represent its speed.
    this.#compareSpeeds(occupants.filter(({ occupant }) => !occupant.wasCold));
    const isWarm = ({ endpoint }: WatchedRun) =>
      !this.#directory.times.isCold(endpoint);
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
      const fresh = runs.flatMap(({ occupant, endpoint }, i) =>
        occupant.compared ? [] : [{ endpoint, rate: rates[i] }]
      );
      this.#directory.speeds.compare(rates, fresh);
      const { task } = runs[0].occupant;
      const siblings = task.workflow.siblings(task);
      if (runs.length < Math.min(MIN_COMPARED_RUNS, siblings.length)) continue;
      this.#directory.speedLearner.noteRunning(
        runs.map(({ occupant, endpoint }, i) => ({
          task: occupant.task,
          run: { endpoint, rate: rates[i] },
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
    for (const id of found.endpoints) {
      this.#directory.session(id)?.health.noteSlow(nowMs);
    }
    for (const task of found.restart) {
      if (task.hasFewStarts) continue;
      log.info(
        `Run ${task.run} of ${task.name} is a straggler: it is stopped and restarted.`,
      );
      metrics.count("cairngate_stragglers_total");
      task.slowRuns++;
      this.#control.stop(task);
    }
  }

  #moveLeavingRuns(runs: readonly stragglers.RunProgress[]): void {
    const { log, metrics } = this.#ports;
    const leaving = runs.flatMap((run) => {
      const leavesInMs = this.#directory.times.leavesInMs(run.endpoint);
      return leavesInMs === null ? [] : [{ ...run, leavesInMs }];
    });
    for (const task of leavingRuns.findRunsToMove(leaving)) {
      if (task.state !== Workflow.TaskState.Running) continue;
      log.info(
        `Run ${task.run} of ${task.name} is moved because its endpoint is leaving.`,
      );
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
        return [{ occupant, pace, endpoint: session.ref.id }];
      })
    );
  }

  #progressOf(watched: WatchedRun): stragglers.RunProgress {
    const { occupant: { task, slowSinceMs }, pace, endpoint } = watched;
    const nowMs = this.#ports.clock.monotonicMs();
    return {
      task,
      endpoint,
      ranMs: pace.watchedMs,
      speed: this.#directory.comparisonSpeed(endpoint),
      percent: pace.percent,
      progressPercent: pace.came,
      recentRate: pace.recentRate,
      earlierRate: pace.earlierRate,
      slowForMs: slowSinceMs === null ? 0 : nowMs - slowSinceMs,
    };
  }
}

/** A run whose endpoint has reported its progress. */
interface WatchedRun {
  readonly occupant: occupants.Occupant;
  readonly pace: paces.RunPace;
  readonly endpoint: string;
}
