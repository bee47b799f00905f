/** What follows from workflows that are accepted or cancelled. */
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as intake from "./intake.ts";
import type * as recorders from "./recorder.ts";
import type * as controls from "./run_control.ts";
import type * as registries from "./workflow_book.ts";

/** What the intake works with. */
export interface WorkflowIntakeOptions {
  readonly recorder: recorders.Recorder;
  readonly workflows: registries.WorkflowRegistry;
  readonly control: controls.RunControl;
}

/** Workflows that come in; one for each term. */
export class WorkflowIntake {
  readonly #options: WorkflowIntakeOptions;

  constructor(options: WorkflowIntakeOptions) {
    this.#options = options;
  }

  /** Takes in what the rows say has happened. */
  apply({ accepted, cancelled }: intake.IntakeEvents): void {
    for (const workflow of accepted) this.#accept(workflow);
    for (const request of cancelled) this.cancel(request);
  }

  /** A workflow is cancelled. */
  cancel(request: intake.CancelRequest): void {
    const workflow = this.#options.workflows.cancel(request);
    if (workflow !== null) this.#endCancelled(workflow);
  }

  /** All partitions are read, so it is known where each workflow's record lies. */
  concludeAll(): void {
    for (const workflow of this.#options.workflows.unfinished) {
      this.#concludeIfOver(workflow);
    }
  }

  #accept({ spec, partition }: intake.AcceptedWorkflow): void {
    const { workflows, control } = this.#options;
    const workflow = workflows.accept(spec, partition);
    if (workflow === null) return;
    for (const task of workflow.placedTasks()) control.adopt(task);
    for (const end of workflow.openEnds.all) control.adoptOpenEnd(end);
    if (workflow.cancelled) this.#endCancelled(workflow);
  }

  #endCancelled(workflow: Workflow.Workflow): void {
    this.#options.control.stopAll(workflow);
    this.#concludeIfOver(workflow);
  }

  /**
   * Records that a workflow is cancelled, and its end where nothing of it runs.
   * Its record lies in one partition only, so this waits until it is known where.
   */
  #concludeIfOver(workflow: Workflow.Workflow): void {
    const { workflows, recorder } = this.#options;
    if (!workflow.isOver || !workflows.isProgressKnown(workflow)) return;
    workflows.conclude(workflow);
    Effect.runFork(recorder.record(workflow));
  }
}
