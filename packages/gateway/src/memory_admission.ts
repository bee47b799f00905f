/**
 * Rejects workflows for which the coordinator has no memory, as far as this box knows,
 * and tells operators when that begins and ends.
 */
import * as Admission from "@cairngate/admission";
import type * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";

/** Options of MemoryAdmission. */
export interface MemoryAdmissionOptions {
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  /** Memory for all accepted workflows, in bytes. */
  readonly limitBytes: number;
  readonly knownUse: () => Admission.KnownMemoryUse;
  /** Number of boxes that accept workflows, this one included. */
  readonly countBoxes: () => number;
}

/**
 * Time from the acceptance of a workflow after which a renewal surely counts it, in ms.
 */
const MAX_COUNTING_MS = 1000;
/** Time without a rejection after which rejecting has ended, in ms. */
const CALM_MS = 10_000;
const BYTES_PER_MB = 1_000_000;

/** Admission by memory at one box. */
export class MemoryAdmission {
  readonly #options: MemoryAdmissionOptions;
  #notedAtMs = Number.NEGATIVE_INFINITY;
  /** Bytes accepted since the newest renewal, and between the two newest ones. */
  #acceptedBytes = { current: 0, previous: 0 };
  #acceptedAtMs = Number.NEGATIVE_INFINITY;
  #rejections = 0;
  #lastRejectionAtMs: number | null = null;

  constructor(options: MemoryAdmissionOptions) {
    this.#options = options;
  }

  /**
   * Returns the time after which a workflow may be submitted again, in ms; null if
   * there is memory for it.
   */
  findWaitMs(spec: Workflow.WorkflowSpec): number | null {
    const { limitBytes, clock } = this.#options;
    const { use } = this.#updateKnownUse();
    const neededBytes = Workflow.estimateBytes(spec);
    const reservedBytes = this.#reservedBytes;
    const waitMs = Admission.findMemoryWaitMs({
      neededBytes,
      limitBytes,
      use,
      reservedBytes,
    });
    this.#noteDecision(waitMs !== null, use);
    if (waitMs !== null) this.#lastRejectionAtMs = clock.monotonicMs();
    return waitMs;
  }

  /** Counts a workflow that is about to be stored. */
  noteAccepted(spec: Workflow.WorkflowSpec): void {
    this.#updateKnownUse();
    this.#acceptedBytes.current += Workflow.estimateBytes(spec);
    this.#acceptedAtMs = this.#options.clock.monotonicMs();
  }

  /** Memory of workflows that the newest renewal may not count yet, in bytes. */
  get #reservedBytes(): number {
    const { clock, countBoxes } = this.#options;
    const { current, previous } = this.#acceptedBytes;
    const ageMs = clock.monotonicMs() - this.#notedAtMs;
    // Without a coordinator, nobody counts what the other boxes accept.
    const boxes = ageMs > Admission.STALE_MS ? countBoxes() : 1;
    return (current + previous) * boxes;
  }

  #updateKnownUse(): Admission.KnownMemoryUse {
    const known = this.#options.knownUse();
    if (known.notedAtMs !== this.#notedAtMs) {
      this.#notedAtMs = known.notedAtMs;
      const isCounted = known.notedAtMs - this.#acceptedAtMs > MAX_COUNTING_MS;
      const previous = isCounted ? 0 : this.#acceptedBytes.current;
      this.#acceptedBytes = { current: 0, previous };
    }
    return known;
  }

  #noteDecision(isRejected: boolean, use: Admission.MemoryUse | null): void {
    const { clock, log, limitBytes } = this.#options;
    if (isRejected) {
      if (this.#rejections++ > 0) return;
      const percent = Math.round(100 * (use?.heldShare ?? 0));
      const limitMb = Math.round(limitBytes / BYTES_PER_MB);
      log.warn(
        `Workflows are rejected: accepted ones take ${percent}% of the ` +
          `${limitMb} MB that the coordinator may use for them.`,
      );
      return;
    }
    const lastAtMs = this.#lastRejectionAtMs;
    if (lastAtMs === null || clock.monotonicMs() - lastAtMs < CALM_MS) return;
    log.info(
      `Workflows are accepted again after ${this.#rejections} rejections ` +
        `for lack of memory.`,
    );
    this.#rejections = 0;
    this.#lastRejectionAtMs = null;
  }
}
