/** Handles the events of endpoint sessions, above all the ends of runs. */
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as silences from "../endpoints/silence_log.ts";
import type * as ports from "../ports.ts";
import type * as occupants from "../sessions/occupant.ts";
import * as listeners from "../sessions/session_listener.ts";
import type * as unheardRuns from "../sessions/unheard_runs.ts";
import * as endLogs from "./end_log.ts";
import type * as missingRuns from "./missing_runs.ts";
import type * as recorders from "./recorder.ts";
import type * as controls from "./run_control.ts";
import type * as registries from "./workflow_book.ts";

/** Dependencies of `RunEnds`. */
export interface RunEndsOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly recorder: recorders.Recorder;
  readonly workflows: registries.WorkflowRegistry;
  /** A function, because the run control is created after this object. */
  readonly control: () => controls.RunControl;
  /** Called when a run has completed its task. */
  readonly onCompleted: (occupant: occupants.Occupant) => void;
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
    endpoint: listeners.SessionWorker,
    occupant: occupants.Occupant,
    end: listeners.SessionEnd,
  ): Effect.Effect<void> {
    const { task, run, stoppingSinceMs } = occupant;
    const { workflow } = task;
    const { clock, metrics } = this.#options.ports;
    const nowMs = clock.monotonicMs();
    const wasOver = workflow.isOver;
    const endpointId = endpoint.ref.id;
    const ended = { run, endpoint: endpointId, stoppingSinceMs, ...end };
    if (end.how === Workflow.RunEnd.Done) this.#options.onCompleted(occupant);
    workflow.endRun(task, ended, nowMs);
    metrics.count("cairngate_runs_ended_total", { how: end.how });
    if (end.how === Workflow.RunEnd.Done) endpoint.health.succeeded(nowMs);
    else this.#handleUnsuccessfulEnd(endpoint, occupant, end);
    return this.#concludeAndRecord(workflow, wasOver);
  }

  override lateEnd(
    endpoint: listeners.SessionWorker,
    { task, run }: unheardRuns.UnheardRun,
    end: listeners.SessionEnd,
  ): Effect.Effect<void> {
    const { workflow } = task;
    const nowMs = this.#options.ports.clock.monotonicMs();
    const wasOver = workflow.isOver;
    const endpointId = endpoint.ref.id;
    const isNew = workflow.endRun(
      task,
      { run, endpoint: endpointId, ...end },
      nowMs,
    );
    if (!isNew) return Effect.void;
    this.#log.logLateEnd({ task, run, endpoint: endpointId }, end);
    if (end.how === Workflow.RunEnd.Done) this.#stopOtherRuns(task, run);
    return this.#concludeAndRecord(workflow, wasOver);
  }

  override unexpectedDone(
    endpoint: listeners.SessionWorker,
    ended: Ports.EndedRun,
  ): Effect.Effect<void> {
    const { run } = ended;
    const task = this.#options.workflows.findTask(ended.task);
    if (task === null) return Effect.void;
    const isElsewhere = task.run === run && task.isPlaced &&
      task.worker !== endpoint.ref.id;
    // Such a run belongs to an earlier submission of the same id.
    if (run > task.run || isElsewhere) return Effect.void;
    const { Likely } = Workflow.Presence;
    const lateRun = { task, run, presence: Likely, bornMs: null };
    return this.lateEnd(endpoint, lateRun, listeners.toSessionEnd(ended));
  }

  override runGone(
    { ref: { id, address } }: listeners.SessionWorker,
    { task, run, presence, bornMs }: unheardRuns.UnheardRun,
  ): void {
    const end = { task, run, worker: id, bornMs, address, presence };
    if (!task.workflow.suspectGone(end)) return;
    this.#log.logGone({ task, run, endpoint: id });
    this.#recordInBackground(task.workflow);
  }

  override crashExcused(
    victims: readonly silences.Victim[],
    fellows: Workflow.CrashFellows,
  ): void {
    for (const { task, run, presence } of victims) {
      const { workflow } = task;
      const evidence = { fellows, presence };
      if (!workflow.excuseCrash(task, run, evidence)) continue;
      this.#log.logExcused(task);
      this.#recordInBackground(workflow);
    }
  }

  override lifeBegan({ ref: { id } }: listeners.SessionWorker): void {
    this.#options.onEndpointRestarted(id);
    this.roomChanged();
  }

  override runConfirmed({ task, run }: occupants.Occupant): void {
    if (task.run !== run) return;
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

  override roomChanged(): void {
    this.#options.onCapacityChange();
  }

  /**
   * Ends a run of an earlier term as lost: its endpoint is not listed and its lease has
   * expired. Nothing more can be learned of it unless the endpoint is listed again.
   */
  endMissing(missing: missingRuns.MissingRun): Effect.Effect<void> {
    const { task, run, worker } = missing;
    const { workflow } = task;
    const wasOver = workflow.isOver;
    const how = Workflow.RunEnd.Lost;
    const nowMs = this.#options.ports.clock.monotonicMs();
    const end = { run, how, checkpoint: "", endpoint: worker };
    workflow.endRun(task, end, nowMs);
    if (workflow.suspectGone(missing)) {
      this.#log.logGone({ task, run, endpoint: worker });
    }
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
    endpoint: listeners.SessionWorker,
    occupant: occupants.Occupant,
    end: listeners.SessionEnd,
  ): void {
    const { task, run } = occupant;
    task.workflow.lostRuns++;
    this.#log.logEnd({ task, run, endpoint: endpoint.ref.id }, end);
    if (end.how === Workflow.RunEnd.Failed) {
      const nowMs = this.#options.ports.clock.monotonicMs();
      const sentAtMs = occupant.sentAtMs ?? task.startedAtMs;
      endpoint.health.ranAndFailed(nowMs, nowMs - sentAtMs);
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
    this.roomChanged();
    return recorder.record(workflow);
  }

  #recordInBackground(workflow: Workflow.Workflow): void {
    Effect.runFork(this.#options.recorder.record(workflow));
  }
}
