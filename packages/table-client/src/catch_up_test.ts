/**
 * A follower has to catch up after an outage over a slow link. Answers with many
 * changes take longer than the usual timeout, so repeating the poll with the same
 * timeout would never succeed.
 */
import * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as vitest from "vitest";
import * as followers from "./row_follower.ts";

/** Size of one row, in KB: a typical workflow with its steps. */
const ROW_KB = 5;
/** Rows that change while the follower gets no answers. */
const BACKLOG_ROWS = 400;
/** Largest answer of a store, in KB. */
const MAX_ANSWER_KB = 1000;
/** Transfer time of a kilobyte, in ms: 10 Mbit/s, half of that, and 4 Mbit/s. */
const LINKS_MS_PER_KB: readonly number[] = [0.8, 1.6, 2];

/** Returns all changes up to a size limit over a slow link. */
class SlowFeed extends Ports.RowFeed<string> {
  override readonly partitions = ["a"];
  readonly #clock: Ports.Clock;
  readonly #msPerKb: number;
  revision = 1;
  isSilent = false;

  constructor(clock: Ports.Clock, msPerKb: number) {
    super();
    this.#clock = clock;
    this.#msPerKb = msPerKb;
  }

  override page() {
    return Effect.succeed({ items: [], next: null, position: 1 });
  }

  override changes(position: number, waitMs: number) {
    return Effect.gen({ self: this }, function* () {
      if (this.isSilent) return yield* Effect.never;
      if (position >= this.revision) yield* this.#clock.sleep(waitMs);
      const maxRows = MAX_ANSWER_KB / ROW_KB;
      const count = Math.min(maxRows, this.revision - position);
      yield* this.#clock.sleep(count * ROW_KB * this.#msPerKb);
      const entries = Array.from({ length: count }, (_, i) => ({
        key: `a/${position + i + 1}`,
        value: "x",
      }));
      return { entries, position: position + count };
    });
  }
}

vitest.describe("a follower with a large backlog", () => {
  for (const msPerKb of LINKS_MS_PER_KB) {
    vitest.it(`catches up at ${msPerKb} ms per KB`, async () => {
      const clock = new TestUtils.FakeClock();
      const feed = new SlowFeed(clock, msPerKb);
      let reportedCount = 0;
      const follower = new followers.RowFollower<string>({
        feed,
        clock,
        random: new TestUtils.SeededRandom(1),
        waitMs: 1000,
        onChange: (entries) => {
          reportedCount += entries.length;
        },
      });
      const fiber = Effect.runFork(follower.run());
      await clock.advance(500);
      feed.isSilent = true;
      await clock.advance(3000);
      feed.revision = 1 + BACKLOG_ROWS;
      feed.isSilent = false;
      const isDone = () => reportedCount === BACKLOG_ROWS;
      vitest.expect(await clock.advanceUntil(isDone, 10_000)).toBe(true);
      await Effect.runPromise(Fiber.interrupt(fiber));
    });
  }
});
