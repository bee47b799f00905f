/** All workflows of one term: accepted, cancelled, ended, swept away. */
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as intake from "./intake.ts";
import type * as fences from "./partition_fences.ts";
import type * as ports from "../ports.ts";
import type * as recorders from "./recorder.ts";
import type * as recoveries from "./recovery.ts";

/** What the book works with. */
export interface RegistryParts {
  readonly ports: ports.CoordinatorPorts;
  readonly fences: fences.PartitionFences;
  readonly recorder: recorders.Recorder;
  readonly recovery: recoveries.Recovery;
}

/** Where the rows of a workflow lie. */
interface RegisteredWorkflow {
  readonly workflow: Workflow.Workflow;
  /** Partition of its progress. */
  partition: string;
  /** Other partitions in which it was accepted once more. */
  readonly copies: Set<string>;
}

/** Workflows by id. */
export class WorkflowRegistry {
  readonly #parts: RegistryParts;
  readonly #entries = new Map<string, RegisteredWorkflow>();
  /** Partitions in which the cancels of a workflow lie, seen or not, by id. */
  readonly #cancelPartitions = new Map<string, Set<string>>();
  readonly #endedAtMs = new Map<string, number>();

  constructor(parts: RegistryParts) {
    this.#parts = parts;
  }

  /** Workflows of which something may still start. */
  get startable(): readonly Workflow.Workflow[] {
    return this.#all().filter((workflow) => this.#canStart(workflow));
  }

  /** Workflows of which nothing may start before their records are there. */
  get awaitingRecord(): readonly Workflow.Workflow[] {
    return this.#all().filter((workflow) =>
      !workflow.isOver && !this.#canStart(workflow)
    );
  }

  /** Workflows that have not ended; some are being cancelled. */
  get unfinished(): readonly Workflow.Workflow[] {
    return this.#all().filter(({ state }) => !Workflow.isFinal(state));
  }

  /** Finds a task by the name that endpoints use; null where there is none. */
  findTask(name: string): Workflow.Task | null {
    const [id, ...key] = name.split(".");
    return this.#entries.get(id)?.workflow.task(key.join(".")) ?? null;
  }

  /** How many are known. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Takes in an accepted workflow; null where nothing new is learned. A caller
   * that got no answer from one partition may be in another as well.
   */
  accept(
    spec: Workflow.WorkflowSpec,
    partition: string,
  ): Workflow.Workflow | null {
    const existing = this.#entries.get(spec.id);
    if (existing !== undefined) return this.#acceptCopy(existing, partition);
    if (this.#parts.recovery.isUnreadable(spec.id)) {
      return this.#skip(spec.id);
    }
    // It has ended, and a sweep has overtaken the read that tells of it.
    const isOver = spec.steps.length === 0;
    if (isOver && this.#parts.recovery.progressOf(spec.id) === null) {
      return null;
    }
    const workflow = new Workflow.Workflow(spec);
    const entry: RegisteredWorkflow = {
      workflow,
      partition,
      copies: new Set(),
    };
    this.#entries.set(spec.id, entry);
    this.#parts.recorder.track(workflow, { partition, revision: 0 });
    this.#applyRecord(entry);
    workflow.cancelled ||= this.#cancelPartitions.has(spec.id);
    this.#markEnded(workflow);
    return workflow;
  }

  /** What of it has run nobody knows: a second start could do harm. */
  #skip(id: string): null {
    this.#parts.ports.log.error(
      `Workflow ${id} is passed over in this term: ` +
        `somebody else has written over its progress.`,
    );
    return null;
  }

  /** Marks a workflow as cancelled; null where there is nothing to do. */
  cancel({ id, partition }: intake.CancelRequest): Workflow.Workflow | null {
    const partitions = this.#cancelPartitions.get(id) ?? new Set();
    this.#cancelPartitions.set(id, partitions.add(partition));
    const workflow = this.#entries.get(id)?.workflow;
    if (workflow === undefined || workflow.isOver) return null;
    workflow.cancelled = true;
    this.#parts.ports.log.info(`Workflow ${id} is cancelled.`);
    return workflow;
  }

  /** Notes the end of a workflow, if it has ended now. */
  conclude(workflow: Workflow.Workflow): void {
    if (!this.isProgressKnown(workflow)) return;
    workflow.concludeCancel();
    if (this.#markEnded(workflow)) this.#logConclusion(workflow);
  }

  /**
   * Notes the end of a workflow, also one of an earlier term: its rows are swept
   * some time later. False where there is none, or it is known.
   */
  #markEnded({ state, spec: { id } }: Workflow.Workflow): boolean {
    if (!Workflow.isFinal(state) || this.#endedAtMs.has(id)) return false;
    this.#endedAtMs.set(id, this.#parts.ports.clock.monotonicMs());
    return true;
  }

  /**
   * Removes rows of workflows that ended long ago. The record of an end goes
   * last: until all partitions are read, a copy may lie where nobody has looked.
   */
  sweep(): Effect.Effect<void> {
    const { clock, bounds, log } = this.#parts.ports;
    return Effect.gen({ self: this }, function* () {
      if (!this.#parts.recovery.isComplete) return;
      const endedBeforeMs = clock.monotonicMs() - bounds.keepEndedMs;
      for (const [id, endedAtMs] of this.#endedAtMs) {
        const entry = this.#entries.get(id);
        if (endedAtMs > endedBeforeMs || entry === undefined) continue;
        if (entry.workflow.placedTasks().length > 0) continue;
        yield* this.#remove(entry);
      }
    }).pipe(
      // The next sweep finds what is left.
      Effect.catch((err) =>
        Effect.sync(() => log.info(`The sweep broke off: ${err.message}`))
      ),
    );
  }

  #all(): Workflow.Workflow[] {
    return [...this.#entries.values()].map(({ workflow }) => workflow);
  }

  #canStart(workflow: Workflow.Workflow): boolean {
    return !workflow.isOver && this.isProgressKnown(workflow) &&
      !this.#parts.recorder.isStalled(workflow);
  }

  /**
   * Until all partitions are read, a workflow that seems untouched may have been
   * started from a copy in one of the others: it is neither started nor recorded.
   */
  isProgressKnown(workflow: Workflow.Workflow): boolean {
    return this.#parts.recovery.isComplete ||
      workflow.state !== Workflow.WorkflowState.Queued;
  }

  #acceptCopy(
    entry: RegisteredWorkflow,
    partition: string,
  ): Workflow.Workflow | null {
    if (entry.partition === partition) return null;
    entry.copies.add(partition);
    const hasApplied = !this.isProgressKnown(entry.workflow) &&
      this.#applyRecord(entry);
    if (hasApplied) this.#markEnded(entry.workflow);
    Effect.runFork(this.#tryRemoveCopies(entry));
    return hasApplied ? entry.workflow : null;
  }

  /** Applies what an earlier coordinator recorded, wherever that lies. */
  #applyRecord(entry: RegisteredWorkflow): boolean {
    const { recorder, recovery } = this.#parts;
    const { workflow } = entry;
    const recorded = recovery.progressOf(workflow.spec.id);
    if (recorded === null) return false;
    if (recorded.partition !== entry.partition) {
      entry.copies.add(entry.partition);
      entry.copies.delete(recorded.partition);
      entry.partition = recorded.partition;
    }
    const { partition, row: { revision, value } } = recorded;
    recorder.track(workflow, { partition, revision });
    Workflow.applyProgress(workflow, value as Workflow.ProgressRecord);
    return true;
  }

  /** A copy that stays does no harm: it goes with the workflow. */
  #tryRemoveCopies(entry: RegisteredWorkflow): Effect.Effect<void> {
    const { id } = entry.workflow.spec;
    return Effect.catch(this.#removeCopies(entry), (err) =>
      Effect.sync(() => {
        this.#parts.ports.log.info(`A copy of ${id} stays: ${err.message}`);
      }));
  }

  /** Cancels that lie with the copies stay: later terms have to find them. */
  #removeCopies(entry: RegisteredWorkflow) {
    const { spec: { id, policy } } = entry.workflow;
    return Effect.forEach(
      [...entry.copies],
      (partition) =>
        Effect.map(
          this.#removeKeys(partition, rowKeys(partition, id, policy.queue)),
          () => entry.copies.delete(partition),
        ),
      { discard: true },
    );
  }

  #removeCancels(id: string, partitions: readonly string[]) {
    return Effect.forEach(
      partitions,
      (partition) =>
        this.#removeKeys(partition, [
          TableClient.Keys.cancelKey(partition, id),
        ]),
      { discard: true },
    );
  }

  #remove(entry: RegisteredWorkflow) {
    const { partition, workflow, workflow: { spec: { id, policy } } } = entry;
    const cancelPartitions = [...this.#cancelPartitions.get(id) ?? []];
    return Effect.gen({ self: this }, function* () {
      yield* this.#removeCopies(entry);
      yield* this.#removeCancels(
        id,
        cancelPartitions.filter((other) => other !== partition),
      );
      yield* this.#removeKeys(partition, [
        ...rowKeys(partition, id, policy.queue),
        TableClient.Keys.cancelKey(partition, id),
      ]);
      this.#entries.delete(id);
      this.#cancelPartitions.delete(id);
      this.#endedAtMs.delete(id);
      this.#parts.recorder.untrack(workflow);
    });
  }

  /** Removes rows of one partition. */
  #removeKeys(partition: string, keys: readonly string[]) {
    const { fences, ports: { store } } = this.#parts;
    return Effect.suspend(() =>
      store.write({
        conditions: [fences.condition(partition)],
        writes: keys.map((key) => ({ key, value: null })),
      })
    );
  }

  /** One line that tells how a workflow fared against its objective. */
  #logConclusion(workflow: Workflow.Workflow): void {
    const { spec, state } = workflow;
    const nowMs = this.#parts.ports.clock.wallMs();
    const lastRound = Workflow.countRounds(spec) - 1;
    const dueMs = Workflow.dueAtMs(spec, lastRound);
    const allowedMs = Workflow.objectiveAtMs(spec, lastRound) - dueMs;
    const [first] = spec.steps;
    const startNote = workflow.firstStartMs === null
      ? "started before this term"
      : `first start after ${Math.round(workflow.firstStartMs - dueMs)} ms`;
    this.#parts.ports.log.info(
      `Workflow ${spec.id} of priority ${spec.policy.priority} is ${state} ` +
        `after ${Math.round(nowMs - dueMs)} of ${Math.round(allowedMs)} ms; ` +
        `${startNote}, ${workflow.lostRuns} runs lost; ${first.count} tasks of ` +
        `${first.accelerators} accelerators, gang ${first.gang}, ` +
        `one rack ${first.sameRack}.`,
    );
  }
}

/** Rows of a workflow in one partition, but for its cancel. */
function rowKeys(partition: string, id: string, queue: string): string[] {
  return [
    TableClient.Keys.workflowKey(partition, id),
    TableClient.Keys.waitingKey(partition, queue, id),
    TableClient.Keys.progressKey(partition, id),
  ];
}
