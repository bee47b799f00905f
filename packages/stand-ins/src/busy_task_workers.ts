/** Orders to endpoints from a box whose processor has other work as well. */
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as processors from "./busy_processor.ts";

/** Passes orders on when the box has time for them and for their answers. */
export class BusyTaskWorkers extends Ports.TaskEndpoints {
  readonly #inner: Ports.TaskEndpoints;
  readonly #processor: processors.BusyProcessor;

  constructor(inner: Ports.TaskEndpoints, processor: processors.BusyProcessor) {
    super();
    this.#inner = inner;
    this.#processor = processor;
  }

  override start(endpoint: Ports.EndpointRef, order: Ports.StartOrder) {
    return this.#work(this.#inner.start(endpoint, order));
  }

  override stop(
    endpoint: Ports.EndpointRef,
    order: Ports.RunRef & { readonly fencingToken: number },
  ) {
    return this.#work(this.#inner.stop(endpoint, order));
  }

  override renew(endpoint: Ports.EndpointRef, order: Ports.RenewOrder) {
    return this.#work(this.#inner.renew(endpoint, order));
  }

  #work<A>(
    order: Effect.Effect<A, Ports.OrderError>,
  ): Effect.Effect<A, Ports.OrderError> {
    const answered = Effect.tap(order, () => this.#processor.use());
    return Effect.andThen(this.#processor.use(), answered);
  }
}
