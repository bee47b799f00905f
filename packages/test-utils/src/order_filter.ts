/** Loses orders to endpoints by the term that sends them. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as fleets from "./test_fleet.ts";

/** Loses each order that does not pass the filter, without executing it. */
export function filterOrders(
  { workers }: fleets.TestFleet,
  passes: (endpoint: string, fencingToken: number) => boolean,
): void {
  const filter = <A>(
    { id }: Ports.EndpointRef,
    fencingToken: number,
    order: Effect.Effect<A, Ports.OrderError>,
  ): Effect.Effect<A, Ports.OrderError> => {
    if (passes(id, fencingToken)) return order;
    const lost = { worker: id, cause: "cut off", neverSent: false };
    return Effect.fail(new Errors.WorkerLostError(lost));
  };
  const start = workers.start.bind(workers);
  const stop = workers.stop.bind(workers);
  const renew = workers.renew.bind(workers);
  workers.start = (ref, order) =>
    filter(ref, order.fencingToken, start(ref, order));
  workers.stop = (ref, order) =>
    filter(ref, order.fencingToken, stop(ref, order));
  workers.renew = (ref, order) =>
    filter(ref, order.fencingToken, renew(ref, order));
}
