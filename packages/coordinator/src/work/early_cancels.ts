/**
 * Cancel requests for workflows that no partition held. The write of a submission may
 * take effect seconds after it was sent, so the workflow may still come; it must not
 * start then.
 */
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as intake from "./intake.ts";
import type * as removers from "./row_remover.ts";

interface TrackedCancel {
  readonly request: intake.EarlyCancel;
  /** Monotonic time at which this term has read it. */
  readonly readAtMs: number;
}

/** Early cancels of one term. */
export class EarlyCancels {
  readonly #remover: removers.RowRemover;
  /** By workflow id, then by key. */
  readonly #byId = new Map<string, Map<string, TrackedCancel>>();

  constructor(remover: removers.RowRemover) {
    this.#remover = remover;
  }

  /** Adds a request that was read. */
  add(request: intake.EarlyCancel, nowMs: number): void {
    const tracked = this.#byId.get(request.id) ?? new Map();
    this.#byId.set(request.id, tracked);
    if (tracked.has(request.key)) return;
    tracked.set(request.key, { request, readAtMs: nowMs });
  }

  /** Whether a request applies to a workflow: another team's does not. */
  appliesTo(spec: Workflow.WorkflowSpec): boolean {
    return this.#trackedOf(spec.id).some(({ request }) =>
      Workflow.isInScope(request.scope, spec)
    );
  }

  /** Removes the requests for one workflow. */
  removeOf(id: string): Effect.Effect<void, removers.RemovalFailure> {
    return this.#remove(this.#trackedOf(id));
  }

  /** Removes requests that were read before a time, unless their workflow has come. */
  removeExpired(
    readBeforeMs: number,
    hasCome: (id: string) => boolean,
  ): Effect.Effect<void, removers.RemovalFailure> {
    const expired = [...this.#byId.keys()].filter((id) => !hasCome(id))
      .flatMap((id) => this.#trackedOf(id))
      .filter(({ readAtMs }) => readAtMs < readBeforeMs);
    return this.#remove(expired);
  }

  #trackedOf(id: string): readonly TrackedCancel[] {
    return [...this.#byId.get(id)?.values() ?? []];
  }

  #remove(
    expired: readonly TrackedCancel[],
  ): Effect.Effect<void, removers.RemovalFailure> {
    const requests = expired.map(({ request }) => request);
    const partitions = [...new Set(requests.map((one) => one.partition))];
    return Effect.forEach(
      partitions,
      (partition) => {
        const removed = requests.filter((one) => one.partition === partition);
        return Effect.map(
          this.#remover.remove(partition, removed.map(({ key }) => key)),
          () => this.#forget(removed),
        );
      },
      { discard: true },
    );
  }

  #forget(requests: readonly intake.EarlyCancel[]): void {
    for (const { id, key } of requests) {
      const tracked = this.#byId.get(id);
      tracked?.delete(key);
      if (tracked?.size === 0) this.#byId.delete(id);
    }
  }
}
