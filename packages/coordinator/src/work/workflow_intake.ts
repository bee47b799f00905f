/** Applies accepted workflows and cancel requests. */
import * as TableClient from "@cairngate/table-client";
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as intake from "./intake.ts";
import type * as ports from "../ports.ts";
import type * as recorders from "./recorder.ts";
import type * as controls from "./run_control.ts";
import type * as registries from "./workflow_registry.ts";

/** Most attempts to read the early cancels of one workflow; each takes up to 3 s. */
const MAX_READ_ATTEMPTS = 10;

/** Dependencies of `WorkflowIntake`. */
export interface WorkflowIntakeOptions {
  readonly ports: Pick<ports.CoordinatorPorts, "store" | "log">;
  readonly recorder: recorders.Recorder;
  readonly workflows: registries.WorkflowRegistry;
  readonly control: controls.RunControl;
}

/** Intake of workflows; one instance for each term. */
export class WorkflowIntake {
  readonly #options: WorkflowIntakeOptions;

  constructor(options: WorkflowIntakeOptions) {
    this.#options = options;
  }

  /** Applies the events parsed from intake rows. */
  apply({ accepted, cancelled, cancelledEarly }: intake.IntakeEvents): void {
    // Before the workflows, which may come with the same batch.
    for (const request of cancelledEarly) this.#cancelEarly(request);
    for (const workflow of accepted) this.#accept(workflow);
    for (const request of cancelled) this.cancel(request);
  }

  /** Cancels a workflow: stops its runs and records the cancel. */
  cancel(request: intake.CancelRequest): void {
    const workflow = this.#options.workflows.cancel(request);
    if (workflow !== null) this.#endCancelled(workflow);
  }

  #cancelEarly(request: intake.EarlyCancel): void {
    const workflow = this.#options.workflows.cancelEarly(request);
    if (workflow !== null) this.#endCancelled(workflow);
  }

  /** Concludes cancelled workflows once all partitions have been read. */
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
    for (const end of workflow.unresolvedRuns.all) control.adoptUnresolved(end);
    if (workflow.cancelled) this.#endCancelled(workflow);
    else if (workflows.mayMissEarlyCancel(workflow)) {
      const read = this.#readEarlyCancels(workflow);
      Effect.runFork(workflows.holdStartDuring(workflow, read));
    }
  }

  /** Reads and applies the early cancels of a workflow. */
  #readEarlyCancels(
    { spec: { id } }: Workflow.Workflow,
  ): Effect.Effect<void> {
    const { store, log } = this.#options.ports;
    const { homePartition, intakePrefix } = TableClient.Keys;
    const prefix = intakePrefix(homePartition(id), id);
    return store.scan(prefix).pipe(
      Effect.retry({ times: MAX_READ_ATTEMPTS - 1 }),
      Effect.map((rows) => {
        const { cancelledEarly } = intake.parseIntake(rows, () => true);
        for (const request of cancelledEarly) this.#cancelEarly(request);
      }),
      Effect.catch((err) =>
        Effect.sync(() =>
          log.warn(
            `Workflow ${id} may start although its early cancels could not be ` +
              `read: ${err.message}`,
          )
        )
      ),
    );
  }

  #endCancelled(workflow: Workflow.Workflow): void {
    this.#options.control.stopAll(workflow);
    this.#concludeIfOver(workflow);
  }

  /**
   * Records that a workflow is cancelled, and its end where none of its tasks run.
   * Does nothing until the partition of its progress row is known, because only one
   * partition may hold that row.
   */
  #concludeIfOver(workflow: Workflow.Workflow): void {
    const { workflows, recorder } = this.#options;
    if (!workflow.isOver || !workflows.isProgressKnown(workflow)) return;
    workflows.conclude(workflow);
    Effect.runFork(recorder.record(workflow));
  }
}
