/** Connects to stand-in endpoints in the same process. */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import type * as workers from "./stand_in_worker.ts";

/** Adapter of the `Workers` port that routes orders by address. */
export class MemoryEndpoints extends Ports.Workers {
  readonly #byEndpoint = new Map<string, workers.StandInEndpoint>();

  /** Adds an endpoint under its address. */
  add(endpoint: string, worker: workers.StandInEndpoint): void {
    this.#byEndpoint.set(endpoint, worker);
  }

  /** Removes an endpoint, which then no longer answers. */
  remove(endpoint: string): void {
    this.#byEndpoint.delete(endpoint);
  }

  override fence(endpoint: string, fence: Types.Fence) {
    return Effect.flatMap(this.#find(endpoint), (w) => w.seal(fence));
  }

  override hold(endpoint: string, order: Types.HoldOrder) {
    return Effect.flatMap(this.#find(endpoint), (w) => w.hold(order));
  }

  override start(endpoint: string, order: Types.TaskOrder) {
    return Effect.flatMap(this.#find(endpoint), (w) => w.start(order));
  }

  override run(endpoint: string, order: Types.HoldOrder) {
    return Effect.flatMap(this.#find(endpoint), (w) => w.run(order));
  }

  override stop(endpoint: string, order: Types.StopOrder) {
    return Effect.flatMap(this.#find(endpoint), (w) => w.stop(order));
  }

  override report(endpoint: string, request: Types.ReportRequest) {
    return Effect.flatMap(this.#find(endpoint), (w) => w.report(request));
  }

  #find(
    endpoint: string,
  ): Effect.Effect<workers.StandInEndpoint, Errors.WorkerLostError> {
    const worker = this.#byEndpoint.get(endpoint);
    if (worker !== undefined) return Effect.succeed(worker);
    return Effect.fail(
      new Errors.WorkerLostError({
        worker: endpoint,
        cause: "connection refused",
        neverSent: true,
      }),
    );
  }
}
