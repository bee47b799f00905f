/** All workflows of one term: accepted, cancelled, ended, swept away. */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as election from "./election.ts";
import type * as ports from "./ports.ts";
import type * as recorders from "./recorder.ts";

const READ_LIMIT_MS = 1500;
const RETRY_MS = 20;

/** Workflows by id. */
export class WorkflowBook {
  readonly #ports: ports.CoordinatorPorts;
  readonly #term: election.Term;
  readonly #recorder: recorders.Recorder;
  readonly #workflows = new Map<string, Workflow.Workflow>();
  /** Cancels whose workflow has not been seen yet. */
  readonly #cancels = new Set<string>();
  readonly #endedAtMs = new Map<string, number>();
  /** What earlier coordinators recorded; used while the intake is read. */
  readonly #progress = new Map<string, Ports.Row>();

  constructor(
    coordinatorPorts: ports.CoordinatorPorts,
    term: election.Term,
    recorder: recorders.Recorder,
  ) {
    this.#ports = coordinatorPorts;
    this.#term = term;
    this.#recorder = recorder;
  }

  /** Workflows of which something may still start. */
  get live(): readonly Workflow.Workflow[] {
    return [...this.#workflows.values()].filter((w) => !w.isOver);
  }

  /** Workflows that have not ended; some are being cancelled. */
  get open(): readonly Workflow.Workflow[] {
    return [...this.#workflows.values()].filter(
      ({ state }) => !Workflow.isFinal(state),
    );
  }

  /** How many are known. */
  get size(): number {
    return this.#workflows.size;
  }

  /** Reads what earlier coordinators have recorded. */
  readProgress(): Effect.Effect<void> {
    const { store, clock } = this.#ports;
    const prefix = TableClient.Keys.PROGRESS_PREFIX;
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        const read = yield* Effect.result(
          store.scan(prefix, 0, READ_LIMIT_MS),
        );
        if (read._tag === "Success") {
          for (const row of read.success) this.#progress.set(row.key, row);
          return;
        }
        yield* clock.sleep(RETRY_MS);
      }
    });
  }

  /** The intake is read: no more records of earlier coordinators are needed. */
  endRecovery(): void {
    this.#progress.clear();
  }

  /** Takes in an accepted workflow; null where it is known already. */
  accept(spec: Workflow.WorkflowSpec): Workflow.Workflow | null {
    if (this.#workflows.has(spec.id)) return null;
    const workflow = new Workflow.Workflow(spec);
    this.#workflows.set(spec.id, workflow);
    const row = this.#progress.get(TableClient.Keys.progressKey(spec.id));
    this.#recorder.adopt(workflow, row?.revision ?? 0);
    if (row !== undefined) {
      Workflow.applyProgress(workflow, row.value as Workflow.ProgressRecord);
    }
    return workflow;
  }

  /** Whether a cancel came before the workflow. */
  isCancelled(id: string): boolean {
    return this.#cancels.has(id);
  }

  /** Marks a workflow as cancelled; null where there is nothing to do. */
  cancel(id: string): Workflow.Workflow | null {
    const workflow = this.#workflows.get(id);
    if (workflow === undefined) {
      this.#cancels.add(id);
      return null;
    }
    if (workflow.isOver) return null;
    workflow.cancelled = true;
    this.#ports.log.info(`Workflow ${id} is cancelled.`);
    return workflow;
  }

  /** Notes the end of a workflow, if it has ended now. */
  conclude(workflow: Workflow.Workflow): void {
    workflow.concludeCancel();
    const { id } = workflow.spec;
    if (!Workflow.isFinal(workflow.state) || this.#endedAtMs.has(id)) return;
    this.#endedAtMs.set(id, this.#ports.clock.monotonicMs());
    this.#logConclusion(workflow);
  }

  /** Removes rows of workflows that ended long ago. */
  sweep(): Effect.Effect<void> {
    const { clock, bounds } = this.#ports;
    return Effect.gen({ self: this }, function* () {
      const beforeMs = clock.monotonicMs() - bounds.keepEndedMs;
      for (const [id, atMs] of this.#endedAtMs) {
        const workflow = this.#workflows.get(id);
        if (atMs > beforeMs || workflow === undefined) continue;
        if (workflow.placedTasks().length > 0) continue;
        yield* this.#remove(workflow);
      }
    }).pipe(Effect.catch(() => Effect.void));
  }

  /**
   * The spec goes first: progress without a spec is nothing, but a spec without
   * progress would be run again.
   */
  #remove(workflow: Workflow.Workflow) {
    const { id } = workflow.spec;
    const { store } = this.#ports;
    const intake = [
      TableClient.Keys.workflowKey(id),
      TableClient.Keys.cancelKey(id),
    ];
    const progress = [TableClient.Keys.progressKey(id)];
    const toWrites = (keys: readonly string[]) =>
      keys.map((key) => ({ key, value: null }));
    return Effect.gen({ self: this }, function* () {
      yield* store.write({ conditions: [], writes: toWrites(intake) });
      const conditions = [this.#term.condition];
      yield* store.write({ conditions, writes: toWrites(progress) });
      this.#workflows.delete(id);
      this.#cancels.delete(id);
      this.#endedAtMs.delete(id);
      this.#recorder.forget(workflow);
    });
  }

  /** One line that tells how a workflow fared against its objective. */
  #logConclusion(workflow: Workflow.Workflow): void {
    const { spec, state } = workflow;
    const nowMs = this.#ports.clock.wallMs();
    const lastRound = Workflow.countRounds(spec) - 1;
    const dueMs = Workflow.dueAtMs(spec, lastRound);
    const allowedMs = Workflow.objectiveAtMs(spec, lastRound) - dueMs;
    const [first] = spec.steps;
    const started = workflow.firstStartMs === null
      ? "started before this term"
      : `first start after ${Math.round(workflow.firstStartMs - dueMs)} ms`;
    this.#ports.log.info(
      `Workflow ${spec.id} of priority ${spec.policy.priority} is ${state} ` +
        `after ${Math.round(nowMs - dueMs)} of ${Math.round(allowedMs)} ms; ` +
        `${started}, ${workflow.lostRuns} runs lost; ${first.count} tasks of ` +
        `${first.accelerators} accelerators, gang ${first.gang}, ` +
        `one rack ${first.sameRack}.`,
    );
  }
}
