/**
 * Asks other boxes whether they hear the store while this one does not. A coordinator
 * that is cut off from the store and the other boxes, but not from an endpoint, would
 * go on renewing the lease there beside the next one.
 */
import * as Coordinator from "@cairngate/coordinator";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** What the question needs. */
export interface SharedOutageDetectorOptions {
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly peers: Ports.StorePeers;
  /** Other boxes, as known now. */
  readonly others: () => readonly Ports.StorePeer[];
  /** Time for which no call to the store was answered, in ms. */
  readonly silentForMs: () => number;
  /** Whether this box coordinates. */
  readonly coordinates: () => boolean;
}

/** Time between two questions, in ms. */
const POLL_INTERVAL_MS = 300;
/** The store counts as away after failures of this length, in ms. */
const OUTAGE_AFTER_MS = 150;
/** Boxes that are asked, so that the cost does not grow with the boxes. */
const MAX_POLLED_BOXES = 5;
/** A probe that the store does not answer takes a peer 0.7 s, in ms. */
const PROBE_TIMEOUT_MS = 900;
/**
 * Time from a question for which its answers hold, in ms: boxes that hear the store
 * again leave the holder 1.6 s before another one takes over.
 */
const RESULT_VALIDITY_MS = 1500;

/** The word of the others on an outage. */
export class SharedOutageDetector extends Coordinator.OutageWord {
  readonly #options: SharedOutageDetectorOptions;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: SharedOutageDetectorOptions) {
    super();
    this.#options = options;
  }

  override isShared(): boolean {
    const { clock, others } = this.#options;
    // Nobody is known who could be elected.
    if (others().length === 0) return true;
    return clock.monotonicMs() - this.#confirmedAtMs <= RESULT_VALIDITY_MS;
  }

  /** Asks for ever, while there is reason to. */
  run(): Effect.Effect<never> {
    return this.#options.clock.every(
      POLL_INTERVAL_MS,
      Effect.sync(() => this.#pollInOutage()),
    );
  }

  #pollInOutage(): void {
    const { silentForMs, coordinates } = this.#options;
    if (!coordinates() || silentForMs() < OUTAGE_AFTER_MS) return;
    Effect.runFork(this.#pollBoxes());
  }

  /** Shared is what more than half of the boxes asked say, and none denies. */
  #pollBoxes(): Effect.Effect<void> {
    const { clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const polledAtMs = clock.monotonicMs();
      const polled = this.#chooseBoxes();
      const answers = yield* Effect.forEach(
        polled,
        (peer) => this.#probeFrom(peer),
        { concurrency: "unbounded" },
      );
      const unavailable = answers.filter((outcome) =>
        outcome === Ports.StoreOutcome.Unavailable
      );
      const isReachable = answers.includes(Ports.StoreOutcome.Done);
      if (isReachable || unavailable.length * 2 <= polled.length) return;
      this.#confirmedAtMs = Math.max(this.#confirmedAtMs, polledAtMs);
    });
  }

  /** Others each time, so that no few boxes speak for all. */
  #chooseBoxes(): readonly Ports.StorePeer[] {
    const { others, random } = this.#options;
    return others()
      .map((peer) => ({ peer, order: random.next() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, MAX_POLLED_BOXES)
      .map(({ peer }) => peer);
  }

  /** What a box says of its own way to the store; null where it does not answer. */
  #probeFrom(peer: Ports.StorePeer): Effect.Effect<Ports.StoreOutcome | null> {
    const probe = { kind: Ports.StoreCallKind.Probe } as const;
    return this.#options.peers.call(peer, probe, PROBE_TIMEOUT_MS).pipe(
      Effect.map(({ outcome }): Ports.StoreOutcome | null => outcome),
      Effect.catch(() => Effect.succeed(null)),
    );
  }
}
