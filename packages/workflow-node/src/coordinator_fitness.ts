/** Ranks this box among the others as a candidate for coordinator. */
import * as Coordinator from "@cairngate/coordinator";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as members from "./member_registry.ts";

/** Data and ports for {@link CoordinatorFitness}. */
export interface CoordinatorFitnessOptions {
  /** Name of this box. */
  readonly node: string;
  /** Processor capacity of this box, in cores. */
  readonly cores: number;
  /** Wall-clock time at which this process started, as stored in its row. */
  readonly startedAtMs: number;
  readonly otherBoxes: () => readonly members.Member[];
  readonly peers: Ports.StorePeers;
  /** Whether this box reaches the store directly, without a peer as relay. */
  readonly hasDirectStoreAccess: () => boolean;
}

/** Ratio of cores from which another box is fitter; a handover takes time. */
const MIN_CORES_RATIO = 1.5;
/** Maximum number of boxes to probe, the fittest first. */
const MAX_PROBES = 4;
/** Time limit of a probe, in ms; slower boxes are not considered. */
const PROBE_TIMEOUT_MS = 400;

/**
 * Number of boxes that follow each renewal of the term; the others poll rarely. With
 * renewals every 350 ms, 45 followers make 129 calls a second, and six make 17. Six
 * allows two in each data centre of a large fleet.
 */
const CLOSE_WATCHERS = 6;

/** Fitness by processor capacity and by access to the store. */
export class CoordinatorFitness extends Coordinator.Fitness {
  readonly #options: CoordinatorFitnessOptions;

  constructor(options: CoordinatorFitnessOptions) {
    super();
    this.#options = options;
  }

  override hasDirectStoreAccess(): boolean {
    return this.#options.hasDirectStoreAccess();
  }

  override hasFitterBox(): boolean {
    return this.#fitterBoxes().length > 0;
  }

  /** Ranks boxes in the order in which successors are chosen. */
  override isCloseWatcher(): boolean {
    const preferred = this.#options.otherBoxes().filter((member) =>
      compareBoxes(member, this.#options) < 0
    );
    return preferred.length < CLOSE_WATCHERS;
  }

  override findFitterBox() {
    return this.#findFirstReachable(this.#fitterBoxes());
  }

  override findSuccessor() {
    return this.#findFirstReachable(this.#options.otherBoxes());
  }

  /** Returns the fittest box that is reachable, or null. */
  #findFirstReachable(
    candidates: readonly members.Member[],
  ): Effect.Effect<string | null> {
    return Effect.gen({ self: this }, function* () {
      const ranked = [...candidates].sort(compareBoxes).slice(0, MAX_PROBES);
      const answers = yield* Effect.forEach(
        ranked,
        (member) => this.#isReachable(member),
        { concurrency: "unbounded" },
      );
      return ranked.find((_, i) => answers[i])?.node ?? null;
    });
  }

  #fitterBoxes(): readonly members.Member[] {
    const { cores, otherBoxes } = this.#options;
    return otherBoxes().filter((member) =>
      member.cores >= cores * MIN_CORES_RATIO
    );
  }

  /** Returns whether a box answers in time and reaches the store directly. */
  #isReachable(member: members.Member): Effect.Effect<boolean> {
    const probe = { kind: Ports.StoreCallKind.Probe } as const;
    return this.#options.peers.call(member, probe, PROBE_TIMEOUT_MS).pipe(
      Effect.map(({ outcome }) => outcome === Ports.StoreOutcome.Done),
      Effect.catch(() => Effect.succeed(false)),
    );
  }
}

/**
 * Orders boxes by cores, most first; among equals the one that started last comes
 * first, because a rolling restart has already passed it.
 */
function compareBoxes(a: BoxRank, b: BoxRank): number {
  return b.cores - a.cores || b.startedAtMs - a.startedAtMs ||
    (a.node < b.node ? -1 : 1);
}

type BoxRank = Pick<members.Member, "node" | "cores" | "startedAtMs">;
