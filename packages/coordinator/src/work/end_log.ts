/** Log lines and counters for runs that did not end well. */
import * as Workflow from "@cairngate/workflow";
import type * as ports from "../ports.ts";
import * as listeners from "../sessions/session_listener.ts";
import * as sentences from "./run_sentences.ts";

/** A run on an endpoint. */
export interface RunLocation {
  readonly task: Workflow.Task;
  readonly run: number;
  readonly endpoint: string;
}

/** Tells how runs ended; one for each term. */
export class EndLog {
  readonly #ports: Pick<ports.CoordinatorPorts, "log" | "metrics">;

  constructor(
    coordinatorPorts: Pick<ports.CoordinatorPorts, "log" | "metrics">,
  ) {
    this.#ports = coordinatorPorts;
  }

  /** A run ended other than as done. */
  logEnd(place: RunLocation, { how, cause }: listeners.SessionEnd): void {
    const { log, metrics } = this.#ports;
    const { task, run, endpoint } = place;
    const reason = cause === null
      ? ""
      : `, because ${listeners.describeCause(cause)}`;
    log.info(`Run ${run} of ${task.name} on ${endpoint}: ${how}${reason}.`);
    if (cause !== null) metrics.count("cairngate_runs_lost_total", { cause });
    if (how === Workflow.RunEnd.Crashed) this.#logCrash(place);
  }

  /** The end of a run became known after it had been given up. */
  logLateEnd(place: RunLocation, { how }: listeners.SessionEnd): void {
    const { task, run, endpoint } = place;
    this.#ports.log.info(
      `Run ${run} of ${task.name} on ${endpoint}: ${how}, as is known now.`,
    );
    if (how === Workflow.RunEnd.Crashed) this.#logCrash(place);
  }

  /** The endpoint of a run is not heard, and not listed or the task is in doubt. */
  logGone({ task, run, endpoint }: RunLocation): void {
    this.#ports.metrics.count("cairngate_runs_gone_total");
    this.#ports.log.info(
      `Run ${run} of ${task.name}: its endpoint ${endpoint} is not heard, and ` +
        `its lease has run out. It may have crashed or be cut off, ` +
        `so this counts nothing; the task starts on an endpoint of its own.`,
    );
  }

  /** A crash under a task is not laid to it any more. */
  logExcused({ name, crashes }: Workflow.Task): void {
    this.#ports.log.info(
      `A crash under ${name} is not laid to it: others fell at that moment. ` +
        `${crashes.laid} crashes are laid to it.`,
    );
  }

  /** A workflow has failed. */
  logGiveUp({ spec: { id }, giveUp }: Workflow.Workflow): void {
    if (giveUp === null) return;
    const { log, metrics } = this.#ports;
    const { reason, task, run, failures, crashes } = giveUp;
    metrics.count("cairngate_workflows_given_up_total", { reason });
    log.warn(
      `Workflow ${id} is given up for ${reason} of ${task}, last with run ` +
        `${run}: ${failures} runs failed, ${crashes.laid} crashes of endpoints ` +
        `are laid to it, ${crashes.excused} are not, with ${crashes.unseen} ` +
        `nothing has shown its run.`,
    );
    const { entries = [], isPartial = true } = giveUp.history ?? {};
    for (const entry of entries) {
      log.info(`Given up ${task}: ${sentences.describeRun(entry)}`);
    }
    if (isPartial) log.info(`Given up ${task}: ${sentences.PARTIAL_HISTORY}`);
  }

  /** One line for each crash with which a task may have something to do. */
  #logCrash({ task, run, endpoint }: RunLocation): void {
    const { log, metrics } = this.#ports;
    const { laid, excused, unseen } = task.crashes;
    metrics.count("cairngate_crashes_under_tasks_total");
    log.warn(
      `Endpoint ${endpoint} has crashed and may have had run ${run} of ` +
        `${task.name}: ${laid} crashes are laid to the task, ${excused} are ` +
        `not, with ${unseen} nothing has shown its run.`,
    );
  }
}
