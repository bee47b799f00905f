/** Sets of small indexes as short texts: one bit an index, in base64. */

const BITS = 8;

/** Writes a set of indexes. */
export function encodeIndexes(indexes: readonly number[]): string {
  const highest = Math.max(-1, ...indexes.slice(-1));
  const bytes = Buffer.alloc(Math.ceil((highest + 1) / BITS));
  for (const index of indexes) {
    bytes[Math.floor(index / BITS)] |= 1 << (index % BITS);
  }
  return bytes.toString("base64");
}

/** Reads what `encodeIndexes` has written; the indexes rise. */
export function decodeIndexes(text: string): number[] {
  const indexes: number[] = [];
  for (const [at, byte] of Buffer.from(text, "base64").entries()) {
    for (let bit = 0; bit < BITS; bit++) {
      if ((byte & (1 << bit)) !== 0) indexes.push(at * BITS + bit);
    }
  }
  return indexes;
}
