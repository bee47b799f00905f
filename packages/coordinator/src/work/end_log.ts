/** Log lines and counters for runs that ended without success. */
import * as Workflow from "@cairngate/workflow";
import type * as ports from "../ports.ts";
import * as listeners from "../sessions/session_listener.ts";
import * as sentences from "./run_descriptions.ts";

/** A run and its endpoint. */
export interface RunLocation {
  readonly task: Workflow.Task;
  readonly run: number;
  readonly endpoint: string;
}

/** Why the failure of a run is not counted. */
export enum UncountedCause {
  /** The run was presumed ended otherwise, for example by the end of its lease. */
  Presumed = "presumed-ended",
  /** An earlier coordinator has counted it, or may have. */
  Repeated = "counted-before",
}

/** Logs and counts the ends of runs; one instance for each term. */
export class EndLog {
  readonly #ports: Pick<ports.CoordinatorPorts, "log" | "metrics">;

  constructor(
    coordinatorPorts: Pick<ports.CoordinatorPorts, "log" | "metrics">,
  ) {
    this.#ports = coordinatorPorts;
  }

  /** Logs a run that did not complete its task. */
  logEnd(place: RunLocation, end: listeners.RunEndReport): void {
    const { log, metrics } = this.#ports;
    const { how, cause } = end;
    const { task, run, endpoint } = place;
    const reason = cause === null
      ? ""
      : `, because ${listeners.describeCause(cause)}`;
    log.info(`Run ${run} of ${task.name} on ${endpoint}: ${how}${reason}.`);
    if (cause !== null) metrics.count("cairngate_runs_lost_total", { cause });
    this.#logCrashes(place, end);
  }

  /** Logs an end that was reported after the coordinator had given the run up. */
  logLateEnd(place: RunLocation, end: listeners.RunEndReport): void {
    const { task, run, endpoint } = place;
    this.#ports.log.info(
      `Run ${run} of ${task.name} on ${endpoint}: ${end.how}, as reported later.`,
    );
    this.#logCrashes(place, end);
  }

  /** Logs a failure that is not counted while its task may still start. */
  logUncountedFailure(
    { task, run, endpoint }: RunLocation,
    cause: UncountedCause,
  ): void {
    const { workflow, step, state } = task;
    const isDone = state === Workflow.TaskState.Done;
    if (workflow.isOver || isDone || step.lasting) return;
    const { log, metrics } = this.#ports;
    metrics.count("cairngate_failures_not_counted_total", { cause });
    log.warn(
      `Run ${run} of ${task.name} on ${endpoint} failed, which is not counted ` +
        `(${cause}): ${sentences.describeFailures(task)}.`,
    );
  }

  /**
   * Logs a run whose endpoint does not answer, and either is not listed any more or
   * may have been crashed by the task.
   */
  logGone({ task, run, endpoint }: RunLocation): void {
    this.#ports.metrics.count("cairngate_runs_gone_total");
    this.#ports.log.info(
      `Run ${run} of ${task.name}: its endpoint ${endpoint} is not heard, and ` +
        `its lease has run out. It may have crashed or be unreachable, ` +
        `so no crash is counted; the task restarts on an otherwise idle endpoint.`,
    );
  }

  /** Logs that a crash is no longer attributed to the task that was running. */
  logExcused({ name, crashes }: Workflow.Task): void {
    this.#ports.log.info(
      `A crash under ${name} is not attributed to it, because other endpoints ` +
        `failed at the same time; ${crashes.laid} crashes count against it.`,
    );
  }

  /** Logs why a workflow was given up; does nothing where it was not. */
  logGiveUp({ spec: { id }, giveUp }: Workflow.Workflow): void {
    if (giveUp === null) return;
    const { log, metrics } = this.#ports;
    const { reason, task, run, failures, crashes } = giveUp;
    metrics.count("cairngate_workflows_given_up_total", { reason });
    log.warn(
      `Workflow ${id} is given up for ${reason} of ${task}, last with run ` +
        `${run}: ${failures} runs failed, ${crashes.laid} endpoint crashes ` +
        `count against it, ${crashes.excused} are excused, ${crashes.unseen} ` +
        `occurred where nothing shows its run.`,
    );
    const { entries = [], isPartial = true } = giveUp.history ?? {};
    for (const entry of entries) {
      log.info(`Given up ${task}: ${sentences.describeRun(entry)}`);
    }
    if (isPartial) log.info(`Given up ${task}: ${sentences.PARTIAL_HISTORY}`);
  }

  /** Logs the endpoint crashes that the task of a run may have caused. */
  #logCrashes(
    { task, run, endpoint }: RunLocation,
    { how, earlierCrashes = [] }: listeners.RunEndReport,
  ): void {
    const { log, metrics } = this.#ports;
    const isCrash = how === Workflow.RunEnd.Crashed;
    const crashes = earlierCrashes.length + (isCrash ? 1 : 0);
    if (crashes === 0) return;
    const { laid, excused, unseen } = task.crashes;
    const times = crashes === 1 ? "" : ` ${crashes} times`;
    metrics.count("cairngate_crashes_under_tasks_total", {}, crashes);
    log.warn(
      `Endpoint ${endpoint} has crashed${times} and may have held run ${run} of ` +
        `${task.name}: ${laid} crashes count against the task, ${excused} are ` +
        `excused, and ${unseen} occurred where nothing shows its run.`,
    );
  }
}
