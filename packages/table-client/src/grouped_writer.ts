/**
 * Groups independent writes into one transaction, because the table service
 * accepts a limited number of writes per second. A group whose conditions fail
 * is written again one by one, so that one write does not fail the others.
 */
import type * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as clients from "./store_client.ts";
import type * as storeErrors from "./store_errors.ts";

/** One write of a group. */
export type GroupedWrite = clients.Write;

type Failure = storeErrors.StoreFailure | Errors.ConditionFailedError;

interface Pending {
  readonly write: GroupedWrite;
  readonly done: Deferred.Deferred<number, Failure>;
}

const MAX_GROUP_WRITES = 100;
const DEADLINE_MS = 3000;

/** Collects writes while the previous group is being written. */
export class GroupedWriter {
  readonly #client: clients.StoreClient;
  readonly #clock: Ports.Clock;
  readonly #windowMs: number;
  #pending: Pending[] = [];
  #isRunning = false;

  /** @param options.windowMs how long the first write waits for others, in ms */
  constructor(
    options: {
      client: clients.StoreClient;
      clock: Ports.Clock;
      windowMs: number;
    },
  ) {
    this.#client = options.client;
    this.#clock = options.clock;
    this.#windowMs = options.windowMs;
  }

  /** Writes together with other pending writes; returns the revision. */
  write(write: GroupedWrite): Effect.Effect<number, Failure> {
    return Effect.gen({ self: this }, function* () {
      const done = Deferred.makeUnsafe<number, Failure>();
      this.#pending.push({ write, done });
      if (!this.#isRunning) {
        this.#isRunning = true;
        yield* Effect.forkDetach(this.#drain());
      }
      return yield* Deferred.await(done);
    });
  }

  #drain(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#clock.sleep(this.#windowMs);
      while (this.#pending.length > 0) {
        const group = this.#takeGroup();
        yield* this.#writeGroup(group);
      }
      // Nothing yields between the check of the loop and this line, so a write
      // that arrives later starts a new loop.
      this.#isRunning = false;
    });
  }

  /**
   * Takes the oldest writes that share no row with an earlier one; the rest stays
   * pending.
   */
  #takeGroup(): Pending[] {
    const keys = new Set<string>();
    const group: Pending[] = [];
    const rest: Pending[] = [];
    for (const pending of this.#pending) {
      const rowKeys = pending.write.writes.map((w) => w.key);
      const fits = group.length < MAX_GROUP_WRITES &&
        !rowKeys.some((key) => keys.has(key));
      (fits ? group : rest).push(pending);
      for (const key of rowKeys) keys.add(key);
    }
    this.#pending = rest;
    return group;
  }

  #writeGroup(group: Pending[]): Effect.Effect<void> {
    if (group.length === 1) return this.#writeOne(group[0]);
    const combined = {
      conditions: uniqueConditions(group),
      writes: group.flatMap((p) => p.write.writes),
    };
    return this.#client.write(combined, DEADLINE_MS).pipe(
      Effect.flatMap((revision) =>
        Effect.forEach(group, (p) => Deferred.succeed(p.done, revision))
      ),
      Effect.catchTags({
        ConditionFailedError: () =>
          Effect.forEach(group, (p) => this.#writeOne(p)),
        StoreUnavailableError: (err) =>
          Effect.forEach(group, (p) => Deferred.fail(p.done, err)),
      }),
      Effect.asVoid,
    );
  }

  #writeOne(pending: Pending): Effect.Effect<void> {
    return this.#client.write(pending.write, DEADLINE_MS).pipe(
      Effect.exit,
      Effect.flatMap((exit) => Deferred.done(pending.done, exit)),
      Effect.asVoid,
    );
  }
}

function uniqueConditions(group: readonly Pending[]): Ports.RowCondition[] {
  const byKey = new Map<string, Ports.RowCondition>();
  for (const { write } of group) {
    for (const condition of write.conditions) {
      byKey.set(`${condition.key}@${condition.revision}`, condition);
    }
  }
  return [...byKey.values()];
}
