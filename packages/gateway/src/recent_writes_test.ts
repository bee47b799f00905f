/**
 * Guards against the rejection of a job that is stored and runs. A box writes a job and
 * gets no answer, the caller submits it again, and the box looks it up before the store
 * has carried out the first write. So the box treats a job as possibly stored once it
 * has begun to write it.
 */
import * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as vitest from "vitest";
import * as writes from "./recent_writes.ts";

const ID = "a000000000000001";

function failure(perhapsDone: boolean): Errors.StoreUnavailableError {
  const operation = "write";
  return new Errors.StoreUnavailableError({
    operation,
    cause: "no answer",
    perhapsDone,
  });
}

vitest.describe("a workflow that this box has begun to write", () => {
  vitest.it(
    "may be stored while the write is pending or was interrupted",
    async () => {
      const recent = new writes.RecentWrites();
      const fiber = Effect.runFork(recent.track(ID, Effect.never));
      vitest.expect(recent.mayBeStored(ID)).toBe(true);
      await Effect.runPromise(Fiber.interrupt(fiber));
      vitest.expect(recent.mayBeStored(ID)).toBe(true);
    },
  );

  vitest.it(
    "may be stored unless the failure proves that it is not",
    async () => {
      const recent = new writes.RecentWrites();
      const stateAfter = async (
        id: string,
        write: Effect.Effect<void, Errors.StoreUnavailableError>,
      ) => {
        await Effect.runPromise(Effect.ignore(recent.track(id, write)));
        return recent.mayBeStored(id);
      };
      vitest.expect(await stateAfter("stored", Effect.void)).toBe(true);
      const uncertain = Effect.fail(failure(true));
      vitest.expect(await stateAfter("perhaps", uncertain)).toBe(true);
      const certain = Effect.fail(failure(false));
      vitest.expect(await stateAfter("not stored", certain)).toBe(false);
    },
  );
});
