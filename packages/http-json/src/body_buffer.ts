/** Collects the chunks of a body in a few buffers, however small the chunks are. */

/** Size of the first segment, in bytes: most bodies fit. */
const FIRST_BYTES = 4096;
/** Size of the other segments, in bytes. Equal sizes are reused without fragmentation. */
const SEGMENT_BYTES = 16_384;

/** A buffer that grows by segments until it has its maximum size. */
export class BodyBuffer {
  readonly #maxBytes: number;
  readonly #reserve: (bytes: number) => boolean;
  #segments: Uint8Array[] = [];
  /** Size of all segments. */
  #capacity = 0;
  #length = 0;

  /** @param reserve asks whether the buffer may grow to a size, in bytes */
  constructor(
    maxBytes: number,
    reserve: (bytes: number) => boolean = () => true,
  ) {
    this.#maxBytes = maxBytes;
    this.#reserve = reserve;
  }

  /** Number of bytes that were copied. */
  get length(): number {
    return this.#length;
  }

  /** Copies a chunk; returns false if the buffer may not grow as large. */
  append(chunk: Uint8Array): boolean {
    if (this.#length + chunk.length > this.#maxBytes) return false;
    let rest = chunk;
    while (rest.length > 0) {
      const room = this.#capacity - this.#length;
      if (room === 0) {
        if (!this.#grow()) return false;
        continue;
      }
      const part = rest.subarray(0, room);
      const last = this.#segments[this.#segments.length - 1];
      last.set(part, last.length - room);
      this.#length += part.length;
      rest = rest.subarray(part.length);
    }
    return true;
  }

  /** Decodes what was collected as UTF-8. */
  decode(): string {
    const decoder = new TextDecoder();
    const unused = this.#capacity - this.#length;
    const texts = this.#segments.map((segment, i) => {
      const isLast = i === this.#segments.length - 1;
      const bytes = isLast
        ? segment.subarray(0, segment.length - unused)
        : segment;
      return decoder.decode(bytes, { stream: !isLast });
    });
    return texts.join("");
  }

  /** Discards what was collected. */
  clear(): void {
    this.#segments = [];
    this.#capacity = 0;
    this.#length = 0;
  }

  #grow(): boolean {
    const wanted = this.#capacity === 0 ? FIRST_BYTES : SEGMENT_BYTES;
    const size = Math.min(wanted, this.#maxBytes - this.#capacity);
    if (!this.#reserve(this.#capacity + size)) return false;
    this.#segments.push(new Uint8Array(size));
    this.#capacity += size;
    return true;
  }
}
