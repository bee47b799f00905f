/** Compares this box with the others as a place for the coordinator. */
import * as Coordinator from "@cairngate/coordinator";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as members from "./member_book.ts";

/** What the comparison needs. */
export interface LeaderFitnessOptions {
  /** Processor of this box, in cores. */
  readonly cores: number;
  readonly others: () => readonly members.Member[];
  readonly peers: Ports.StorePeers;
  /** Whether this box reaches the store without a peer's help. */
  readonly reachesStore: () => boolean;
}

/** A box is fitter only with this many times the processor: a move costs time. */
const CLEARLY_MORE = 1.5;
/** Boxes that are asked whether they answer, the fittest first. */
const MOST_ASKED = 4;
/** A box that takes longer to answer, in ms, is not the place to move to. */
const ASK_LIMIT_MS = 400;

/** Fitness by processor and by the way to the store. */
export class LeaderFitness extends Coordinator.Fitness {
  readonly #options: LeaderFitnessOptions;

  constructor(options: LeaderFitnessOptions) {
    super();
    this.#options = options;
  }

  override reachesStore(): boolean {
    return this.#options.reachesStore();
  }

  override hasFitter(): boolean {
    return this.#fitter().length > 0;
  }

  override findFitter() {
    return this.#findAmong(this.#fitter());
  }

  override findSuccessor() {
    return this.#findAmong(this.#options.others());
  }

  /**
   * The box with most processor that answers; of equal ones the one that started
   * last, because a rolling restart has passed it already.
   */
  #findAmong(
    candidates: readonly members.Member[],
  ): Effect.Effect<string | null> {
    return Effect.gen({ self: this }, function* () {
      const best = [...candidates]
        .sort((a, b) => b.cores - a.cores || b.startedAtMs - a.startedAtMs)
        .slice(0, MOST_ASKED);
      const answers = yield* Effect.forEach(
        best,
        (member) => this.#reachesStoreFrom(member),
        { concurrency: "unbounded" },
      );
      return best.find((_, i) => answers[i])?.node ?? null;
    });
  }

  #fitter(): readonly members.Member[] {
    const { cores, others } = this.#options;
    return others().filter((member) => member.cores >= cores * CLEARLY_MORE);
  }

  /** Whether a box answers now and reaches the store itself. */
  #reachesStoreFrom(member: members.Member): Effect.Effect<boolean> {
    const probe = { kind: Ports.StoreCallKind.Probe } as const;
    return this.#options.peers.call(member, probe, ASK_LIMIT_MS).pipe(
      Effect.map(({ outcome }) => outcome === Ports.StoreOutcome.Done),
      Effect.catch(() => Effect.succeed(false)),
    );
  }
}
