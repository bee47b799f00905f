/** A set of small indexes with one bit each. */

const BITS_PER_BYTE = 8;

/** A set of the indexes below a limit; takes no memory while it is empty. */
export class BitSet {
  readonly #limit: number;
  #bytes: Uint8Array | null = null;
  #size = 0;

  /** @param limit all indexes are below it */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Number of indexes in the set. */
  get size(): number {
    return this.#size;
  }

  /** Whether the set holds an index. */
  has(index: number): boolean {
    if (this.#bytes === null) return false;
    return (this.#bytes[index >> 3] & (1 << (index % BITS_PER_BYTE))) !== 0;
  }

  /** Adds an index; does nothing if it is in the set. */
  add(index: number): void {
    if (this.has(index)) return;
    this.#bytes ??= new Uint8Array(Math.ceil(this.#limit / BITS_PER_BYTE));
    this.#bytes[index >> 3] |= 1 << (index % BITS_PER_BYTE);
    this.#size++;
  }

  /** The indexes in the set, ascending. */
  *[Symbol.iterator](): Iterator<number> {
    for (const [offset, byte] of (this.#bytes ?? []).entries()) {
      if (byte === 0) continue;
      const start = offset * BITS_PER_BYTE;
      for (let bit = 0; bit < BITS_PER_BYTE; bit++) {
        if ((byte & (1 << bit)) !== 0) yield start + bit;
      }
    }
  }

  /** Whether the set holds all indexes from `start` up to `end`, without `end`. */
  hasRange(start: number, end: number): boolean {
    for (let index = start; index < end; index++) {
      if (!this.has(index)) return false;
    }
    return true;
  }
}
