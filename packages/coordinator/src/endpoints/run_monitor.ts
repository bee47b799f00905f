/** Watches runs: restarts stragglers and moves runs off leaving endpoints. */
import * as Workflow from "@cairngate/workflow";
import * as leavingRuns from "./leaving_runs.ts";
import type * as assignments from "../sessions/assignment.ts";
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
export class RunMonitor {
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
  check(): void {
    const assignments = this.#assignmentsInProgress();
    const nowMs = this.#ports.clock.monotonicMs();
    for (const { assignment, pace, endpoint } of assignments) {
      assignment.wasCold ||= this.#directory.times.isCold(endpoint);
      this.#directory.session(endpoint)?.health.noteRunning(
        nowMs,
        pace.watchedMs,
      );
    }
    // Rates measured on a cold endpoint do not represent its speed.
    this.#compareSpeeds(
      assignments.filter(({ assignment }) => !assignment.wasCold),
    );
    const isWarm = ({ endpoint }: WatchedRun) =>
      !this.#directory.times.isCold(endpoint);
    this.#restartStragglers(assignments.filter(isWarm));
    this.#moveLeavingRuns(assignments.map((one) => this.#progressOf(one)));
    this.#directory.closeUnlisted();
  }

  #compareSpeeds(watched: readonly WatchedRun[]): void {
    const steps = new Map<Workflow.TaskGroup, WatchedRun[]>();
    for (const one of watched) {
      if (one.pace.watchedMs < MIN_COMPARED_AGE_MS) continue;
      const { task } = one.assignment;
      const taskGroup = task.workflow.groupOf(task);
      const group = steps.get(taskGroup);
      if (group === undefined) steps.set(taskGroup, [one]);
      else group.push(one);
    }
    for (const runs of steps.values()) {
      const rates = runs.map(({ pace }) => pace.gainedPercent / pace.watchedMs);
      const fresh = runs.flatMap(({ assignment, endpoint }, i) =>
        assignment.isCompared ? [] : [{ endpoint, rate: rates[i] }]
      );
      this.#directory.speeds.compare(rates, fresh);
      const { task } = runs[0].assignment;
      if (runs.length < Math.min(MIN_COMPARED_RUNS, task.step.count)) continue;
      this.#directory.speedLearner.noteRunning(
        runs.map(({ assignment, endpoint }, i) => ({
          task: assignment.task,
          run: { endpoint, rate: rates[i] },
          isFresh: !assignment.isCompared,
        })),
      );
      for (const { assignment } of runs) assignment.isCompared = true;
    }
  }

  #restartStragglers(
    assignments: readonly WatchedRun[],
  ): void {
    const { clock, log, metrics } = this.#ports;
    const nowMs = clock.monotonicMs();
    const runs = assignments.map((one) => this.#progressOf(one));
    const found = stragglers.findStragglers(runs);
    for (const { assignment } of assignments) {
      const isSlow = found.slow.has(assignment.task);
      assignment.slowSinceMs = isSlow ? assignment.slowSinceMs ?? nowMs : null;
    }
    for (const id of found.endpoints) {
      this.#directory.session(id)?.health.noteSlow(nowMs);
    }
    for (const task of found.restart) {
      if (task.isNearStartLimit) continue;
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

  #assignmentsInProgress(): WatchedRun[] {
    return [...this.#directory.sessions].flatMap((session) =>
      session.assignments.flatMap((assignment) => {
        const { task, run, pace } = assignment;
        const isRunning = task.state === Workflow.TaskState.Running &&
          task.run === run;
        if (!isRunning || pace === null) return [];
        return [{ assignment, pace, endpoint: session.ref.id }];
      })
    );
  }

  #progressOf(watched: WatchedRun): stragglers.RunProgress {
    const { assignment: { task, slowSinceMs }, pace, endpoint } = watched;
    const nowMs = this.#ports.clock.monotonicMs();
    return {
      task,
      endpoint,
      ranMs: pace.watchedMs,
      speed: this.#directory.comparisonSpeed(endpoint),
      percent: pace.percent,
      progressPercent: pace.gainedPercent,
      recentRate: pace.recentRate,
      earlierRate: pace.earlierRate,
      slowForMs: slowSinceMs === null ? 0 : nowMs - slowSinceMs,
    };
  }
}

/** A run whose endpoint has reported its progress. */
interface WatchedRun {
  readonly assignment: assignments.Assignment;
  readonly pace: paces.RunPace;
  readonly endpoint: string;
}
