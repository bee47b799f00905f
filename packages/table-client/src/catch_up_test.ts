/** Much has changed while a follower could not look, and its link is slow. */
import * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as vitest from "vitest";
import * as followers from "./row_follower.ts";

/** Size of one row, in KB: a usual workflow with its steps. */
const ROW_KB = 5;
/** Rows that change while the follower hears nothing. */
const BACKLOG_ROWS = 400;
/** What the stores that we know give at once. */
const MAX_ANSWER_KB = 1000;
/** Time that a kilobyte takes, in ms: 10 Mbit/s, half of that, and 4 Mbit/s. */
const LINKS_MS_PER_KB: readonly number[] = [0.8, 1.6, 2];

/** Answers with all that has changed, up to a limit, over a slow link. */
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

vitest.describe("a follower that is far behind", () => {
  for (const msPerKb of LINKS_MS_PER_KB) {
    vitest.it(`catches up at ${msPerKb} ms a KB`, async () => {
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
