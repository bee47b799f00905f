/**
 * Evaluates how an incarnation of an endpoint ended: as announced, or by a crash that
 * one of its tasks may have caused.
 */
import type * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as assignments from "./assignment.ts";
import * as listeners from "./session_listener.ts";
import type * as failureLogs from "../endpoints/endpoint_failure_log.ts";
import type * as unreportedRuns from "./unreported_runs.ts";

/**
 * Time in ms. An endpoint that answered at most this long before a start was sent was
 * alive when the start arrived. If another incarnation answers next, the ended one
 * probably had the run. Without such an answer the endpoint may have ended long before,
 * while its entry was still listed: up to 3.5 s where endpoints end in groups. A start
 * follows its poll after some ms, or after 100 ms on a box that is late.
 */
const ALIVE_BEFORE_START_MS = 150;
/**
 * Time in ms. An endpoint that answered just before a start was sent, and whose
 * address refused connections at most this long after it, ended when the start
 * arrived. This covers tasks that crash endpoints at their start, whose runs are
 * never confirmed.
 */
const ENDED_AT_START_MS = 100;
/**
 * Time in ms since its last answer within which an endpoint counts as alive: the
 * maximum wait of a poll and its slack.
 */
const RECENT_ANSWER_MS = 2800;

/**
 * Time in ms. The connection of a waiting poll breaks when its endpoint crashes, and
 * the next poll or the one after it (0.3 s later) is refused. If an endpoint was
 * silent for longer before its address refused connections, a run may have ended
 * unreported in between.
 */
const MAX_UNREPORTED_MS = 350;

/** Proof that an incarnation has ended. */
export enum EndProof {
  OtherEndpointAnswers = "another one answers there",
  Restarted = "another life answers under its id",
  /**
   * Counts only once its lease has expired or it is not listed any more, as a busy
   * endpoint may refuse connections, too.
   */
  ConnectionRefused = "nobody listens there",
}

/**
 * Creates the end of a run for how certain it is that the ended incarnation had it, and
 * for the birth time of that incarnation.
 */
export type EndOfRun = (
  run: Pick<unreportedRuns.UnreportedRun, "presence" | "bornMs">,
) => listeners.RunEndReport;

/** Dependencies of the evidence. */
export interface EndEvidenceOptions {
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  readonly ref: Ports.EndpointRef;
  /** Endpoints that are silent or have crashed; shared by all sessions. */
  readonly failureLog: failureLogs.EndpointFailureLog;
}

/** Evidence on the end of one incarnation, collected before and after its end. */
export class EndEvidence {
  readonly #clock: Ports.Clock;
  readonly #log: Logger.Logger;
  readonly #ref: Ports.EndpointRef;
  readonly #failureLog: failureLogs.EndpointFailureLog;
  /** Time of its last answer to a poll, in ms of the monotonic clock of this box. */
  #answeredAtMs = Number.NEGATIVE_INFINITY;
  /** Time since which its address refuses connections; infinite if it does not. */
  #refusedAtMs = Number.POSITIVE_INFINITY;
  /** Time since which ends may be unreported; infinite while polls report all. */
  #unreportedSinceMs = Number.POSITIVE_INFINITY;
  /** Whether it is known to be leaving, so that its end is no crash. */
  #isLeaving = false;

  constructor({ clock, log, ref, failureLog }: EndEvidenceOptions) {
    this.#clock = clock;
    this.#log = log;
    this.#ref = ref;
    this.#failureLog = failureLog;
  }

  /** Notes an answer. */
  noteAnswered(): void {
    this.#answeredAtMs = this.#clock.monotonicMs();
    this.#refusedAtMs = Number.POSITIVE_INFINITY;
    this.#unreportedSinceMs = Number.POSITIVE_INFINITY;
  }

  /**
   * Notes an unanswered order. Where the connection broke, a waiting poll could
   * report ends until then; where it was silent, ends may be unreported since the
   * last answer.
   */
  noteUnanswered(isBroken: boolean): void {
    if (Number.isFinite(this.#unreportedSinceMs)) return;
    this.#unreportedSinceMs = isBroken
      ? this.#clock.monotonicMs()
      : this.#answeredAtMs;
  }

  /** Notes a refused connection: the endpoint has ended and is not merely cut off. */
  noteRefused(): void {
    const nowMs = this.#clock.monotonicMs();
    this.#refusedAtMs = Math.min(this.#refusedAtMs, nowMs);
  }

  /** Whether its address refused connections since its last answer. */
  get isRefused(): boolean {
    return Number.isFinite(this.#refusedAtMs);
  }

  /** Time of its last answer to a poll, by this box's clock; infinite if there is none. */
  get answeredAtMs(): number {
    return this.#answeredAtMs;
  }

  /** Whether it was leaving. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Notes that it is listed, and whether it is draining. */
  noteListed(isDraining: boolean): void {
    this.#isLeaving = isDraining;
  }

  /**
   * Notes that it is not listed any more. Some endpoints leave without notice and
   * continue to serve: one that still answers has not crashed.
   */
  noteUnlisted(isReachable: boolean): void {
    const heardBeforeMs = this.#clock.monotonicMs() - this.#answeredAtMs;
    this.#isLeaving ||= isReachable && heardBeforeMs <= RECENT_ANSWER_MS;
  }

  /**
   * Evaluates the proven end of the incarnation; entries and silence alone prove
   * none. Returns a function that creates the ends of the runs that it may have had.
   */
  end(
    proof: EndProof,
    runs: readonly assignments.Assignment[],
    ended: readonly unreportedRuns.UnreportedRun[],
  ): EndOfRun {
    if (runs.length + ended.length > 0) this.#logEnd(proof, runs, ended);
    if (this.#isLeaving) {
      return () => listeners.lost(listeners.LostCause.Left);
    }
    const affectedRuns = [
      ...runs.map((one) => ({
        task: one.task,
        run: one.run,
        bornMs: one.bornMs,
        presence: this.presenceOf(one, this.#clock.monotonicMs()),
      })),
      ...ended,
    ];
    const wasAlone = isOneTaskOrGang(affectedRuns.map(({ task }) => task));
    const scale = this.#failureLog.noteCrash(this.#ref, affectedRuns);
    return ({ presence, bornMs }) =>
      listeners.crashed({ wasAlone, scale, presence, bornMs });
  }

  /** Logs what distinguishes a crash during a run from one before its start. */
  #logEnd(
    proof: EndProof,
    runs: readonly assignments.Assignment[],
    ended: readonly unreportedRuns.UnreportedRun[],
  ): void {
    const { id, address } = this.#ref;
    const answered = this.#ago(this.#answeredAtMs);
    const silent = this.#ago(this.#failureLog.silentSinceMs(this.#ref));
    const leaving = this.#isLeaving ? "; it was leaving" : "";
    const descriptions = [
      ...runs.map((one) => this.#describeRun(one)),
      ...ended.map(({ task, run }) =>
        `${task.name} run ${run}, end unreported`
      ),
    ];
    this.#log.info(
      `Endpoint ${id} at ${address} has ended, as ${proof}: last heard ` +
        `${answered}, silent since ${silent}${leaving}. It held ` +
        `${descriptions.join("; ")}.`,
    );
  }

  #describeRun(assignment: assignments.Assignment): string {
    const { task, run, sentAtMs } = assignment;
    const isConfirmed = assignments.isConfirmed(assignment) ||
      task.confirmedRun === run;
    const sent = sentAtMs === null
      ? "by an earlier coordinator"
      : this.#ago(sentAtMs);
    return `${task.name} run ${run}, sent ${sent}, ` +
      (isConfirmed ? "confirmed" : "never confirmed");
  }

  /** Formats a time of this box's clock as its age. */
  #ago(atMs: number | null): string {
    if (atMs === null || !Number.isFinite(atMs)) return "never";
    return `${Math.round(this.#clock.monotonicMs() - atMs)} ms ago`;
  }

  /**
   * How certain it is that a run was in progress when the endpoint crashed, given the
   * time of this box's clock by which it had crashed.
   */
  presenceOf(
    assignment: assignments.Assignment,
    crashedByMs: number,
  ): Workflow.Presence {
    const { task, run } = assignment;
    if (assignments.isConfirmed(assignment)) {
      return this.#presenceConfirmedHere(assignment, crashedByMs);
    }
    if (task.confirmedRun === run) {
      return this.#presenceConfirmedEarlier(task, crashedByMs);
    }
    // The record is written before the order is sent, which may never have happened.
    const sentAtMs = assignment.resentAtMs ?? assignment.sentAtMs;
    if (sentAtMs === null) return Workflow.Presence.Unknown;
    const beforeMs = sentAtMs - this.#answeredAtMs;
    if (beforeMs < 0 || beforeMs > ALIVE_BEFORE_START_MS) {
      return Workflow.Presence.Unknown;
    }
    const endedAfterMs = Math.min(crashedByMs, this.#refusedAtMs) - sentAtMs;
    return endedAfterMs >= 0 && endedAfterMs <= ENDED_AT_START_MS
      ? Workflow.Presence.Certain
      : Workflow.Presence.Likely;
  }

  /**
   * Presence of a run that an earlier coordinator confirmed. The confirmation covers
   * only the expected duration of the run, since its end may be unreported.
   */
  #presenceConfirmedEarlier(
    { step, confirmedEndsAtWallMs }: Workflow.Task,
    crashedByMs: number,
  ): Workflow.Presence {
    if (step.lasting || confirmedEndsAtWallMs === null) {
      return Workflow.Presence.Certain;
    }
    const leftMs = confirmedEndsAtWallMs - this.#clock.wallMs();
    const endsMs = this.#clock.monotonicMs() + leftMs;
    const byMs = Math.min(crashedByMs, this.#refusedAtMs);
    return byMs <= endsMs
      ? Workflow.Presence.Certain
      : Workflow.Presence.Likely;
  }

  /**
   * Presence of a run that was confirmed to this coordinator. It was in progress if
   * its expected end is later than the crash and nothing else may have ended it
   * before. Otherwise it is likely if the last answer came before the expected end:
   * an endpoint that is cut off, continues and then crashes is rarer than one that
   * just crashes.
   */
  #presenceConfirmedHere(
    assignment: assignments.Assignment,
    crashedByMs: number,
  ): Workflow.Presence {
    const endsMs = this.#endsAtMs(assignment);
    const byMs = Math.min(crashedByMs, this.#refusedAtMs);
    if (byMs <= endsMs && !this.#mayHaveEndedBefore(assignment, byMs)) {
      return Workflow.Presence.Certain;
    }
    const answeredMs = Math.max(
      this.#answeredAtMs,
      assignment.expectedSinceMs ?? 0,
    );
    return answeredMs <= endsMs
      ? Workflow.Presence.Likely
      : Workflow.Presence.Unknown;
  }

  /**
   * Expected end of a run by its pace, or by its estimate if no progress is known. An
   * answer after the estimated end that does not report the end proves the estimate
   * wrong.
   */
  #endsAtMs(assignment: assignments.Assignment): number {
    const endsMs = assignments.expectedEndMs(assignment);
    const hasOutlastedEstimate = assignment.task.endsAtMs === null &&
      this.#answeredAtMs > endsMs;
    return hasOutlastedEstimate ? Number.POSITIVE_INFINITY : endsMs;
  }

  /**
   * Whether a run may have ended before its endpoint did: it was being stopped,
   * another member of its gang had ended, or only its estimate gives its duration and
   * its endpoint had been silent for a while.
   */
  #mayHaveEndedBefore(
    { task, run, stoppingSinceMs, expectedSinceMs }: assignments.Assignment,
    byMs: number,
  ): boolean {
    if (stoppingSinceMs !== null && stoppingSinceMs <= byMs) return true;
    if (task.workflow.hasLostMember(task, run)) return true;
    if (task.step.lasting || task.endsAtMs !== null) return false;
    const unreportedSinceMs = Math.max(
      this.#unreportedSinceMs,
      expectedSinceMs ?? 0,
    );
    return byMs - unreportedSinceMs > MAX_UNREPORTED_MS;
  }
}

/** Whether all tasks were started together: one task, or members of one gang. */
function isOneTaskOrGang(tasks: readonly Workflow.Task[]): boolean {
  const units = tasks.map((task) =>
    task.step.gang ? task.workflow.groupOf(task) : task
  );
  return new Set<unknown>(units).size === 1;
}
