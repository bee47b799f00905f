/** Handles the events of endpoint sessions, above all the ends of runs. */
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as failureLogs from "../endpoints/endpoint_failure_log.ts";
import type * as ports from "../ports.ts";
import type * as assignments from "../sessions/assignment.ts";
import * as listeners from "../sessions/session_listener.ts";
import type * as unreportedRuns from "../sessions/unreported_runs.ts";
import * as endLogs from "./end_log.ts";
import type * as missingRuns from "./missing_runs.ts";
import type * as recorders from "./recorder.ts";
import type * as controls from "./run_control.ts";
import type * as registries from "./workflow_registry.ts";

/** Dependencies of `RunEnds`. */
export interface RunEndsOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly recorder: recorders.Recorder;
  readonly workflows: registries.WorkflowRegistry;
  /** A function, because the run control is created after this object. */
  readonly control: () => controls.RunControl;
  /** Called when a run has completed its task. */
  readonly onCompleted: (assignment: assignments.Assignment) => void;
  /** Called when an endpoint has rejected the ticket of a start. */
  readonly onTicketRejected: (
    assignment: assignments.Assignment,
    endpoint: string,
  ) => void;
  /** Called when another instance has started under an endpoint's id. */
  readonly onEndpointRestarted: (id: string) => void;
  /** Called when a change may allow new starts. */
  readonly onCapacityChange: () => void;
}

/** Session listener that applies the ends of runs; one instance for each term. */
export class RunEnds extends listeners.SessionListener {
  readonly #options: RunEndsOptions;
  readonly #log: endLogs.EndLog;

  constructor(options: RunEndsOptions) {
    super();
    this.#options = options;
    this.#log = new endLogs.EndLog(options.ports);
  }

  override runEnded(
    endpoint: listeners.SessionEndpoint,
    assignment: assignments.Assignment,
    end: listeners.RunEndReport,
  ): Effect.Effect<void> {
    const { task, run, stoppingSinceMs } = assignment;
    const { workflow } = task;
    const { clock, metrics } = this.#options.ports;
    const nowMs = clock.monotonicMs();
    const wasOver = workflow.isOver;
    const endpointId = endpoint.ref.id;
    const ended = { run, endpoint: endpointId, stoppingSinceMs, ...end };
    if (end.how === Workflow.RunEnd.Done) this.#options.onCompleted(assignment);
    this.#noteEndReported(workflow, end);
    if (end.cause === listeners.LostCause.InvalidTicket) {
      task.noteTicketRejection(nowMs);
      this.#options.onTicketRejected(assignment, endpointId);
    }
    workflow.endRun(task, ended, nowMs);
    metrics.count("cairngate_runs_ended_total", { how: end.how });
    if (end.how === Workflow.RunEnd.Done) endpoint.health.noteSuccess(nowMs);
    else this.#handleUnsuccessfulEnd(endpoint, assignment, end);
    return this.#concludeAndRecord(workflow, wasOver);
  }

  override lateEndReported(
    endpoint: listeners.SessionEndpoint,
    { task, run }: unreportedRuns.UnreportedRun,
    end: listeners.RunEndReport,
  ): Effect.Effect<void> {
    const { workflow } = task;
    const nowMs = this.#options.ports.clock.monotonicMs();
    const wasOver = workflow.isOver;
    const endpointId = endpoint.ref.id;
    this.#noteEndReported(workflow, end);
    const isNew = workflow.endRun(
      task,
      { run, endpoint: endpointId, ...end },
      nowMs,
    );
    const place = { task, run, endpoint: endpointId };
    if (!isNew) {
      if (end.how === Workflow.RunEnd.Failed) {
        this.#log.logUncountedFailure(place, endLogs.UncountedCause.Presumed);
      }
      return Effect.void;
    }
    this.#log.logLateEnd(place, end);
    if (end.how === Workflow.RunEnd.Done) this.#stopOtherRuns(task, run);
    return this.#concludeAndRecord(workflow, wasOver);
  }

  override unexpectedEnd(
    endpoint: listeners.SessionEndpoint,
    ended: Ports.EndedRun,
  ): Effect.Effect<void> {
    const { run } = ended;
    const task = this.#options.workflows.findTask(ended.task);
    if (task === null) return Effect.void;
    const isElsewhere = task.run === run && task.isPlaced &&
      task.endpoint !== endpoint.ref.id;
    // Such a run belongs to an earlier submission of the same id.
    if (run > task.run || isElsewhere) return Effect.void;
    const end = listeners.toRunEndReport(ended);
    if (end.how === Workflow.RunEnd.Failed) {
      return this.#endUnexpectedFailure(endpoint, { task, run }, end);
    }
    const { Likely } = Workflow.Presence;
    const lateRun = { task, run, presence: Likely, bornMs: null };
    return this.lateEndReported(endpoint, lateRun, end);
  }

  override runGone(
    { ref: { id, address } }: listeners.SessionEndpoint,
    { task, run, presence, bornMs }: unreportedRuns.UnreportedRun,
  ): void {
    const end = { task, run, endpoint: id, bornMs, address, presence };
    if (!task.workflow.markRunGone(end)) return;
    this.#log.logGone({ task, run, endpoint: id });
    this.#recordInBackground(task.workflow);
  }

  override crashExcused(
    affectedRuns: readonly failureLogs.AffectedRun[],
    scale: Workflow.CrashScale,
  ): void {
    for (const { task, run, presence, bornMs } of affectedRuns) {
      const { workflow } = task;
      const evidence = { scale, presence, bornMs };
      if (!workflow.excuseCrash(task, run, evidence)) continue;
      this.#log.logExcused(task);
      this.#recordInBackground(workflow);
    }
  }

  override incarnationStarted(
    { ref: { id } }: listeners.SessionEndpoint,
  ): void {
    this.#options.onEndpointRestarted(id);
    this.capacityChanged();
  }

  override untrackedRunReported({ task: name, run }: Ports.RunRef): void {
    const task = this.#options.workflows.findTask(name);
    // A run with a higher number belongs to an earlier submission of the same id.
    if (task !== null && run <= task.run) this.#noteBegun(task.workflow);
  }

  override runConfirmed({ task, run }: assignments.Assignment): void {
    this.#noteBegun(task.workflow);
    if (task.run !== run) return;
    task.ticketRejections = 0;
    if (task.state === Workflow.TaskState.Starting) {
      task.state = Workflow.TaskState.Running;
    }
    if (!task.isSuspect || task.confirmedRun === run) return;
    // The next coordinator needs this to attribute a crash of the endpoint.
    const { clock } = this.#options.ports;
    const endsAtMs = task.endsAtMs ??
      task.startedAtMs + task.step.estimateMs;
    const leftMs = endsAtMs - clock.monotonicMs();
    task.confirmedRun = run;
    task.confirmedEndsAtWallMs = Math.round(clock.wallMs() + leftMs);
    this.#recordInBackground(task.workflow);
  }

  override capacityChanged(): void {
    this.#options.onCapacityChange();
  }

  /**
   * Ends a run of an earlier term as lost: its endpoint is not listed and its lease has
   * expired. Nothing more can be learned of it unless the endpoint is listed again.
   */
  endMissing(missing: missingRuns.MissingRun): Effect.Effect<void> {
    const { task, run, endpoint } = missing;
    const { workflow } = task;
    const wasOver = workflow.isOver;
    const how = Workflow.RunEnd.Lost;
    const nowMs = this.#options.ports.clock.monotonicMs();
    const end = { run, how, checkpoint: "", endpoint };
    workflow.endRun(task, end, nowMs);
    if (workflow.markRunGone(missing)) {
      this.#log.logGone({ task, run, endpoint });
    }
    return this.#concludeAndRecord(workflow, wasOver);
  }

  #noteEndReported(
    workflow: Workflow.Workflow,
    { how }: listeners.RunEndReport,
  ): void {
    if (listeners.isReportedEnd(how)) this.#noteBegun(workflow);
  }

  /** Notes that a task has begun, so that the workflow does not count as waiting. */
  #noteBegun(workflow: Workflow.Workflow): void {
    if (workflow.hasBegun) return;
    workflow.hasBegun = true;
    workflow.firstStartMs = this.#options.ports.clock.wallMs();
    this.#options.recorder.recordSoon(workflow);
  }

  /** Counts the failure of a run that was treated as lost, or was not known. */
  #endUnexpectedFailure(
    { ref: { id: endpoint } }: listeners.SessionEndpoint,
    { task, run }: { readonly task: Workflow.Task; readonly run: number },
    end: listeners.RunEndReport,
  ): Effect.Effect<void> {
    const { workflow } = task;
    const wasOver = workflow.isOver;
    const nowMs = this.#options.ports.clock.monotonicMs();
    const place = { task, run, endpoint };
    if (!workflow.countLateFailure(task, { run, endpoint, ...end }, nowMs)) {
      const { Repeated } = endLogs.UncountedCause;
      this.#log.logUncountedFailure(place, Repeated);
      return Effect.void;
    }
    this.#log.logLateEnd(place, end);
    return this.#concludeAndRecord(workflow, wasOver);
  }

  /** Stops other runs of a task, or of its gang, after one run has completed. */
  #stopOtherRuns(task: Workflow.Task, doneRun: number): void {
    const members = task.step.gang ? task.workflow.siblings(task) : [task];
    for (const member of members) {
      const isOther = member.isPlaced && member.run !== doneRun;
      if (isOther) this.#options.control().stop(member);
    }
  }

  #handleUnsuccessfulEnd(
    endpoint: listeners.SessionEndpoint,
    assignment: assignments.Assignment,
    end: listeners.RunEndReport,
  ): void {
    const { task, run } = assignment;
    task.workflow.unsuccessfulRuns++;
    this.#log.logEnd({ task, run, endpoint: endpoint.ref.id }, end);
    if (end.how === Workflow.RunEnd.Failed) {
      const nowMs = this.#options.ports.clock.monotonicMs();
      const sentAtMs = assignment.sentAtMs ?? task.startedAtMs;
      endpoint.health.noteRunFailure(nowMs, nowMs - sentAtMs);
    }
    if (task.step.gang) this.#options.control().stopGang(task, run);
  }

  /** Applies the end of a run to its workflow; the effect ends once it is recorded. */
  #concludeAndRecord(
    workflow: Workflow.Workflow,
    wasOver: boolean,
  ): Effect.Effect<void> {
    const { control, workflows, recorder } = this.#options;
    if (workflow.isOver && !wasOver) {
      this.#log.logGiveUp(workflow);
      control().stopAll(workflow);
    }
    workflows.conclude(workflow);
    this.capacityChanged();
    return recorder.record(workflow);
  }

  #recordInBackground(workflow: Workflow.Workflow): void {
    Effect.runFork(this.#options.recorder.record(workflow));
  }
}
