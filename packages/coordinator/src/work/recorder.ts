/** Routes progress writes of workflows to the recorders of their partitions. */
import * as TableClient from "@cairngate/table-client";
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as partitions from "./partition_recorder.ts";

/** Dependencies shared by the recorders of all partitions. */
export type RecorderOptions = Omit<
  partitions.PartitionRecorderOptions,
  "partition"
>;

/** Progress recorder of one term, over all partitions. */
export class Recorder {
  readonly #byPartition: ReadonlyMap<string, partitions.PartitionRecorder>;
  readonly #byWorkflow = new Map<
    Workflow.Workflow,
    partitions.PartitionRecorder
  >();

  constructor(options: RecorderOptions) {
    this.#byPartition = new Map(
      TableClient.Keys.PARTITIONS.map((partition) => [
        partition,
        new partitions.PartitionRecorder({ ...options, partition }),
      ]),
    );
  }

  /** Whether a workflow can't be recorded now, so that its orders are held back. */
  isStalled(workflow: Workflow.Workflow): boolean {
    const recorder = this.#byWorkflow.get(workflow);
    if (recorder === undefined) return false;
    return recorder.isStalled || recorder.isRejected(workflow);
  }

  /** Tracks a workflow; `revision` is that of its progress row, 0 for none. */
  track(
    workflow: Workflow.Workflow,
    place: { partition: string; revision: number },
  ): void {
    this.untrack(workflow);
    const recorder = this.#byPartition.get(place.partition);
    if (recorder === undefined) throw new RangeError(place.partition);
    this.#byWorkflow.set(workflow, recorder);
    recorder.track(workflow, place.revision);
  }

  /** Drops the state of a workflow whose rows have been removed. */
  untrack(workflow: Workflow.Workflow): void {
    this.#byWorkflow.get(workflow)?.untrack(workflow);
    this.#byWorkflow.delete(workflow);
  }

  /** Schedules a write of a changed workflow; the effect ends once it is written. */
  record(workflow: Workflow.Workflow): Effect.Effect<void> {
    return this.#byWorkflow.get(workflow)?.record(workflow) ?? Effect.void;
  }

  /** Leaves a changed workflow to the next write of its partition. */
  recordSoon(workflow: Workflow.Workflow): void {
    this.#byWorkflow.get(workflow)?.recordSoon(workflow);
  }

  /** Writes changes until interrupted. */
  run(): Effect.Effect<never> {
    const all = [...this.#byPartition.values()].map((recorder) =>
      recorder.run()
    );
    return Effect.andThen(
      Effect.all(all, { concurrency: "unbounded", discard: true }),
      Effect.never,
    );
  }
}
