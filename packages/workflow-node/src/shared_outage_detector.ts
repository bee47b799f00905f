/**
 * Asks other boxes whether they can reach the store while this one can't. It guards
 * against a coordinator that is cut off from the store and the other boxes, but not
 * from an endpoint, and goes on renewing a lease there after another one was elected.
 */
import * as Coordinator from "@cairngate/coordinator";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** Dependencies of a {@link SharedOutageDetector}. */
export interface SharedOutageDetectorOptions {
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly peers: Ports.StorePeers;
  /** Lists the other boxes, including those whose rows may have expired unseen. */
  readonly otherBoxes: () => readonly Ports.StorePeer[];
  /** Time since the store last answered a call, in ms. */
  readonly failingForMs: () => number;
  /**
   * Age of the newest acknowledged renewal of this box's term, in ms; null while it does
   * not coordinate.
   */
  readonly renewalAgeMs: () => number | null;
}

/** Time between two polls, in ms. */
const POLL_INTERVAL_MS = 300;
/** Time without an answer after which the store may be unavailable, in ms. */
const OUTAGE_AFTER_MS = 150;
/** Boxes asked per poll, so that its cost does not grow with the number of boxes. */
const MAX_POLLED_BOXES = 5;
/** Longer than the 0.7 s after which a peer gives up on the store. */
const PROBE_TIMEOUT_MS = 900;
/**
 * Time from the start of a poll for which its result is valid, in ms. Shorter than the
 * time that boxes wait after an outage before one of them takes over.
 */
const RESULT_VALIDITY_MS = Coordinator.MAX_SILENCE_MS - 100;
/**
 * Duration of an outage, in ms, after which all boxes count the silence of the
 * coordinator anew. After a shorter one they may take over at once.
 */
const MIN_OUTAGE_MS = Coordinator.MAX_SILENCE_MS;
/** Longest time between two polls that confirm the same outage, in ms. */
const MAX_POLL_GAP_MS = 3 * POLL_INTERVAL_MS;

/** An outage that polls have confirmed since it began. */
interface ConfirmedOutage {
  /** Start of the first poll that confirmed it. */
  readonly first: Ports.Moment;
  /** Start of the latest one. */
  readonly latest: Ports.Moment;
}

/** Detects whether a store outage affects the other boxes too. */
export class SharedOutageDetector extends Coordinator.OutageReports {
  readonly #options: SharedOutageDetectorOptions;
  #outage: ConfirmedOutage | null = null;

  constructor(options: SharedOutageDetectorOptions) {
    super();
    this.#options = options;
  }

  override isUnavailableToAll(): boolean {
    const { clock, otherBoxes } = this.#options;
    // Without other boxes, no other coordinator can be elected.
    if (otherBoxes().length === 0) return true;
    if (this.#outage === null) return false;
    const { first, latest } = this.#outage;
    return latest.monotonicMs - first.monotonicMs >= MIN_OUTAGE_MS &&
      clock.elapsedMsSince(latest) <= RESULT_VALIDITY_MS;
  }

  /** Polls other boxes while this one coordinates without the store; never ends. */
  run(): Effect.Effect<never> {
    return this.#options.clock.every(
      POLL_INTERVAL_MS,
      Effect.sync(() => this.#pollInOutage()),
    );
  }

  #pollInOutage(): void {
    const { failingForMs, renewalAgeMs } = this.#options;
    const ageMs = renewalAgeMs();
    if (ageMs === null) return;
    // A very slow store answers some calls, but no renewal in time.
    const isAvailable = failingForMs() < OUTAGE_AFTER_MS &&
      ageMs < Coordinator.MIN_SILENCE_MS;
    if (isAvailable) return;
    Effect.runFork(this.#pollBoxes());
  }

  /**
   * Confirms the outage if more than half of the polled boxes report that they can't
   * reach the store either, and none of them reports that it can.
   */
  #pollBoxes(): Effect.Effect<void> {
    const { clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const polledAt = clock.now();
      const polled = this.#chooseBoxes();
      const answers = yield* Effect.forEach(
        polled,
        (peer) => this.#probeFrom(peer),
        { concurrency: "unbounded" },
      );
      const unavailable = answers.filter((outcome) =>
        outcome === Ports.StoreOutcome.Unavailable
      );
      if (answers.includes(Ports.StoreOutcome.Done)) {
        this.#outage = null;
        return;
      }
      if (unavailable.length * 2 <= polled.length) return;
      this.#noteConfirmed(polledAt);
    });
  }

  #noteConfirmed(polledAt: Ports.Moment): void {
    const known = this.#outage;
    const isContinued = known !== null &&
      Ports.elapsedMs(known.latest, polledAt) <= MAX_POLL_GAP_MS;
    if (!isContinued) {
      this.#outage = { first: polledAt, latest: polledAt };
    } else if (polledAt.monotonicMs > known.latest.monotonicMs) {
      this.#outage = { first: known.first, latest: polledAt };
    }
  }

  /** Chooses at random, so that the result does not depend on the same few boxes. */
  #chooseBoxes(): readonly Ports.StorePeer[] {
    const { otherBoxes, random } = this.#options;
    return otherBoxes()
      .map((peer) => ({ peer, order: random.next() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, MAX_POLLED_BOXES)
      .map(({ peer }) => peer);
  }

  /** Result of a peer's own probe of the store; null if the peer does not answer. */
  #probeFrom(peer: Ports.StorePeer): Effect.Effect<Ports.StoreOutcome | null> {
    const probe = { kind: Ports.StoreCallKind.Probe } as const;
    return this.#options.peers.call(peer, probe, PROBE_TIMEOUT_MS).pipe(
      Effect.map(({ outcome }): Ports.StoreOutcome | null => outcome),
      Effect.catch(() => Effect.succeed(null)),
    );
  }
}
