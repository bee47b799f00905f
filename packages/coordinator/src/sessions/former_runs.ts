/**
 * Runs that former lives of one endpoint had, as far as it is known: how each of them
 * ends unless the present life shows it. An order for a former life may be carried
 * out late, in the present one; so a run is over only where an answer of the present
 * life, asked for after it was told to stop that run, does not show it.
 */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import type * as helds from "./held_runs.ts";
import * as lifeEnds from "./life_end.ts";
import type * as looses from "./loose_starts.ts";
import * as occupants from "./occupant.ts";
import type * as listeners from "./session_listener.ts";
import * as strays from "./stray_runs.ts";
import type * as unheards from "./unheard_runs.ts";

/** A run of a task. */
export interface FormerRun {
  readonly task: Workflow.Task;
  readonly run: number;
}

/** What they work with. */
export interface FormerRunsOptions {
  readonly clock: Ports.Clock;
  readonly held: helds.HeldRuns;
  readonly unheard: unheards.UnheardRuns;
  readonly loose: looses.LooseStarts;
  /** Tells the present life to stop a run that is still waited for. */
  readonly seal: (occupant: occupants.Occupant) => void;
  /** The same for a run that nobody waits for. */
  readonly sealLoose: (run: Ports.RunRef) => void;
}

/** The answer of a life, beside what was known before it. */
export interface LifeAnswer {
  readonly view: Ports.EndpointView;
  /** Whether this life has begun since the known one answered last. */
  readonly isLater: boolean;
  /** Whether none was known: starts may have been sent to one at another address. */
  readonly isFirst: boolean;
  /** What is known of the end of the life before. */
  readonly lifeEnd: lifeEnds.LifeEnd;
  /** Whether that end was taken in already. */
  readonly hasEnded: boolean;
}

/** Those of one endpoint. */
export class FormerRuns {
  readonly #options: FormerRunsOptions;
  readonly #ends = new Map<string, listeners.SessionEnd>();

  constructor(options: FormerRunsOptions) {
    this.#options = options;
  }

  /** Whether a life that has ended had it, and the present one has not shown it. */
  has(run: FormerRun): boolean {
    return this.#ends.has(nameOf(run));
  }

  /** How a run ended with the life that had it; null where it is none of these. */
  take(run: FormerRun): listeners.SessionEnd | null {
    const end = this.#ends.get(nameOf(run)) ?? null;
    this.#ends.delete(nameOf(run));
    return end;
  }

  /**
   * Runs that were sent to another life than the one that answers, and that this one
   * does not show, have ended with that life. Orders of ours that had no answer may
   * still reach the present life: it is told to stop these runs before they are over.
   */
  endUnshown(answer: LifeAnswer): void {
    const { held, unheard } = this.#findUnshown(answer.view);
    const hasNone = held.length + unheard.length === 0;
    const { isLater, isFirst, hasEnded, lifeEnd } = answer;
    if (!hasNone || (isLater && !hasEnded)) this.#end(held, unheard, lifeEnd);
    if (isLater || isFirst) this.#sealLoose(held);
  }

  #findUnshown({ bornMs, held, ended }: Ports.EndpointView) {
    const { held: known, unheard } = this.#options;
    const sentElsewhere = known.all.filter((one) =>
      occupants.isOfOtherLife(one, bornMs)
    );
    const givenUp = unheard.all.filter((one) =>
      one.bornMs !== null && one.bornMs !== bornMs
    );
    const isNone = sentElsewhere.length + givenUp.length === 0;
    const shown = new Set(isNone ? [] : [...held, ...ended].map(strays.nameOf));
    const isGone = (one: FormerRun) =>
      !shown.has(nameOf(one)) && !this.has(one);
    return {
      held: sentElsewhere.filter(isGone),
      unheard: givenUp.filter(isGone),
    };
  }

  #end(
    held: readonly occupants.Occupant[],
    unheard: readonly unheards.UnheardRun[],
    lifeEnd: lifeEnds.LifeEnd,
  ): void {
    const { clock, seal } = this.#options;
    const nowMs = clock.monotonicMs();
    const sign = lifeEnds.LifeEndSign.BeganAgain;
    const endOf = lifeEnd.end(sign, held, unheard);
    for (const one of held) {
      this.#ends.set(nameOf(one), endOf(lifeEnd.presenceOf(one, nowMs)));
      // What an earlier coordinator sent, the present life takes no more.
      if (one.sentAtMs !== null) seal(one);
    }
    for (const one of unheard) {
      this.#ends.set(nameOf(one), endOf(one.presence));
    }
  }

  #sealLoose(held: readonly occupants.Occupant[]): void {
    const isSealed = new Set(held.map(nameOf));
    for (const run of this.#options.loose.all) {
      if (!isSealed.has(strays.nameOf(run))) this.#options.sealLoose(run);
    }
  }
}

/** Name of a run, as endpoints name it. */
function nameOf({ task, run }: FormerRun): string {
  return strays.nameOf({ task: task.name, run });
}
