/**
 * Runs that were presumed ended before their endpoint reported an end, and that it
 * still reports afterwards. Such a run may have run in parallel with the next run of
 * its task, so the log names the evidence on which it was presumed ended.
 */
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import type * as assignments from "./assignment.ts";
import * as listeners from "./session_listener.ts";
import * as unexpectedRuns from "./unexpected_runs.ts";

/** Dependencies of the detection. */
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

/** Time in ms for which presumed ends are kept: longer than any lease lasts. */
const RETENTION_MS = 15_000;

/** Detects premature ends of runs of one endpoint. */
export class PrematureEnds {
  readonly #options: PrematureEndsOptions;
  readonly #presumedEnds = new Map<string, PresumedEnd>();

  constructor(options: PrematureEndsOptions) {
    this.#options = options;
  }

  /** Notes the end of a run; only an end that the endpoint did not report is kept. */
  noteEnd(
    { task: { name: task }, run, isSent }: assignments.Assignment,
    { how, cause }: listeners.RunEndReport,
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

  /** Logs each run once that an answer still reports although it was presumed ended. */
  checkView({ held, ended }: Ports.EndpointReport): void {
    if (this.#presumedEnds.size === 0) return;
    for (const run of held) this.#logOnce(run, "still holds it");
    for (const run of ended) this.#logOnce(run, `reports it as ${run.how}`);
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
      `Run ${reported.run} of ${reported.task} was presumed ended ${agoMs} ms ago ` +
        `(${evidence}), but endpoint ${endpoint} ${what}.`,
    );
  }

  #removeExpired(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [name, { atMs }] of this.#presumedEnds) {
      if (nowMs - atMs > RETENTION_MS) this.#presumedEnds.delete(name);
    }
  }
}
