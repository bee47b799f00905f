/** Endpoints with a grey failure: every run fails, and contact is lost for a time. */
import type * as fleets from "./test_fleet.ts";

/** Time from a start on a grey endpoint to its failure, in ms. */
export const GREY_FAILS_MS = 40;
/** Time for which a grey endpoint is unreachable after a failed run, in ms. */
const GREY_SILENT_MS = 1500;

/** Endpoints that fail every run and report it late. */
export class GreyEndpoints {
  readonly #ids = new Set<string>();
  readonly #fleet: fleets.TestFleet;

  constructor(fleet: fleets.TestFleet) {
    this.#fleet = fleet;
  }

  /** Makes an endpoint fail every run from now on. */
  add(id: string): void {
    this.#ids.add(id);
  }

  /** Makes all endpoints healthy again. */
  clear(): void {
    this.#ids.clear();
  }

  /** Whether an endpoint fails every run. */
  has(id: string): boolean {
    return this.#ids.has(id);
  }

  /** Whether an endpoint is unreachable because a run failed there recently. */
  isSilent(id: string): boolean {
    if (!this.#ids.has(id)) return false;
    const sinceMs = this.#fleet.clock.monotonicMs() - GREY_SILENT_MS;
    return this.#fleet.workers.runs.some(({ worker, how, endedAtMs }) =>
      worker === id && how === "failed" && (endedAtMs ?? 0) > sinceMs
    );
  }
}
