/** Compares this box with the others as a place for the coordinator. */
import * as Coordinator from "@cairngate/coordinator";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as members from "./member_book.ts";

/** What the comparison needs. */
export interface LeaderFitnessOptions {
  /** Name of this box. */
  readonly node: string;
  /** Processor of this box, in cores. */
  readonly cores: number;
  /** Wall-clock time at which this process began, as its row tells it. */
  readonly startedAtMs: number;
  readonly others: () => readonly members.Member[];
  readonly peers: Ports.StorePeers;
  /** Whether this box reaches the store without a peer's help. */
  readonly reachesStore: () => boolean;
}

/** A box is fitter only with this many times the processor: a move costs time. */
const MIN_CORES_RATIO = 1.5;
/** Boxes that are asked whether they answer, the fittest first. */
const MAX_PROBES = 4;
/** A box that takes longer to answer, in ms, is not the place to move to. */
const PROBE_TIMEOUT_MS = 400;

/**
 * Boxes that follow each renewal; the others look seldom. With 45 boxes, renewals
 * each 350 ms woke all of them: 129 calls a second, with six 17. Six are two in each
 * data centre of the users' grown fleets.
 */
const CLOSE_WATCHERS = 6;

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
    return this.#fitterBoxes().length > 0;
  }

  /** In the order in which a box is chosen to follow another. */
  override isCloseWatcher(): boolean {
    const preferred = this.#options.others().filter((member) =>
      compareBoxes(member, this.#options) < 0
    );
    return preferred.length < CLOSE_WATCHERS;
  }

  override findFitter() {
    return this.#findFirstReachable(this.#fitterBoxes());
  }

  override findSuccessor() {
    return this.#findFirstReachable(this.#options.others());
  }

  /** The first box that answers. */
  #findFirstReachable(
    candidates: readonly members.Member[],
  ): Effect.Effect<string | null> {
    return Effect.gen({ self: this }, function* () {
      const ranked = [...candidates].sort(compareBoxes).slice(
        0,
        MAX_PROBES,
      );
      const answers = yield* Effect.forEach(
        ranked,
        (member) => this.#isReachable(member),
        { concurrency: "unbounded" },
      );
      return ranked.find((_, i) => answers[i])?.node ?? null;
    });
  }

  #fitterBoxes(): readonly members.Member[] {
    const { cores, others } = this.#options;
    return others().filter((member) => member.cores >= cores * MIN_CORES_RATIO);
  }

  /** Whether a box answers now and reaches the store itself. */
  #isReachable(member: members.Member): Effect.Effect<boolean> {
    const probe = { kind: Ports.StoreCallKind.Probe } as const;
    return this.#options.peers.call(member, probe, PROBE_TIMEOUT_MS).pipe(
      Effect.map(({ outcome }) => outcome === Ports.StoreOutcome.Done),
      Effect.catch(() => Effect.succeed(false)),
    );
  }
}

/**
 * The box with most processor comes first; of equal ones the one that started last,
 * because a rolling restart has passed it already.
 */
function compareBoxes(a: BoxRank, b: BoxRank): number {
  return b.cores - a.cores || b.startedAtMs - a.startedAtMs ||
    (a.node < b.node ? -1 : 1);
}

type BoxRank = Pick<members.Member, "node" | "cores" | "startedAtMs">;
