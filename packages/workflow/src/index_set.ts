/** Encodes sets of small indexes as base64 text with one bit per index. */

const BITS_PER_BYTE = 8;

/** Encodes a set of indexes in ascending order. */
export function encodeIndexes(indexes: readonly number[]): string {
  const highest = Math.max(-1, ...indexes.slice(-1));
  const bytes = Buffer.alloc(Math.ceil((highest + 1) / BITS_PER_BYTE));
  for (const index of indexes) {
    bytes[Math.floor(index / BITS_PER_BYTE)] |= 1 << (index % BITS_PER_BYTE);
  }
  return bytes.toString("base64");
}

/** Decodes the output of `encodeIndexes`; the indexes ascend. */
export function decodeIndexes(text: string): number[] {
  const indexes: number[] = [];
  for (const [offset, byte] of Buffer.from(text, "base64").entries()) {
    for (let bit = 0; bit < BITS_PER_BYTE; bit++) {
      if ((byte & (1 << bit)) !== 0) indexes.push(offset * BITS_PER_BYTE + bit);
    }
  }
  return indexes;
}
