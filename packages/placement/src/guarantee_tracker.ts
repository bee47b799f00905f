/**
 * Tracks the guaranteed blocks of all teams. A block is unbound until its team
 * uses it; then it is bound to a position, and unbound again when the last job
 * leaves it. The guarantees hold as long as all unbound blocks fit at once on the
 * accelerators that are not bound, not unavailable and not fixed by jobs that
 * cannot yield.
 */
import * as blocks from "./blocks.ts";
import * as space from "./buddy_space.ts";

/** A guaranteed block of a team that is bound to a position. */
export interface BoundBlock extends space.BlockPosition {
  readonly id: number;
  readonly team: string;
  /** Jobs in the block by id, with the accelerators that each uses. */
  readonly jobs: Map<string, number>;
}

/** Number of blocks of one order that a team is guaranteed. */
export interface GuaranteeDemand {
  readonly team: string;
  readonly order: number;
  readonly count: number;
}

const ORDERS = blocks.LARGEST_ORDER + 1;

/** Bound and unbound blocks of all teams over one set of racks. */
export class GuaranteeTracker {
  /** Used here: bound, fixed or unavailable, so not open to unbound blocks. */
  readonly space: space.BuddySpace;
  readonly #unbound = new Map<string, number[]>();
  readonly #total = new Array<number>(ORDERS).fill(0);
  readonly #bound = new Map<number, BoundBlock>();
  readonly #byTeam = new Map<string, Set<BoundBlock>>();
  readonly #markCounts: Uint8Array;
  #nextId = 1;

  /** Starts with all blocks unbound and all accelerators free. */
  constructor(rackCount: number, demands: readonly GuaranteeDemand[]) {
    this.space = new space.BuddySpace(rackCount);
    this.#markCounts = new Uint8Array(rackCount * blocks.ACCELERATORS_PER_RACK);
    for (const demand of demands) this.#addDemand(demand);
  }

  #addDemand(demand: GuaranteeDemand): void {
    const counts = this.#unbound.get(demand.team) ??
      new Array<number>(ORDERS).fill(0);
    counts[demand.order] += demand.count;
    this.#total[demand.order] += demand.count;
    this.#unbound.set(demand.team, counts);
  }

  /** Number of unbound blocks of a team, by order. */
  unboundOf(team: string): readonly number[] {
    return this.#unbound.get(team) ?? [];
  }

  /** Bound blocks of a team. */
  boundOf(team: string): Iterable<BoundBlock> {
    return this.#byTeam.get(team) ?? [];
  }

  /** All bound blocks. */
  allBound(): Iterable<BoundBlock> {
    return this.#bound.values();
  }

  /** The bound block of an id. */
  get(id: number): BoundBlock | undefined {
    return this.#bound.get(id);
  }

  /**
   * Number of unbound blocks of each order that do not fit if all are placed,
   * largest first. All zero if the guarantees hold.
   */
  shortfall(): number[] {
    return computeShortfall(this.space.maximalCounts(), this.#total);
  }

  /** Whether all unbound blocks fit at once. */
  holds(): boolean {
    return this.shortfall().every((missing) => missing === 0);
  }

  /** Marks accelerators as fixed or unavailable; marks are counted. */
  mark(worker: number, mask: number): void {
    this.#changeMarks(worker, mask, 1);
  }

  /** Removes one mark from each accelerator. */
  unmark(worker: number, mask: number): void {
    this.#changeMarks(worker, mask, -1);
  }

  /** Binds an unbound block of a team to a position. */
  bind(team: string, position: space.BlockPosition): BoundBlock {
    const bound: BoundBlock = {
      ...position,
      id: this.#nextId++,
      team,
      jobs: new Map(),
    };
    this.#unbound.get(team)![position.order]--;
    this.#total[position.order]--;
    this.#bound.set(bound.id, bound);
    this.#teamSet(team).add(bound);
    this.#markBlock(position, 1);
    return bound;
  }

  /** Adds a job, or more accelerators of it, to a bound block. */
  addJob(id: number, jobId: string, accelerators: number): void {
    const jobs = this.#bound.get(id)!.jobs;
    jobs.set(jobId, (jobs.get(jobId) ?? 0) + accelerators);
  }

  /** Removes a job from a bound block; unbinds the block if it is then empty. */
  removeJob(id: number, jobId: string): void {
    const bound = this.#bound.get(id);
    if (bound === undefined) return;
    bound.jobs.delete(jobId);
    if (bound.jobs.size > 0) return;
    this.#unbind(bound);
  }

  /** Whether the guarantees would hold with a block bound at a position. */
  holdsAfterBinding(position: space.BlockPosition): boolean {
    this.#markBlock(position, 1);
    this.#total[position.order]--;
    const holds = this.holds();
    this.#total[position.order]++;
    this.#markBlock(position, -1);
    return holds;
  }

  /** Whether the guarantees would hold with these accelerators fixed. */
  holdsAfterMarking(
    slots: readonly { worker: number; mask: number }[],
  ): boolean {
    for (const slot of slots) this.mark(slot.worker, slot.mask);
    const holds = this.holds();
    for (const slot of slots) this.unmark(slot.worker, slot.mask);
    return holds;
  }

  #unbind(bound: BoundBlock): void {
    this.#bound.delete(bound.id);
    this.#teamSet(bound.team).delete(bound);
    this.#unbound.get(bound.team)![bound.order]++;
    this.#total[bound.order]++;
    this.#markBlock(bound, -1);
  }

  #teamSet(team: string): Set<BoundBlock> {
    let set = this.#byTeam.get(team);
    if (set === undefined) {
      set = new Set();
      this.#byTeam.set(team, set);
    }
    return set;
  }

  #markBlock(position: space.BlockPosition, delta: number): void {
    const first = position.rack * blocks.WORKERS_PER_RACK;
    const end = position.offset + blocks.sizeOf(position.order);
    for (let at = position.offset; at < end;) {
      const size = Math.min(end - at, blocks.ACCELERATORS_PER_WORKER);
      this.#changeMarks(
        first + (at >> 3),
        blocks.blockMask(at & 7, size),
        delta,
      );
      at += size;
    }
  }

  #changeMarks(worker: number, mask: number, delta: number): void {
    let used = this.space.usedMask(worker);
    for (let bit = 0; bit < blocks.ACCELERATORS_PER_WORKER; bit++) {
      if ((mask & (1 << bit)) === 0) continue;
      const at = worker * blocks.ACCELERATORS_PER_WORKER + bit;
      this.#markCounts[at] += delta;
      if (this.#markCounts[at] > 0) used |= 1 << bit;
      else used &= ~(1 << bit);
    }
    this.space.setUsedMask(worker, used);
  }
}

/** Number of blocks of each order in `demand` that do not fit into `supply`. */
export function computeShortfall(
  supply: readonly number[],
  demand: readonly number[],
): number[] {
  const shortfall = new Array<number>(ORDERS).fill(0);
  let available = 0;
  for (let order = ORDERS - 1; order >= 0; order--) {
    available = available * 2 + supply[order] - demand[order];
    if (available >= 0) continue;
    shortfall[order] = -available;
    available = 0;
  }
  return shortfall;
}
