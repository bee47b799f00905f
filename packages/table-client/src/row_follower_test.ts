/** Follows rows by partition while single partitions fail or change. */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as vitest from "vitest";
import * as followers from "./row_follower.ts";

type Page = Ports.FeedPage<string>;

const DOWN = new Errors.StoreUnavailableError({
  operation: "scan",
  cause: "outage",
});

/** A feed that returns the pages set by a test. */
class ScriptedFeed extends Ports.RowFeed<string> {
  override readonly partitions = ["a", "b"];
  /** Pages of the readable partitions. */
  readonly pages = new Map<string, Page & { readonly next?: string }>();
  /** If set, polls last for the requested wait. */
  clock: Ports.Clock | null = null;
  /** Start of each requested page after the first. */
  readonly continuedFrom: string[] = [];
  /** Answers to the next polls for changes. */
  readonly changePages: (Page | "lost")[] = [];
  /** Positions of the polls. */
  readonly polledPositions: number[] = [];

  override page(partition: string, { from }: Ports.PageRequest) {
    const page = this.pages.get(partition);
    if (from !== null) this.continuedFrom.push(from);
    // A test sets one page at a time; requesting the same page again fails.
    const isNext = from === null || page?.next === undefined;
    if (page === undefined || !isNext) return Effect.fail(DOWN);
    const { entries: items, position, next = null } = page;
    return Effect.succeed({ items, position, next });
  }

  override changes(position: number, waitMs: number) {
    const wait = this.clock?.sleep(waitMs) ?? Effect.void;
    return Effect.andThen(wait, Effect.suspend(() => this.#answer(position)));
  }

  #answer(position: number) {
    this.polledPositions.push(position);
    const page = this.changePages.shift() ?? { entries: [], position };
    if (page === "lost") {
      return Effect.fail(new Errors.HistoryLostError({ position }));
    }
    return Effect.succeed(page);
  }
}

function pageOf(position: number, ...keys: string[]): Page {
  return { position, entries: keys.map((key) => ({ key, value: key })) };
}

function follow() {
  const clock = new TestUtils.FakeClock();
  const feed = new ScriptedFeed();
  const reported: string[] = [];
  const follower = new followers.RowFollower<string>({
    feed,
    clock,
    random: new TestUtils.SeededRandom(1),
    waitMs: 1000,
    onChange: (entries) => {
      for (const { key, value } of entries) {
        reported.push(value === null ? `-${key}` : key);
      }
    },
  });
  const step = async () => {
    const done = Effect.runPromise(follower.step());
    await clock.advance(500);
    await done;
  };
  return { feed, reported, follower, step, clock };
}

vitest.describe("RowFollower", () => {
  vitest.it(
    "follows changes from the oldest position of the partitions",
    async () => {
      const { feed, reported, step } = follow();
      feed.pages.set("a", pageOf(7, "a/1"));
      feed.pages.set("b", pageOf(5, "b/1"));
      await step();
      await step();
      vitest.expect(reported).toEqual(["a/1", "b/1"]);
      vitest.expect(feed.polledPositions).toEqual([5]);
    },
  );

  vitest.it("reports changes while one partition cannot be read", async () => {
    const { feed, reported, follower, step } = follow();
    feed.pages.set("a", pageOf(7, "a/1"));
    await step();
    vitest.expect(follower.hasRead("a")).toBe(true);
    vitest.expect(follower.hasSnapshot).toBe(false);
    feed.changePages.push(pageOf(8, "a/2"));
    await step();
    vitest.expect(reported).toEqual(["a/1", "a/2"]);
    feed.pages.set("b", pageOf(9, "b/1"));
    await step();
    vitest.expect(reported).toEqual(["a/1", "a/2", "b/1"]);
    vitest.expect(follower.hasSnapshot).toBe(true);
    await step();
    vitest.expect(feed.polledPositions.at(-1)).toBe(8);
  });

  vitest.it("polls less often for rows that change constantly", async () => {
    const countPolls = async (coalesceMs?: number) => {
      const clock = new TestUtils.FakeClock();
      const feed = new ScriptedFeed();
      feed.pages.set("a", pageOf(1)).set("b", pageOf(1));
      // Each poll takes 10 ms and returns a change.
      for (let i = 2; i < 500; i++) {
        feed.changePages.push(pageOf(i, `row-${i}`));
      }
      feed.clock = clock;
      const follower = new followers.RowFollower<string>({
        feed,
        clock,
        random: new TestUtils.SeededRandom(1),
        waitMs: 10,
        onChange: () => {},
        ...(coalesceMs === undefined ? {} : { coalesceMs }),
      });
      const fiber = Effect.runFork(follower.run());
      await clock.advance(2000);
      await Effect.runPromise(Fiber.interrupt(fiber));
      return feed.polledPositions.length;
    };
    vitest.expect(await countPolls()).toBeGreaterThan(150);
    vitest.expect(await countPolls(100)).toBeLessThan(25);
  });

  vitest.it(
    "reports deleted rows after a lost history is read again",
    async () => {
      const { feed, reported, step } = follow();
      feed.pages.set("a", pageOf(7, "a/1"));
      feed.pages.set("b", pageOf(7, "b/1", "b/2"));
      await step();
      feed.changePages.push("lost");
      await step();
      feed.pages.set("a", pageOf(30));
      feed.pages.delete("b");
      await step();
      vitest.expect(reported).toEqual(["a/1", "b/1", "b/2"]);
      feed.pages.set("b", pageOf(31, "b/2"));
      await step();
      vitest.expect(reported.slice(3)).toEqual(["b/2", "-a/1", "-b/1"]);
    },
  );

  vitest.it(
    "keeps the pages of a partition whose next page fails",
    async () => {
      const { feed, reported, follower, clock } = follow();
      feed.clock = clock;
      feed.pages.set("a", pageOf(7, "a/1"));
      feed.pages.set("b", { ...pageOf(5, "b/1"), next: "b/2" });
      const fiber = Effect.runFork(follower.run());
      await clock.advance(1000);
      vitest.expect(reported).toEqual(["a/1"]);
      feed.pages.set("b", pageOf(9, "b/2"));
      await clock.advance(1000);
      vitest.expect(reported).toEqual(["a/1", "b/1", "b/2"]);
      // Changes made between the pages are reported again.
      await clock.advance(1000);
      vitest.expect(feed.polledPositions).toContain(5);
      vitest.expect(feed.continuedFrom.filter((from) => from === "b/2").length)
        .toBeGreaterThan(1);
      await Effect.runPromise(Fiber.interrupt(fiber));
    },
  );

  vitest.it(
    "leaves out rows that changed after their page was read",
    async () => {
      const { feed, reported, follower, step } = follow();
      feed.pages.set("a", pageOf(5, "a/1"));
      await step();
      feed.changePages.push({
        position: 9,
        entries: [{ key: "b/1", value: null }, { key: "b/2", value: "new" }],
      });
      feed.pages.set("b", { ...pageOf(6, "b/1", "b/2"), next: "b/3" });
      const fiber = Effect.runFork(follower.run());
      await step();
      feed.pages.set("b", pageOf(9, "b/3"));
      await step();
      await Effect.runPromise(Fiber.interrupt(fiber));
      vitest.expect(reported).toEqual(["a/1", "-b/1", "b/2", "b/3"]);
    },
  );

  vitest.it(
    "is caught up once changes since its pages are reported",
    async () => {
      const { feed, reported, follower, step } = follow();
      feed.pages.set("a", pageOf(5, "a/1"));
      feed.pages.set("b", pageOf(9, "b/1"));
      await step();
      vitest.expect(follower.hasSnapshot).toBe(true);
      vitest.expect(follower.isCaughtUp).toBe(false);
      feed.changePages.push(pageOf(8, "a/2"), pageOf(9, "a/3"));
      await step();
      vitest.expect(follower.isCaughtUp).toBe(false);
      await step();
      vitest.expect(reported).toEqual(["a/1", "b/1", "a/2", "a/3"]);
      vitest.expect(follower.isCaughtUp).toBe(true);
    },
  );
});
