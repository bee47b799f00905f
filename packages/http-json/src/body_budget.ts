/** Bounds the memory of all request bodies of a server together. */

/** A part of the budget that one body holds. */
export interface BodyClaim {
  /** Size that is held, in bytes. */
  readonly bytes: number;
  /** Called at most once, when the claim has lost its part to others. */
  onEvict: () => void;
  /** Grows to a size; returns false, and holds nothing any more, if there is no room. */
  grow(bytes: number): boolean;
  /** The body has arrived: from now on the claim is not evicted. */
  complete(): void;
  /** Returns the part to the budget. */
  release(): void;
}

/**
 * A number of bytes that bodies share. When it is used up, the largest bodies that are
 * still arriving give way first, among those of about the same size the one that has
 * not grown for the longest. So small bodies find room beside large ones, and bodies
 * that arrive beside those that stand still.
 */
export class BodyBudget {
  readonly #capacityBytes: number;
  /** Claims that may be evicted, by size class; in a class by their last growth. */
  readonly #arriving = new Map<number, Set<Claim>>();
  #usedBytes = 0;

  constructor(capacityBytes: number) {
    this.#capacityBytes = capacityBytes;
  }

  /** Bytes that all claims hold. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Opens a claim for one body, which holds nothing yet. */
  claim(): BodyClaim {
    const opened = new Claim({
      grow: (claim, bytes) => this.#grow(claim, bytes),
      complete: (claim) => this.#leaveClass(claim),
      release: (claim) => this.#release(claim),
    });
    this.#joinClass(opened);
    return opened;
  }

  /** Evicts all bodies that are still arriving. */
  evictArriving(): void {
    const claims = [...this.#arriving.values()].flatMap((set) => [...set]);
    for (const claim of claims) this.#evict(claim);
  }

  #grow(claim: Claim, bytes: number): boolean {
    this.#release(claim);
    while (this.#usedBytes + bytes > this.#capacityBytes) {
      const victim = this.#findVictim(classOf(bytes));
      if (victim === null) return false;
      this.#evict(victim);
    }
    claim.bytes = bytes;
    this.#usedBytes += claim.bytes;
    this.#joinClass(claim);
    return true;
  }

  /** The first claim to give way to one of this class; null where none does. */
  #findVictim(sizeClass: number): Claim | null {
    const largest = Math.max(...this.#arriving.keys());
    if (!(largest >= sizeClass)) return null;
    const [oldest] = this.#arriving.get(largest) ?? [];
    return oldest ?? null;
  }

  #evict(claim: Claim): void {
    this.#release(claim);
    claim.onEvict();
  }

  #release(claim: Claim): void {
    this.#leaveClass(claim);
    this.#usedBytes -= claim.bytes;
    claim.bytes = 0;
  }

  #joinClass(claim: Claim): void {
    const sizeClass = classOf(claim.bytes);
    const peers = this.#arriving.get(sizeClass) ?? new Set();
    this.#arriving.set(sizeClass, peers.add(claim));
  }

  #leaveClass(claim: Claim): void {
    const sizeClass = classOf(claim.bytes);
    const peers = this.#arriving.get(sizeClass);
    if (peers?.delete(claim) && peers.size === 0) {
      this.#arriving.delete(sizeClass);
    }
  }
}

interface ClaimOwner {
  grow(claim: Claim, bytes: number): boolean;
  complete(claim: Claim): void;
  release(claim: Claim): void;
}

class Claim implements BodyClaim {
  readonly #owner: ClaimOwner;
  bytes = 0;
  onEvict: () => void = () => {};

  constructor(owner: ClaimOwner) {
    this.#owner = owner;
  }

  grow(bytes: number): boolean {
    return this.#owner.grow(this, bytes);
  }

  complete(): void {
    this.#owner.complete(this);
  }

  release(): void {
    this.#owner.release(this);
  }
}

/** Sizes of one class differ by less than a factor of two. */
function classOf(bytes: number): number {
  return Math.floor(Math.log2(Math.max(1, bytes)));
}
