/** Tracks recent arrivals of urgent work to predict the next ones. */
import type * as Workflow from "@cairngate/workflow";
import * as rank from "./rank.ts";
import type * as reserveSize from "./reserve_size.ts";

interface Arrival {
  readonly service: string;
  readonly atWallMs: number;
  readonly accelerators: number;
}

/**
 * Window over which arrivals are counted, in ms: demand changes within about 10 s, and
 * a new coordinator has to measure it within seconds.
 */
const WINDOW_MS = 8000;
/** Most arrivals that are kept; the oldest are dropped first. */
const MAX_ARRIVALS = 1000;
/** Quantile of the accelerator counts that defines a wide unit. */
const WIDE_QUANTILE = 0.9;

/** Counts urgent workflows that were accepted in the last seconds. */
export class UrgentArrivals {
  readonly #seen = new WeakSet<Workflow.Workflow>();
  #arrivals: Arrival[] = [];

  /** Records urgent workflows that it has not seen before. */
  record(workflows: Iterable<Workflow.Workflow>): void {
    for (const workflow of workflows) {
      if (workflow.spec.policy.priority > 0) continue;
      if (this.#seen.has(workflow)) continue;
      this.#seen.add(workflow);
      this.#arrivals.push(arrivalOf(workflow));
    }
    if (this.#arrivals.length <= MAX_ARRIVALS) return;
    this.#arrivals = this.#arrivals.slice(-MAX_ARRIVALS);
  }

  /** Recent urgent traffic of a service. */
  trafficOf(service: string, wallMs: number): reserveSize.UrgentTraffic {
    this.#arrivals = this.#arrivals.filter(({ atWallMs }) =>
      atWallMs > wallMs - WINDOW_MS
    );
    const ofService = this.#arrivals.filter((one) => one.service === service);
    const widths = ofService.map(({ accelerators }) => accelerators)
      .sort((a, b) => a - b);
    const sum = widths.reduce((total, one) => total + one, 0);
    return {
      acceleratorsPerSecond: sum * 1000 / WINDOW_MS,
      wideAccelerators:
        widths[Math.floor((widths.length - 1) * WIDE_QUANTILE)] ??
          0,
    };
  }
}

function arrivalOf(workflow: Workflow.Workflow): Arrival {
  const { policy, acceptedAtMs } = workflow.spec;
  return {
    service: policy.service,
    atWallMs: acceptedAtMs,
    accelerators: rank.acceleratorsOf(workflow),
  };
}
