/**
 * Processes the answers to polls: which runs an endpoint holds, which have ended, and
 * which are not expected there.
 */
import type * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as recoveries from "../work/recovery.ts";
import type * as reportedEnds from "./reported_ends.ts";
import type * as previousRuns from "./previous_runs.ts";
import type * as trackedRuns from "./tracked_runs.ts";
import * as assignments from "./assignment.ts";
import * as listeners from "./session_listener.ts";
import * as unexpectedRuns from "./unexpected_runs.ts";
import type * as unreportedRuns from "./unreported_runs.ts";

const { LostCause, lost } = listeners;

/** Dependencies of the reader. */
export interface ViewReaderOptions {
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  readonly tracked: trackedRuns.TrackedRuns;
  /** Reported ends of the current incarnation. */
  readonly ends: () => reportedEnds.ReportedEnds;
  /** Birth time of that incarnation. */
  readonly bornMs: () => number | null;
  /** Runs of previous incarnations. */
  readonly previous: previousRuns.PreviousRuns;
  readonly unreported: unreportedRuns.UnreportedRuns;
  readonly recovery: recoveries.Recovery;
  readonly listener: listeners.SessionListener;
  /** The endpoint, for the listener. */
  readonly endpoint: listeners.SessionEndpoint;
  /** Stops and logs a run that is not expected. */
  readonly stopUnexpected: (run: Ports.RunRef) => void;
  /** Called when recorded ends have to be acknowledged to the endpoint. */
  readonly onRecorded: () => void;
}

/** Maximum time for which a poll waits for the records of ends, in ms. */
const UNRECORDED_PAUSE_MS = 1000;

/** Processes the answers of one endpoint. */
export class ViewReader {
  readonly #options: ViewReaderOptions;
  readonly #unexpected = new unexpectedRuns.UnexpectedRuns();
  /** Ends that were reported before the record of their run was read. */
  readonly #deferredEnds = new Map<string, Deferred.Deferred<void>>();

  constructor(options: ViewReaderOptions) {
    this.#options = options;
  }

  /** Number of unexpected runs in the latest answer. */
  get unexpectedCount(): number {
    return this.#unexpected.count;
  }

  /** Forgets the unexpected runs of the previous incarnation. */
  startIncarnation(): void {
    this.#unexpected.replace([]);
  }

  /** Notes that the record of a run has been read. */
  noteAdopted(run: Ports.RunRef): void {
    const ended = this.#deferredEnds.get(unexpectedRuns.runName(run));
    if (ended !== undefined) Deferred.doneUnsafe(ended, Effect.void);
  }

  /** Processes the answer to a poll that was sent at this time of this box's clock. */
  process(view: Ports.EndpointReport, sentAtMs: number): Effect.Effect<void> {
    const { unreported, listener, endpoint, clock, previous } = this.#options;
    const ends = this.#options.ends();
    return Effect.gen({ self: this }, function* () {
      const newEnds = ends.takeNew(view.ended);
      this.#logIgnoredEnds(view.ended, newEnds);
      const records = newEnds.flatMap((ended) => this.#processEnd(ended) ?? []);
      const confirmed = this.#processHeld(view);
      for (const run of unreported.takeAbsent(view.held)) {
        const end = previous.take(run) ?? lost(LostCause.NotHeld);
        records.push(listener.lateEndReported(endpoint, run, end));
      }
      records.push(...this.#endMissing(confirmed, sentAtMs));
      if (records.length > 0 || newEnds.length > 0) {
        ends.recordAfter(records, this.#options.onRecorded);
      }
      // The next poll waits for the records, but only for a limited time.
      if (!ends.hasUnrecorded) return;
      yield* clock.within(UNRECORDED_PAUSE_MS, ends.awaitRecords());
    });
  }

  /**
   * Logs ends that are ignored because their number was processed before, although
   * they name a tracked run.
   */
  #logIgnoredEnds(
    listed: readonly Ports.EndedRun[],
    newEnds: readonly Ports.EndedRun[],
  ): void {
    const { tracked, log, endpoint } = this.#options;
    for (const ended of listed) {
      const { number, task, run, how } = ended;
      if (newEnds.includes(ended) || tracked.get(task)?.run !== run) continue;
      log.warn(
        `Endpoint ${endpoint.ref.id} lists run ${run} of ${task} as ended ` +
          `(${how}) under number ${number}, which was processed before; the ` +
          `end is passed over.`,
      );
    }
  }

  /** Ends runs that the endpoint has to report by now and does not. */
  #endMissing(
    confirmed: ReadonlySet<assignments.Assignment>,
    sentAtMs: number,
  ): Effect.Effect<void>[] {
    const { tracked, previous } = this.#options;
    const missing = tracked.all.filter((assignment) => {
      const { expectedSinceMs, task: { name: task, run } } = assignment;
      return expectedSinceMs !== null && expectedSinceMs < sentAtMs &&
        !confirmed.has(assignment) &&
        !this.#deferredEnds.has(unexpectedRuns.runName({ task, run }));
    });
    return missing.map((one) =>
      tracked.end(one, previous.take(one) ?? lost(LostCause.NotHeld))
    );
  }

  #processEnd(ended: Ports.EndedRun): Effect.Effect<void> | null {
    const { recovery, tracked, previous, unreported, listener, endpoint } =
      this.#options;
    this.#unexpected.noteEnded(ended);
    const assignment = tracked.get(ended.task);
    if (assignment !== undefined && assignment.run === ended.run) {
      const end = listeners.toRunEndReport(ended);
      return tracked.end(assignment, previous.takeMerged(assignment, end));
    }
    const unreportedRun = unreported.take(ended);
    if (unreportedRun !== null) {
      return listener.lateEndReported(
        endpoint,
        unreportedRun,
        listeners.toRunEndReport(ended),
      );
    }
    if (!recovery.isComplete) return this.#deferEnd(ended);
    listener.untrackedRunReported(ended);
    return ended.how === "done" || ended.how === "failed"
      ? listener.unexpectedEnd(endpoint, ended)
      : null;
  }

  /** Defers an end whose run may be named by a record that is not read yet. */
  #deferEnd(ended: Ports.EndedRun): Effect.Effect<void> {
    const name = unexpectedRuns.runName(ended);
    const adopted = Deferred.makeUnsafe<void>();
    this.#deferredEnds.set(name, adopted);
    const recordRead = Effect.raceFirst(
      Deferred.await(adopted),
      this.#options.recovery.awaitComplete(),
    );
    const take = Effect.suspend(() => {
      this.#deferredEnds.delete(name);
      return this.#processEnd(ended) ?? Effect.void;
    });
    return Effect.andThen(recordRead, take);
  }

  /** Confirms runs that are held; stops those that are not expected. */
  #processHeld(view: Ports.EndpointReport): Set<assignments.Assignment> {
    const { listener, tracked, clock, bornMs } = this.#options;
    const confirmed = new Set<assignments.Assignment>();
    const unexpected: Ports.RunRef[] = [];
    const nowMs = clock.monotonicMs();
    for (const { task, run, checkpoint, percent } of view.held) {
      const assignment = tracked.get(task);
      if (assignment === undefined || assignment.run !== run) {
        unexpected.push({ task, run });
        continue;
      }
      confirmed.add(assignment);
      assignments.noteReported(assignment, bornMs());
      if (checkpoint !== "") assignment.task.checkpoint = checkpoint;
      assignments.noteProgress(assignment, percent, {
        clockMs: view.clockMs,
        nowMs,
      });
      if (assignments.isConfirmed(assignment)) continue;
      assignment.expectedSinceMs = nowMs;
      listener.runConfirmed(assignment);
    }
    this.#stopUnexpectedRuns(unexpected);
    return confirmed;
  }

  /** Unexpected runs can be determined only after all records are read. */
  #stopUnexpectedRuns(runs: readonly Ports.RunRef[]): void {
    const { listener, recovery, stopUnexpected } = this.#options;
    for (const run of recovery.isComplete ? runs : []) {
      listener.untrackedRunReported(run);
      stopUnexpected(run);
    }
    if (this.#unexpected.replace(runs)) listener.capacityChanged();
  }
}
