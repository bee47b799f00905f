/**
 * Runs that counted as over before their endpoint had listed an end, and that it
 * shows afterwards. Each of them may have run beside the next run of its task, so the
 * log tells by which evidence it counted as over.
 */
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import type * as occupants from "./occupant.ts";
import * as listeners from "./session_listener.ts";
import * as strays from "./stray_runs.ts";

/** What they work with. */
export interface OutlivedRunsOptions {
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
  /** Id of the endpoint. */
  readonly endpoint: string;
}

interface OverRun {
  readonly evidence: string;
  readonly atMs: number;
}

/** Runs are remembered this long, in ms: longer than any lease goes on. */
const KEPT_MS = 15_000;

/** Those of one endpoint. */
export class OutlivedRuns {
  readonly #options: OutlivedRunsOptions;
  readonly #over = new Map<string, OverRun>();

  constructor(options: OutlivedRunsOptions) {
    this.#options = options;
  }

  /** A run is over for the coordinator. */
  note(
    { task: { name: task }, run, sent }: occupants.Occupant,
    { how, cause }: listeners.SessionEnd,
  ): void {
    const wasListed = how !== Workflow.RunEnd.Lost &&
      how !== Workflow.RunEnd.Crashed;
    if (wasListed || !sent) return;
    const atMs = this.#options.clock.monotonicMs();
    const evidence = cause ?? how;
    this.#over.set(strays.nameOf({ task, run }), { evidence, atMs });
  }

  /** Tells of each run once that an answer shows although it counted as over. */
  compare({ held, ended }: Ports.EndpointView): void {
    if (this.#over.size === 0) return;
    for (const run of held) this.#tell(run, "is still there");
    for (const run of ended) this.#tell(run, `has ended as ${run.how}`);
    this.#forgetOld();
  }

  #tell(shown: Ports.RunRef, what: string): void {
    const name = strays.nameOf(shown);
    const over = this.#over.get(name);
    if (over === undefined) return;
    this.#over.delete(name);
    const { clock, log, metrics, endpoint } = this.#options;
    const { evidence, atMs } = over;
    const agoMs = Math.round(clock.monotonicMs() - atMs);
    metrics.count("cairngate_runs_outlived_total", { evidence });
    log.warn(
      `Run ${shown.run} of ${shown.task} counted as over ${agoMs} ms ago ` +
        `(${evidence}), and on ${endpoint} it ${what}.`,
    );
  }

  #forgetOld(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [name, { atMs }] of this.#over) {
      if (nowMs - atMs > KEPT_MS) this.#over.delete(name);
    }
  }
}
