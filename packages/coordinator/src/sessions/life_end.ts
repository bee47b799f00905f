/**
 * How the life of an endpoint ends: as it was announced, or by a crash, with which
 * the tasks that it held may have something to do.
 */
import type * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as occupants from "./occupant.ts";
import * as listeners from "./session_listener.ts";
import type * as silences from "../endpoints/silence_log.ts";
import type * as unheards from "./unheard_runs.ts";

/**
 * An endpoint that falls silent within this time, in ms, of a start that it did
 * not answer probably had the run: its connections are reset at once when it ends.
 * One that was dark before is found out by looks that time out, which is slower.
 */
const AT_START_MS = 150;
/**
 * An endpoint that has answered within this time, in ms, is alive: the longest wait
 * of a look and the slack that it gets.
 */
const HEARD_LATELY_MS = 2800;

/** How the end of a life became known. */
export enum LifeEndSign {
  /** Another id is listed at its address. */
  OtherListed = "another endpoint is listed at its address",
  /** Another id answered an order that was meant for it. */
  OtherAnswered = "another endpoint answers at its address",
  /** It is neither heard nor listed any more. */
  Gone = "it is neither heard nor listed",
}

/** What the end of a life works with. */
export interface LifeEndOptions {
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  readonly ref: Ports.WorkerRef;
  /** Which endpoints have fallen silent or crashed; one for all sessions. */
  readonly silences: silences.SilenceLog;
}

/** What is known of the end of one life, before it comes and when it has come. */
export class LifeEnd {
  readonly #clock: Ports.Clock;
  readonly #log: Logger.Logger;
  readonly #ref: Ports.WorkerRef;
  readonly #silences: silences.SilenceLog;
  /** Our time of its last answer to a look. */
  #heardAtMs = Number.NEGATIVE_INFINITY;
  /** Whether it is known to leave, so that its end is no crash. */
  #isLeaving = false;

  constructor({ clock, log, ref, silences }: LifeEndOptions) {
    this.#clock = clock;
    this.#log = log;
    this.#ref = ref;
    this.#silences = silences;
  }

  /** It has answered. */
  noteHeard(): void {
    this.#heardAtMs = this.#clock.monotonicMs();
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
    const heardBeforeMs = this.#clock.monotonicMs() - this.#heardAtMs;
    this.#isLeaving ||= isReachable && heardBeforeMs <= HEARD_LATELY_MS;
  }

  /** It has ended; returns how runs ended of which it is so sure that they were there. */
  end(
    sign: LifeEndSign,
    held: readonly occupants.Occupant[],
    unheard: readonly unheards.UnheardRun[],
  ): (presence: Workflow.Presence) => listeners.SessionEnd {
    if (held.length + unheard.length > 0) this.#logEnd(sign, held, unheard);
    if (this.#isLeaving) {
      return () => listeners.lost(listeners.LostCause.Left);
    }
    const tasks = [...held, ...unheard].map(({ task }) => task);
    const wasAlone = isOneUnit(tasks);
    const isExcused = this.#silences.noteCrash(this.#ref, tasks);
    return (presence) => listeners.crashed({ wasAlone, isExcused, presence });
  }

  /** One line with all that tells a crash under a run from one before its start. */
  #logEnd(
    sign: LifeEndSign,
    held: readonly occupants.Occupant[],
    unheard: readonly unheards.UnheardRun[],
  ): void {
    const { id, address } = this.#ref;
    const heard = this.#ago(this.#heardAtMs);
    const silent = this.#ago(this.#silences.silentSinceMs(this.#ref));
    const leaving = this.#isLeaving ? "; it was going to leave" : "";
    const runs = [
      ...held.map((one) => this.#describeHeld(one)),
      ...unheard.map(({ task, run }) => `${task.name} run ${run}, given up`),
    ];
    this.#log.info(
      `Endpoint ${id} at ${address} counts as ended, because ${sign}: last ` +
        `heard ${heard}, silent since ${silent}${leaving}. It had ` +
        `${runs.join("; ")}.`,
    );
  }

  #describeHeld(occupant: occupants.Occupant): string {
    const { task, run, sentAtMs } = occupant;
    const isSeen = occupants.isConfirmed(occupant) ||
      task.confirmedRun === run;
    const sent = sentAtMs === null ? "by an earlier term" : this.#ago(sentAtMs);
    return `${task.name} run ${run}, sent ${sent}, ` +
      (isSeen ? "seen there" : "never seen there");
  }

  /** A time of ours, as a text: how long ago it was. */
  #ago(atMs: number | null): string {
    if (atMs === null || !Number.isFinite(atMs)) return "never";
    return `${Math.round(this.#clock.monotonicMs() - atMs)} ms ago`;
  }

  /** How sure it is that a run was there when the endpoint fell silent. */
  presenceOf(occupant: occupants.Occupant): Workflow.Presence {
    const { sentAtMs, task, run } = occupant;
    const isKnown = occupants.isConfirmed(occupant) ||
      task.confirmedRun === run;
    if (isKnown) return Workflow.Presence.Certain;
    // An earlier coordinator sent it, most likely: its record says so.
    if (sentAtMs === null) return Workflow.Presence.Likely;
    const silentAtMs = this.#silences.silentSinceMs(this.#ref);
    if (silentAtMs === null) return Workflow.Presence.Unknown;
    const afterMs = silentAtMs - sentAtMs;
    return afterMs >= 0 && afterMs <= AT_START_MS
      ? Workflow.Presence.Likely
      : Workflow.Presence.Unknown;
  }
}

/** Whether all tasks were started together: one task, or members of one gang. */
function isOneUnit(tasks: readonly Workflow.Task[]): boolean {
  const units = tasks.map((task) =>
    task.step.gang ? task.workflow.siblings(task) : task
  );
  return new Set<unknown>(units).size === 1;
}
