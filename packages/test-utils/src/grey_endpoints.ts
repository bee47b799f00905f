/** Endpoints that fail what they start, and are not heard for a while then. */
import type * as fleets from "./test_fleet.ts";

/** Time from a start on a grey endpoint to its failure, in ms. */
export const GREY_FAILS_MS = 40;
/** Time for which a grey endpoint is not heard after a failure, in ms. */
const GREY_SILENT_MS = 1500;

/** Endpoints that fail what they start, and tell of it late. */
export class GreyEndpoints {
  readonly #ids = new Set<string>();
  readonly #fleet: fleets.TestFleet;

  constructor(fleet: fleets.TestFleet) {
    this.#fleet = fleet;
  }

  /** An endpoint fails whatever it starts from now on. */
  add(id: string): void {
    this.#ids.add(id);
  }

  /** All are well again. */
  clear(): void {
    this.#ids.clear();
  }

  /** Whether an endpoint fails what it starts. */
  has(id: string): boolean {
    return this.#ids.has(id);
  }

  /** Whether a run has failed there lately. */
  isSilent(id: string): boolean {
    if (!this.#ids.has(id)) return false;
    const sinceMs = this.#fleet.clock.monotonicMs() - GREY_SILENT_MS;
    return this.#fleet.workers.runs.some(({ worker, how, endedAtMs }) =>
      worker === id && how === "failed" && (endedAtMs ?? 0) > sinceMs
    );
  }
}
