/**
 * Runs that counted as over before their endpoint had listed an end, and that it
 * shows afterwards. Each of them may have run beside the next run of its task, so the
 * log tells by which evidence it counted as over.
 */
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import type * as assignments from "./occupant.ts";
import * as listeners from "./session_listener.ts";
import * as unexpectedRuns from "./stray_runs.ts";

/** What they work with. */
export interface PrematureEndsOptions {
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
  /** Id of the endpoint. */
  readonly endpoint: string;
}

interface PresumedEnd {
  readonly evidence: string;
  readonly atMs: number;
}

/** Runs are remembered this long, in ms: longer than any lease goes on. */
const RETENTION_MS = 15_000;

/** Those of one endpoint. */
export class PrematureEnds {
  readonly #options: PrematureEndsOptions;
  readonly #presumedEnds = new Map<string, PresumedEnd>();

  constructor(options: PrematureEndsOptions) {
    this.#options = options;
  }

  /** A run is over for the coordinator. */
  noteEnd(
    { task: { name: task }, run, isSent }: assignments.Occupant,
    { how, cause }: listeners.SessionEnd,
  ): void {
    const wasReported = how !== Workflow.RunEnd.Lost &&
      how !== Workflow.RunEnd.Crashed;
    if (wasReported || !isSent) return;
    const atMs = this.#options.clock.monotonicMs();
    const evidence = cause ?? how;
    this.#presumedEnds.set(unexpectedRuns.runName({ task, run }), {
      evidence,
      atMs,
    });
  }

  /** Tells of each run once that an answer shows although it counted as over. */
  checkView({ held, ended }: Ports.EndpointView): void {
    if (this.#presumedEnds.size === 0) return;
    for (const run of held) this.#logOnce(run, "is still there");
    for (const run of ended) this.#logOnce(run, `has ended as ${run.how}`);
    this.#removeExpired();
  }

  #logOnce(reported: Ports.RunRef, what: string): void {
    const name = unexpectedRuns.runName(reported);
    const over = this.#presumedEnds.get(name);
    if (over === undefined) return;
    this.#presumedEnds.delete(name);
    const { clock, log, metrics, endpoint } = this.#options;
    const { evidence, atMs } = over;
    const agoMs = Math.round(clock.monotonicMs() - atMs);
    metrics.count("cairngate_runs_outlived_total", { evidence });
    log.warn(
      `Run ${reported.run} of ${reported.task} counted as over ${agoMs} ms ago ` +
        `(${evidence}), and on ${endpoint} it ${what}.`,
    );
  }

  #removeExpired(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [name, { atMs }] of this.#presumedEnds) {
      if (nowMs - atMs > RETENTION_MS) this.#presumedEnds.delete(name);
    }
  }
}
