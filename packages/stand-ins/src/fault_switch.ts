/** Faults of the platform's store, which tests switch on and off. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as processors from "./busy_processor.ts";
import * as connections from "./open_connections.ts";

/** Faults in force. */
export interface StoreFaults {
  /** Every call fails without being executed. */
  readonly down: boolean;
  /** No call is executed or answered. */
  readonly silent: boolean;
  /** Partitions to which every call fails without being executed. */
  readonly downPartitions: readonly string[];
  /** Prefixes of the feeds whose polls are not answered. */
  readonly silentFeeds: readonly string[];
  /** Share of writes whose answer is lost after they took effect, 0 to 1. */
  readonly loseAnswers: number;
  /** Share of writes that are neither executed nor answered, 0 to 1. */
  readonly swallowWrites: number;
  /** Polls for changes are answered in time, but without the changes. */
  readonly hideChanges: boolean;
  /** Duration of every call, in milliseconds. */
  readonly delayMs: number;
  /**
   * Transfer time of a kilobyte of rows, in milliseconds. Concurrent scans share the
   * link evenly.
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

/** Time step of the transfer of concurrent scans, in ms. */
const TRANSFER_STEP_MS = 20;

/** Holds the current faults and applies them to calls. */
export class FaultSwitch {
  readonly #clock: Ports.Clock;
  readonly #random: Ports.RandomSource;
  faults: StoreFaults = HEALTHY;
  /** Processor of the calling box. */
  readonly processor: processors.BusyProcessor;
  /** Connections from the box to the store. */
  readonly connections: connections.OpenConnections;
  /** Number of writes that the box has sent, with any outcome. */
  writes = 0;
  /** Number of polls for changes that the box has sent, by prefix of the rows. */
  readonly polls = new Map<string, number>();
  /** Number of scans whose rows are being transferred. */
  #activeScans = 0;

  constructor(clock: Ports.Clock, random: Ports.RandomSource) {
    this.#clock = clock;
    this.#random = random;
    this.processor = new processors.BusyProcessor(clock);
    this.connections = new connections.OpenConnections(clock);
  }

  /** Changes some faults and keeps the others. */
  set(faults: Partial<StoreFaults>): void {
    this.faults = { ...this.faults, ...faults };
  }

  /** Executes a call to a partition under the current faults. */
  apply<A, E>(
    operation: string,
    call: () => Effect.Effect<A, E>,
    partition = "",
  ): Effect.Effect<A, E | Ports.StoreError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.processor.use();
      if (operation === "write") this.writes++;
      const { delayMs, silent } = this.faults;
      const connection = this.connections.begin();
      // A probe opens a new connection.
      const isLost = connection.isSilent && operation !== "probe";
      if (silent || isLost) return yield* Effect.never;
      if (operation === "write" && this.#drops()) return yield* Effect.never;
      if (delayMs > 0) yield* this.#clock.sleep(delayMs);
      if (this.faults.down || this.faults.downPartitions.includes(partition)) {
        const cause = "outage";
        return yield* new Errors.StoreUnavailableError({ operation, cause });
      }
      const done = yield* call();
      yield* this.processor.gate;
      if (!connection.canBeAnswered()) return yield* Effect.never;
      if (operation === "scan") yield* this.#transfer(done);
      const isAnswerLost = operation === "write" &&
        this.#random.next() < this.faults.loseAnswers;
      if (isAnswerLost) return yield* new Errors.AnswerLostError({ operation });
      return done;
    });
  }

  /**
   * Draws only while the fault is on, so that other simulations of a seed do not
   * change.
   */
  #drops(): boolean {
    const { swallowWrites } = this.faults;
    return swallowWrites > 0 && this.#random.next() < swallowWrites;
  }

  /**
   * Waits for the transfer of the rows of a scan, which shares the link with others.
   */
  #transfer(answer: unknown): Effect.Effect<void> {
    const { kilobyteMs } = this.faults;
    if (kilobyteMs === 0) return Effect.void;
    return Effect.gen({ self: this }, function* () {
      this.#activeScans++;
      let leftMs = JSON.stringify(answer).length / 1000 * kilobyteMs;
      while (leftMs > 0) {
        const stepMs = Math.min(TRANSFER_STEP_MS, leftMs * this.#activeScans);
        leftMs -= stepMs / this.#activeScans;
        yield* this.#clock.sleep(stepMs);
      }
    }).pipe(Effect.ensuring(Effect.sync(() => {
      this.#activeScans--;
    })));
  }
}
