/** Watches running tasks: slow ones begin again, leaving workers are emptied. */
import * as Workflow from "@cairngate/workflow";
import * as evacuation from "./evacuation.ts";
import type * as ports from "./ports.ts";
import type * as controls from "./run_control.ts";
import * as stragglers from "./straggler_watch.ts";
import type * as directories from "./worker_directory.ts";

/** Looks at all runs from time to time. */
export class RunWatch {
  readonly #ports: ports.CoordinatorPorts;
  readonly #directory: directories.WorkerDirectory;
  readonly #control: controls.RunControl;

  constructor(
    coordinatorPorts: ports.CoordinatorPorts,
    directory: directories.WorkerDirectory,
    control: controls.RunControl,
  ) {
    this.#ports = coordinatorPorts;
    this.#directory = directory;
    this.#control = control;
  }

  /** One look. */
  look(): void {
    const runs = this.#runsInProgress();
    this.#restartStragglers(runs);
    this.#evacuate(runs);
    this.#directory.dropGone();
  }

  #restartStragglers(runs: readonly stragglers.RunProgress[]): void {
    const { clock, log, metrics } = this.#ports;
    const found = stragglers.findStragglers(runs);
    for (const id of found.workers) {
      this.#directory.session(id)?.health.wasSlow(clock.monotonicMs());
    }
    for (const task of found.restart) {
      log.info(`Run ${task.run} of ${task.name} is slow; it starts again.`);
      metrics.count("cairngate_stragglers_total");
      task.slowRuns++;
      this.#control.stop(task);
    }
  }

  #evacuate(runs: readonly stragglers.RunProgress[]): void {
    const { log, metrics } = this.#ports;
    const leaving = runs.flatMap((run) => {
      const leavesInMs = this.#directory.leavesInMs(run.worker);
      return leavesInMs === null ? [] : [{ ...run, leavesInMs }];
    });
    for (const task of evacuation.findLeaving(leaving)) {
      if (task.state !== Workflow.TaskState.Running) continue;
      log.info(`Run ${task.run} of ${task.name} moves; its worker leaves.`);
      metrics.count("cairngate_evacuated_total");
      this.#control.stop(task);
    }
  }

  #runsInProgress(): stragglers.RunProgress[] {
    const runs: stragglers.RunProgress[] = [];
    for (const session of this.#directory.sessions) {
      for (const occupant of session.occupants) {
        const { task, watchedSinceMs, percent, percentAtMs } = occupant;
        const isRunning = task.state === Workflow.TaskState.Running &&
          task.run === occupant.run && watchedSinceMs !== null;
        if (!isRunning) continue;
        runs.push({
          task,
          worker: session.ref.id,
          ranMs: percentAtMs - watchedSinceMs,
          percent,
          came: percent - occupant.watchedFromPercent,
        });
      }
    }
    return runs;
  }
}
