/** Measures the memory that the workflows of one term take, by their estimates. */
import * as Admission from "@cairngate/admission";
import type * as ports from "../ports.ts";

/** Time constant of the average of what is freed, in ms. */
const FREED_WINDOW_MS = 60_000;

/** Memory of the workflows of one term. */
export class MemoryMeter {
  readonly #ports: Pick<
    ports.CoordinatorPorts,
    "clock" | "metrics" | "workMemoryBytes"
  >;
  #heldBytes = 0;
  /** Decaying sum of what was freed. */
  #freedBytes = 0;
  #decayedAtMs: number;

  constructor(
    meterPorts: Pick<
      ports.CoordinatorPorts,
      "clock" | "metrics" | "workMemoryBytes"
    >,
  ) {
    this.#ports = meterPorts;
    this.#decayedAtMs = meterPorts.clock.monotonicMs();
    const { metrics, workMemoryBytes: limit } = meterPorts;
    if (Number.isFinite(limit)) {
      metrics.set("cairngate_work_memory_limit_bytes", limit);
    }
    this.#report();
  }

  /** Adds a workflow that was registered. */
  add(bytes: number): void {
    this.#heldBytes += bytes;
    this.#report();
  }

  /** Subtracts a workflow that was removed. */
  remove(bytes: number): void {
    this.#decay();
    this.#heldBytes -= bytes;
    this.#freedBytes += bytes;
    this.#report();
  }

  /** Current use, as shares of the limit. */
  get use(): Admission.MemoryUse {
    this.#decay();
    const limit = this.#ports.workMemoryBytes;
    return {
      heldShare: this.#heldBytes / limit,
      freedShare: this.#freedBytes / limit,
    };
  }

  #decay(): void {
    const nowMs = this.#ports.clock.monotonicMs();
    const elapsedMs = nowMs - this.#decayedAtMs;
    this.#freedBytes *= Math.exp(-elapsedMs / FREED_WINDOW_MS);
    this.#decayedAtMs = nowMs;
  }

  #report(): void {
    const { metrics, workMemoryBytes: limit } = this.#ports;
    metrics.set("cairngate_work_memory_bytes", this.#heldBytes);
    metrics.set("cairngate_work_memory_share", this.#heldBytes / limit);
  }
}

/** Use to publish; null if it is too low to matter to other boxes. */
export function publishedUse(
  uses: readonly (Admission.MemoryUse | null)[],
): Admission.MemoryUse | null {
  const known = uses.filter((use) => use !== null);
  const heldShare = Math.max(0, ...known.map((use) => use.heldShare));
  if (heldShare < Admission.MIN_PUBLISHED_SHARE) return null;
  const freedShare = Math.max(0, ...known.map((use) => use.freedShare));
  return { heldShare, freedShare };
}
