/**
 * Asks other boxes whether they hear the store while this one does not. A coordinator
 * that is cut off from the store and the other boxes, but not from an endpoint, would
 * go on renewing the lease there beside the next one.
 */
import * as Coordinator from "@cairngate/coordinator";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** What the question needs. */
export interface SharedOutageOptions {
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
const ASK_MS = 300;
/** The store counts as away after failures of this length, in ms. */
const AWAY_MS = 150;
/** Boxes that are asked, so that the cost does not grow with the boxes. */
const MOST_ASKED = 5;
/** A probe that the store does not answer takes a peer 0.7 s, in ms. */
const ANSWER_LIMIT_MS = 900;
/**
 * Time from a question for which its answers hold, in ms: boxes that hear the store
 * again leave the holder 1.6 s before another one takes over.
 */
const HOLDS_MS = 1500;

/** The word of the others on an outage. */
export class SharedOutage extends Coordinator.OutageWord {
  readonly #options: SharedOutageOptions;
  #sharedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: SharedOutageOptions) {
    super();
    this.#options = options;
  }

  override isShared(): boolean {
    const { clock, others } = this.#options;
    // Nobody is known who could be elected.
    if (others().length === 0) return true;
    return clock.monotonicMs() - this.#sharedAtMs <= HOLDS_MS;
  }

  /** Asks for ever, while there is reason to. */
  run(): Effect.Effect<never> {
    return this.#options.clock.every(ASK_MS, Effect.sync(() => this.#look()));
  }

  #look(): void {
    const { silentForMs, coordinates } = this.#options;
    if (!coordinates() || silentForMs() < AWAY_MS) return;
    Effect.runFork(this.#ask());
  }

  /** Shared is what more than half of the boxes asked say, and none denies. */
  #ask(): Effect.Effect<void> {
    const { clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const askedAtMs = clock.monotonicMs();
      const asked = this.#choose();
      const answers = yield* Effect.forEach(
        asked,
        (peer) => this.#askOne(peer),
        { concurrency: "unbounded" },
      );
      const away = answers.filter((outcome) =>
        outcome === Ports.StoreOutcome.Unavailable
      );
      const isDenied = answers.includes(Ports.StoreOutcome.Done);
      if (isDenied || away.length * 2 <= asked.length) return;
      this.#sharedAtMs = Math.max(this.#sharedAtMs, askedAtMs);
    });
  }

  /** Others each time, so that no few boxes speak for all. */
  #choose(): readonly Ports.StorePeer[] {
    const { others, random } = this.#options;
    return others()
      .map((peer) => ({ peer, at: random.next() }))
      .sort((a, b) => a.at - b.at)
      .slice(0, MOST_ASKED)
      .map(({ peer }) => peer);
  }

  /** What a box says of its own way to the store; null where it does not answer. */
  #askOne(peer: Ports.StorePeer): Effect.Effect<Ports.StoreOutcome | null> {
    const probe = { kind: Ports.StoreCallKind.Probe } as const;
    return this.#options.peers.call(peer, probe, ANSWER_LIMIT_MS).pipe(
      Effect.map(({ outcome }): Ports.StoreOutcome | null => outcome),
      Effect.catch(() => Effect.succeed(null)),
    );
  }
}
