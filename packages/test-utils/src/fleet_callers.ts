/** Calls to a test fleet as its callers make them. */
import * as Effect from "effect/Effect";
import type * as fleets from "./test_fleet.ts";

/** A request to cancel a workflow. */
export interface CancelCall {
  /** Name of the box that receives the request. */
  readonly at: string;
  readonly id: string;
  /** Defaults to 1. */
  readonly priority?: number;
  /** Team of the caller; defaults to hana. */
  readonly tenant?: string;
}

/**
 * Cancels a workflow through a box. Returns the time of the acknowledgement in ms, or
 * the tag of the error.
 */
export async function cancelAt(
  fleet: fleets.TestFleet,
  { at, id, priority = 1, tenant = "hana" }: CancelCall,
): Promise<number | string> {
  const { access, submissions } = fleet.box(at);
  const path = `/p${priority}/${id}`;
  const request = { host: "jobs.example", path, key: `key-of-${tenant}` };
  const call = Effect.gen(function* () {
    const allowed = yield* access.check(request);
    yield* submissions.cancel(allowed, id);
    return fleet.clock.monotonicMs();
  });
  return await fleet.run(
    Effect.catch(call, (err) => Effect.succeed<number | string>(err._tag)),
  );
}
