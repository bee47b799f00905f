/** Orders to endpoints that share the processor of their box with other calls. */
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as processors from "./busy_processor.ts";

/** Forwards orders; each order and each answer needs processor time. */
export class BusyTaskEndpoints extends Ports.TaskEndpoints {
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
