/** Registry of the workflows of one term, from acceptance to removal. */
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as conclusions from "./conclusion_message.ts";
import * as earlyCancels from "./early_cancels.ts";
import type * as memoryMeters from "../load/memory_meter.ts";
import type * as intake from "./intake.ts";
import type * as ports from "../ports.ts";
import type * as queueRoutings from "./queue_routings.ts";
import type * as recorders from "./recorder.ts";
import type * as recoveries from "./recovery.ts";
import type * as removers from "./row_remover.ts";

/** Dependencies of `WorkflowRegistry`. */
export interface RegistryParts {
  readonly ports: ports.CoordinatorPorts;
  readonly remover: removers.RowRemover;
  readonly recorder: recorders.Recorder;
  readonly recovery: recoveries.Recovery;
  readonly memory: memoryMeters.MemoryMeter;
  readonly routings: queueRoutings.QueueRoutings;
  /** Whether all intake rows are known, also after the history was lost. */
  readonly isIntakeCaughtUp: () => boolean;
}

/** A workflow and the partitions that hold its rows. */
interface RegisteredWorkflow {
  readonly workflow: Workflow.Workflow;
  /** Partition of its progress row. */
  partition: string;
  /** Other partitions that hold a copy of its accepted row. */
  readonly copies: Set<string>;
}

/** The workflows of one term by id. */
export class WorkflowRegistry {
  readonly #parts: RegistryParts;
  readonly #entries = new Map<string, RegisteredWorkflow>();
  /** Partitions that hold cancel requests, by workflow id, registered or not. */
  readonly #cancelPartitions = new Map<string, Set<string>>();
  readonly #earlyCancels: earlyCancels.EarlyCancels;
  /** Workflows that may not start until their early cancels are read. */
  readonly #awaitingEarlyCancels = new Set<string>();
  /** Monotonic time at which the end of a workflow was noticed, by id. */
  readonly #endedAtMs = new Map<string, number>();

  constructor(parts: RegistryParts) {
    this.#parts = parts;
    this.#earlyCancels = new earlyCancels.EarlyCancels(parts.remover);
  }

  /** Workflows whose ready tasks may start. */
  get startable(): readonly Workflow.Workflow[] {
    return this.#all().filter((workflow) => this.#canStart(workflow));
  }

  /** Workflows whose tasks must not start until their record is read or written. */
  get awaitingRecord(): readonly Workflow.Workflow[] {
    return this.#all().filter((workflow) =>
      !workflow.isOver && !this.#canStart(workflow)
    );
  }

  /** Workflows that have not ended, including those being cancelled. */
  get unfinished(): readonly Workflow.Workflow[] {
    return this.#all().filter(({ state }) => !Workflow.isFinal(state));
  }

  /** Finds a task by the name used in orders to endpoints; null where unknown. */
  findTask(name: string): Workflow.Task | null {
    const [id, ...key] = name.split(".");
    return this.#entries.get(id)?.workflow.task(key.join(".")) ?? null;
  }

  /** Number of workflows, ended ones included. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Registers an accepted workflow; null where that changes nothing. The same workflow
   * may be accepted in two partitions, where the answer of the first one was lost.
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
    // It has ended, and its progress row was removed before it could be read.
    const isOver = spec.steps.length === 0;
    if (isOver && this.#parts.recovery.progressOf(spec.id) === null) {
      return null;
    }
    const workflow = new Workflow.Workflow(spec);
    this.#parts.routings.apply(workflow);
    const entry: RegisteredWorkflow = {
      workflow,
      partition,
      copies: new Set(),
    };
    this.#entries.set(spec.id, entry);
    this.#parts.memory.add(Workflow.estimateBytes(spec));
    this.#parts.recorder.track(workflow, { partition, revision: 0 });
    this.#applyRecord(entry);
    workflow.cancelled ||= this.#cancelPartitions.has(spec.id) ||
      this.#earlyCancels.appliesTo(spec);
    this.#markEnded(workflow);
    return workflow;
  }

  /** Applies a new version of the configuration to the unfinished workflows. */
  followConfig(): void {
    this.#parts.routings.update(() => this.unfinished);
  }

  /** Skips a workflow: without its progress, tasks could be run a second time. */
  #skip(id: string): null {
    this.#parts.ports.log.error(
      `Workflow ${id} is skipped in this term: ` +
        `its progress row was overwritten by another writer.`,
    );
    return null;
  }

  /** Records a cancel request; returns the workflow if this cancels it, else null. */
  cancel({ id, partition }: intake.CancelRequest): Workflow.Workflow | null {
    const partitions = this.#cancelPartitions.get(id) ?? new Set();
    this.#cancelPartitions.set(id, partitions.add(partition));
    return this.#cancelRegistered(id);
  }

  /**
   * Records a cancel request for a workflow that no partition held; returns the
   * workflow if it has come since and this cancels it, else null.
   */
  cancelEarly(request: intake.EarlyCancel): Workflow.Workflow | null {
    const { id } = request;
    this.#earlyCancels.add(request, this.#parts.ports.clock.monotonicMs());
    const spec = this.#entries.get(id)?.workflow.spec;
    const applies = spec !== undefined && this.#earlyCancels.appliesTo(spec);
    return applies ? this.#cancelRegistered(id) : null;
  }

  #cancelRegistered(id: string): Workflow.Workflow | null {
    const workflow = this.#entries.get(id)?.workflow;
    if (workflow === undefined || workflow.isOver) return null;
    workflow.cancelled = true;
    this.#parts.ports.log.info(`Workflow ${id} is cancelled.`);
    return workflow;
  }

  /** Concludes a cancel where nothing runs any more, and logs a new end. */
  conclude(workflow: Workflow.Workflow): void {
    if (!this.isProgressKnown(workflow)) return;
    workflow.completeCancel();
    if (!this.#markEnded(workflow)) return;
    const { clock, log } = this.#parts.ports;
    log.info(conclusions.describeConclusion(workflow, clock.wallMs()));
  }

  /**
   * Marks a workflow as ended, also where it ended in an earlier term, so that its rows
   * are removed later. False where it has not ended or is marked already.
   */
  #markEnded({ state, spec: { id } }: Workflow.Workflow): boolean {
    if (!Workflow.isFinal(state) || this.#endedAtMs.has(id)) return false;
    this.#endedAtMs.set(id, this.#parts.ports.clock.monotonicMs());
    return true;
  }

  /**
   * Removes the rows of workflows that ended longer ago than `keepEndedMs`. Does
   * nothing until all partitions are read: an unread one may hold a copy, which
   * would start again without the record of the end. That record is removed last.
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
      yield* this.#earlyCancels.removeExpired(
        endedBeforeMs,
        (id) => this.#entries.has(id),
      );
    }).pipe(
      // The next sweep removes the rest.
      Effect.catch((err) =>
        Effect.sync(() =>
          log.info(
            `Removing ended workflows failed and is retried: ${err.message}`,
          )
        )
      ),
    );
  }

  #all(): Workflow.Workflow[] {
    return [...this.#entries.values()].map(({ workflow }) => workflow);
  }

  #canStart(workflow: Workflow.Workflow): boolean {
    return !workflow.isOver && this.isProgressKnown(workflow) &&
      !this.#awaitingEarlyCancels.has(workflow.spec.id) &&
      !this.#parts.recorder.isStalled(workflow);
  }

  /**
   * Whether an early cancel of a workflow that was just read may be unread: it lies in
   * the home partition, which may be read after that of the workflow. Until recovery is
   * complete, nothing queued starts anyway.
   */
  mayMissEarlyCancel({ state, spec: { id } }: Workflow.Workflow): boolean {
    const { recovery, isIntakeCaughtUp } = this.#parts;
    const isQueued = state === Workflow.WorkflowState.Queued;
    if (!isQueued || isIntakeCaughtUp() || !recovery.isComplete) return false;
    const home = TableClient.Keys.homePartition(id);
    return this.#entries.get(id)?.partition !== home;
  }

  /** Keeps a workflow from starting until `effect` has ended. */
  holdStartDuring(
    { spec: { id } }: Workflow.Workflow,
    effect: Effect.Effect<void>,
  ): Effect.Effect<void> {
    this.#awaitingEarlyCancels.add(id);
    const release = Effect.sync(() => {
      this.#awaitingEarlyCancels.delete(id);
    });
    return Effect.ensuring(effect, release);
  }

  /**
   * Whether the recorded progress of a workflow is known. Until all partitions are
   * read, a queued workflow may have been started from a copy in another
   * partition, so it is neither started nor recorded.
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

  /** Applies recorded progress, from whichever partition holds it; false for none. */
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
    const { partition, revision, record } = recorded;
    recorder.track(workflow, { partition, revision });
    Workflow.applyProgressRecord(workflow, record);
    return true;
  }

  /** Removes copies; one that remains is harmless and removed with the workflow. */
  #tryRemoveCopies(entry: RegisteredWorkflow): Effect.Effect<void> {
    const { id } = entry.workflow.spec;
    return Effect.catch(this.#removeCopies(entry), (err) =>
      Effect.sync(() => {
        this.#parts.ports.log.info(
          `Removing a copy of ${id} failed: ${err.message}`,
        );
      }));
  }

  /** Removes copies but not their cancel requests: later terms have to find them. */
  #removeCopies(entry: RegisteredWorkflow) {
    const { spec: { id, policy } } = entry.workflow;
    return Effect.forEach(
      [...entry.copies],
      (partition) =>
        Effect.map(
          this.#parts.remover.remove(
            partition,
            rowKeys(partition, id, policy.queue),
          ),
          () => entry.copies.delete(partition),
        ),
      { discard: true },
    );
  }

  #removeCancels(id: string, partitions: readonly string[]) {
    return Effect.forEach(
      partitions,
      (partition) =>
        this.#parts.remover.remove(partition, [
          TableClient.Keys.cancelKey(partition, id),
        ]),
      { discard: true },
    );
  }

  #remove(entry: RegisteredWorkflow) {
    const { partition, workflow, workflow: { spec: { id, policy } } } = entry;
    const { remover } = this.#parts;
    const cancelPartitions = [...this.#cancelPartitions.get(id) ?? []];
    return Effect.gen({ self: this }, function* () {
      yield* this.#removeCopies(entry);
      yield* this.#earlyCancels.removeOf(id);
      yield* this.#removeCancels(
        id,
        cancelPartitions.filter((other) => other !== partition),
      );
      yield* remover.remove(partition, [
        ...rowKeys(partition, id, policy.queue),
        TableClient.Keys.cancelKey(partition, id),
      ]);
      this.#entries.delete(id);
      this.#parts.memory.remove(Workflow.estimateBytes(workflow.spec));
      this.#cancelPartitions.delete(id);
      this.#endedAtMs.delete(id);
      this.#parts.recorder.untrack(workflow);
    });
  }
}

/** Keys of the rows of a workflow in one partition, except its cancel request. */
function rowKeys(partition: string, id: string, queue: string): string[] {
  return [
    TableClient.Keys.workflowKey(partition, id),
    TableClient.Keys.waitingKey(partition, queue, id),
    TableClient.Keys.progressKey(partition, id),
  ];
}
