/** Writes the progress of workflows, each in its own partition. */
import * as TableClient from "@cairngate/table-client";
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as partitions from "./partition_recorder.ts";

/** What the recorders of all partitions share. */
export type RecorderOptions = Omit<
  partitions.PartitionRecorderOptions,
  "partition"
>;

/** The recorders of all partitions; one for each term. */
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

  /** Whether orders for this workflow would not leave: no record is written. */
  isStalled(workflow: Workflow.Workflow): boolean {
    const recorder = this.#byWorkflow.get(workflow);
    if (recorder === undefined) return false;
    return recorder.isStalled || recorder.isRejected(workflow);
  }

  /** Takes in a workflow whose progress has this revision; 0 for none. */
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

  /** Drops what is known of a workflow that has been swept away. */
  untrack(workflow: Workflow.Workflow): void {
    this.#byWorkflow.get(workflow)?.untrack(workflow);
    this.#byWorkflow.delete(workflow);
  }

  /** A workflow has changed; the effect ends when that is written. */
  record(workflow: Workflow.Workflow): Effect.Effect<void> {
    return this.#byWorkflow.get(workflow)?.record(workflow) ?? Effect.void;
  }

  /** Writes for ever. */
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
