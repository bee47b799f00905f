/**
 * A caller hands a job in, the box writes it and gets no answer; the caller tries
 * again, and the box looks before the store has carried the write out. A rejection
 * would be untrue some milliseconds later: the job is stored then, and runs. So a box
 * counts what it has begun to write as perhaps stored.
 */
import * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as vitest from "vitest";
import * as writes from "./known_filings.ts";

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
    "may be stored while the write is under way or broke off",
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
      const perhaps = Effect.fail(failure(true));
      vitest.expect(await stateAfter("perhaps", perhaps)).toBe(true);
      const surely = Effect.fail(failure(false));
      vitest.expect(await stateAfter("not stored", surely)).toBe(false);
    },
  );
});
