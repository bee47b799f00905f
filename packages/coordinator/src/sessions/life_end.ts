/**
 * How the life of an endpoint ends: as it was announced, or by a crash, with which
 * the tasks that it held may have something to do.
 */
import type * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as assignments from "./occupant.ts";
import * as listeners from "./session_listener.ts";
import type * as silences from "../endpoints/silence_log.ts";
import type * as unreportedRuns from "./unheard_runs.ts";

/**
 * Time in ms. An endpoint that answered so shortly before a start was sent was alive
 * when the start came. If it never answers again and another life is there, it
 * probably had the run. Without such an answer it may have ended long before, while
 * its entry was still listed: up to 3.5 s, on a day with endpoints that end in
 * groups. From a look to the start behind it pass some ms, 100 ms on a late box.
 */
const ALIVE_BEFORE_START_MS = 150;
/**
 * Time in ms. An endpoint that answered just before a start was sent and at which nobody
 * listened so shortly after it ended as the start came: a task that ends endpoints at
 * its start is never confirmed.
 */
const ENDED_AT_START_MS = 100;
/**
 * An endpoint that has answered within this time, in ms, is alive: the longest wait
 * of a look and the slack that it gets.
 */
const RECENT_ANSWER_MS = 2800;

/**
 * Time in ms. A look that waits at an endpoint breaks as it crashes, and the next one
 * or the one after it (0.3 s later) is refused. Where an endpoint answered nobody for
 * longer before it was found dead, a run may have ended untold in between.
 */
const MAX_UNREPORTED_MS = 350;

/** What shows that a life has ended. */
export enum EndProof {
  OtherEndpointAnswers = "another one answers there",
  Restarted = "another life answers under its id",
  /** Its lease is out and it is not listed, so it is not only busy. */
  ConnectionRefused = "nobody listens there",
}

/** What the end of a life works with. */
export interface EndEvidenceOptions {
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  readonly ref: Ports.EndpointRef;
  /** Which endpoints have fallen silent or crashed; one for all sessions. */
  readonly silences: silences.SilenceLog;
}

/** What is known of the end of one life, before it comes and when it has come. */
export class EndEvidence {
  readonly #clock: Ports.Clock;
  readonly #log: Logger.Logger;
  readonly #ref: Ports.EndpointRef;
  readonly #silences: silences.SilenceLog;
  /** Our time of its last answer to a look. */
  #answeredAtMs = Number.NEGATIVE_INFINITY;
  /** Our time at which nobody listened there any more; infinite for never. */
  #refusedAtMs = Number.POSITIVE_INFINITY;
  /**
   * Our time since which it may have ended runs untold; infinite while a look tells of
   * each end.
   */
  #unreportedSinceMs = Number.POSITIVE_INFINITY;
  /** Whether it is known to leave, so that its end is no crash. */
  #isLeaving = false;

  constructor({ clock, log, ref, silences }: EndEvidenceOptions) {
    this.#clock = clock;
    this.#log = log;
    this.#ref = ref;
    this.#silences = silences;
  }

  /** It has answered. */
  noteAnswered(): void {
    this.#answeredAtMs = this.#clock.monotonicMs();
    this.#refusedAtMs = Number.POSITIVE_INFINITY;
    this.#unreportedSinceMs = Number.POSITIVE_INFINITY;
  }

  /**
   * An order had no answer. One that broke was open until then, and so was a look that
   * would have told of ends; one that fell silent may have been so since the last answer.
   */
  noteUnanswered(isBroken: boolean): void {
    if (Number.isFinite(this.#unreportedSinceMs)) return;
    this.#unreportedSinceMs = isBroken
      ? this.#clock.monotonicMs()
      : this.#answeredAtMs;
  }

  /** Nobody listens at its address: it has ended by now, and is not just cut off. */
  noteRefused(): void {
    const nowMs = this.#clock.monotonicMs();
    this.#refusedAtMs = Math.min(this.#refusedAtMs, nowMs);
  }

  /** Whether nobody listened at its address when it was asked last. */
  get isRefused(): boolean {
    return Number.isFinite(this.#refusedAtMs);
  }

  /** Whether it was going to leave. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** It is listed, and tells whether it is going to leave. */
  noteListed(isDraining: boolean): void {
    this.#isLeaving = isDraining;
  }

  /**
   * It is listed no more. Some leave without a word, and serve on: one that still
   * answers has not crashed.
   */
  noteUnlisted(isReachable: boolean): void {
    const heardBeforeMs = this.#clock.monotonicMs() - this.#answeredAtMs;
    this.#isLeaving ||= isReachable && heardBeforeMs <= RECENT_ANSWER_MS;
  }

  /**
   * It is shown to have ended, as entries and silence alone never do. Returns how runs ended of which it is so sure that they were there.
   */
  end(
    proof: EndProof,
    runs: readonly assignments.Occupant[],
    ended: readonly unreportedRuns.UnheardRun[],
  ): (presence: Workflow.Presence) => listeners.SessionEnd {
    if (runs.length + ended.length > 0) this.#logEnd(proof, runs, ended);
    if (this.#isLeaving) {
      return () => listeners.lost(listeners.LostCause.Left);
    }
    const victims = [
      ...runs.map((one) => ({
        task: one.task,
        run: one.run,
        presence: this.presenceOf(one, this.#clock.monotonicMs()),
      })),
      ...ended,
    ];
    const wasAlone = isOneTaskOrGang(victims.map(({ task }) => task));
    const fellows = this.#silences.noteCrash(this.#ref, victims);
    return (presence) => listeners.crashed({ wasAlone, fellows, presence });
  }

  /** One line with all that tells a crash under a run from one before its start. */
  #logEnd(
    proof: EndProof,
    runs: readonly assignments.Occupant[],
    ended: readonly unreportedRuns.UnheardRun[],
  ): void {
    const { id, address } = this.#ref;
    const answered = this.#ago(this.#answeredAtMs);
    const silent = this.#ago(this.#silences.silentSinceMs(this.#ref));
    const leaving = this.#isLeaving ? "; it was going to leave" : "";
    const descriptions = [
      ...runs.map((one) => this.#describeRun(one)),
      ...ended.map(({ task, run }) => `${task.name} run ${run}, given up`),
    ];
    this.#log.info(
      `Endpoint ${id} at ${address} has ended, as ${proof}: last heard ` +
        `${answered}, silent since ${silent}${leaving}. It had ` +
        `${descriptions.join("; ")}.`,
    );
  }

  #describeRun(assignment: assignments.Occupant): string {
    const { task, run, sentAtMs } = assignment;
    const isConfirmed = assignments.isConfirmed(assignment) ||
      task.confirmedRun === run;
    const sent = sentAtMs === null ? "by an earlier term" : this.#ago(sentAtMs);
    return `${task.name} run ${run}, sent ${sent}, ` +
      (isConfirmed ? "seen there" : "never seen there");
  }

  /** A time of ours, as a text: how long ago it was. */
  #ago(atMs: number | null): string {
    if (atMs === null || !Number.isFinite(atMs)) return "never";
    return `${Math.round(this.#clock.monotonicMs() - atMs)} ms ago`;
  }

  /**
   * How sure it is that a run was under way when the endpoint crashed, if it did so
   * by this time of ours at the latest.
   */
  presenceOf(
    assignment: assignments.Occupant,
    crashedByMs: number,
  ): Workflow.Presence {
    const { sentAtMs, task, run } = assignment;
    if (assignments.isConfirmed(assignment)) {
      return this.#presenceConfirmedHere(assignment, crashedByMs);
    }
    if (task.confirmedRun === run) {
      return this.#presenceConfirmedEarlier(task, crashedByMs);
    }
    // Its record was written before the order left: perhaps none ever did.
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
   * An earlier coordinator saw it there. What it saw says nothing of the time after
   * the run was done: that it was, may be what nobody was told of.
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
   * One that was seen there was under way if its time was not up when the endpoint
   * had surely crashed, and nothing else may have ended it before. Where that is not
   * known, it is likely if its time was not up at the last answer: an endpoint that is
   * cut off, runs on and crashes then is rarer than one that just crashes.
   */
  #presenceConfirmedHere(
    assignment: assignments.Occupant,
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
   * When a run is done by its pace, or by its estimate before it was looked at. An answer
   * that tells no end after the estimate was up shows that the estimate was wrong.
   */
  #endsAtMs(assignment: assignments.Occupant): number {
    const endsMs = assignments.expectedEndMs(assignment);
    const hasOutlastedEstimate = assignment.task.endsAtMs === null &&
      this.#answeredAtMs > endsMs;
    return hasOutlastedEstimate ? Number.POSITIVE_INFINITY : endsMs;
  }

  /**
   * Whether a run may have ended by itself before its endpoint did: it was being stopped,
   * or another member of its gang had ended, or only its estimate tells how long it takes
   * and its endpoint had answered nobody for a while.
   */
  #mayHaveEndedBefore(
    { task, run, stoppingSinceMs, expectedSinceMs }: assignments.Occupant,
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
    task.step.gang ? task.workflow.siblings(task) : task
  );
  return new Set<unknown>(units).size === 1;
}
