/** Faults of the platform's store, switched on and off by tests. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as processors from "./busy_processor.ts";
import * as connections from "./open_connections.ts";

/** Faults in force. */
export interface StoreFaults {
  /** No call is carried out. */
  readonly down: boolean;
  /** No call is carried out or answered. */
  readonly silent: boolean;
  /** No call to these partitions is carried out. */
  readonly downPartitions: readonly string[];
  /** Feeds, by the prefix of their rows, of which no look is answered. */
  readonly silentFeeds: readonly string[];
  /** Share of writes whose answer is lost after they took effect. */
  readonly loseAnswers: number;
  /** Share of writes that are neither carried out nor answered. */
  readonly swallowWrites: number;
  /** Looks for changes are answered in time and show none. */
  readonly hideChanges: boolean;
  /** Time that every call takes, in milliseconds. */
  readonly delayMs: number;
  /**
   * Time that a kilobyte of rows takes on its way to the reader, in
   * milliseconds; scans that are under way share the link evenly.
   */
  readonly kilobyteMs: number;
}

const HEALTHY: StoreFaults = {
  down: false,
  silent: false,
  downPartitions: [],
  silentFeeds: [],
  loseAnswers: 0,
  swallowWrites: 0,
  hideChanges: false,
  delayMs: 0,
  kilobyteMs: 0,
};

/** Scans that share a link are carried on in steps of this length, in ms. */
const CARRY_STEP_MS = 20;

/** Holds the faults in force and applies them to calls. */
export class FaultSwitch {
  readonly #clock: Ports.Clock;
  readonly #random: Ports.RandomSource;
  faults: StoreFaults = HEALTHY;
  /** Processor of the box that makes the calls. */
  readonly processor: processors.BusyProcessor;
  /** Connections of the box to the store. */
  readonly connections: connections.OpenConnections;
  /** Writes that the box has sent, whatever came of them. */
  writes = 0;
  /** Looks for changes that the box has made, by the prefix of the rows. */
  readonly looks = new Map<string, number>();
  /** Scans whose rows are on their way. */
  #scans = 0;

  constructor(clock: Ports.Clock, random: Ports.RandomSource) {
    this.#clock = clock;
    this.#random = random;
    this.processor = new processors.BusyProcessor(clock);
    this.connections = new connections.OpenConnections(clock);
  }

  /** Changes some faults; the others stay. */
  set(faults: Partial<StoreFaults>): void {
    this.faults = { ...this.faults, ...faults };
  }

  /** Carries out a call to a partition under the faults in force. */
  apply<A, E>(
    operation: string,
    call: () => Effect.Effect<A, E>,
    partition = "",
  ): Effect.Effect<A, E | Ports.StoreError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.processor.use();
      if (operation === "write") this.writes++;
      const { delayMs, silent } = this.faults;
      const way = this.connections.begin();
      // A probe goes over a new connection.
      const isSwallowed = way.isSilent && operation !== "probe";
      if (silent || isSwallowed) return yield* Effect.never;
      if (operation === "write" && this.#swallows()) return yield* Effect.never;
      if (delayMs > 0) yield* this.#clock.sleep(delayMs);
      if (this.faults.down || this.faults.downPartitions.includes(partition)) {
        const cause = "outage";
        return yield* new Errors.StoreUnavailableError({ operation, cause });
      }
      const done = yield* call();
      yield* this.processor.gate;
      if (!way.answers()) return yield* Effect.never;
      if (operation === "scan") yield* this.#carry(done);
      const loses = operation === "write" &&
        this.#random.next() < this.faults.loseAnswers;
      if (loses) return yield* new Errors.AnswerLostError({ operation });
      return done;
    });
  }

  /** Draws only where the fault is in force: other plays stay as they are. */
  #swallows(): boolean {
    const { swallowWrites } = this.faults;
    return swallowWrites > 0 && this.#random.next() < swallowWrites;
  }

  /** Brings the rows of a scan to the reader, beside those of other scans. */
  #carry(answer: unknown): Effect.Effect<void> {
    const { kilobyteMs } = this.faults;
    if (kilobyteMs === 0) return Effect.void;
    return Effect.gen({ self: this }, function* () {
      this.#scans++;
      let leftMs = JSON.stringify(answer).length / 1000 * kilobyteMs;
      while (leftMs > 0) {
        const stepMs = Math.min(CARRY_STEP_MS, leftMs * this.#scans);
        leftMs -= stepMs / this.#scans;
        yield* this.#clock.sleep(stepMs);
      }
    }).pipe(Effect.ensuring(Effect.sync(() => {
      this.#scans--;
    })));
  }
}
