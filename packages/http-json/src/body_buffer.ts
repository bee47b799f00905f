/** Collects the chunks of a body in one buffer. */

/** Size of the first buffer, in bytes: most bodies fit. */
const FIRST_BYTES = 4096;

/** A buffer that doubles until it has its maximum size. */
export class BodyBuffer {
  readonly #maxBytes: number;
  #bytes = new Uint8Array(0);
  #length = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Copies a chunk; returns false if the body would exceed its maximum size. */
  append(chunk: Uint8Array): boolean {
    const length = this.#length + chunk.length;
    if (length > this.#maxBytes) return false;
    if (length > this.#bytes.length) this.#grow(length);
    this.#bytes.set(chunk, this.#length);
    this.#length = length;
    return true;
  }

  /** Decodes what was collected as UTF-8. */
  decode(): string {
    return new TextDecoder().decode(this.#bytes.subarray(0, this.#length));
  }

  #grow(neededBytes: number): void {
    const doubled = Math.max(FIRST_BYTES, 2 * this.#bytes.length);
    const size = Math.min(this.#maxBytes, Math.max(doubled, neededBytes));
    const bytes = new Uint8Array(size);
    bytes.set(this.#bytes.subarray(0, this.#length));
    this.#bytes = bytes;
  }
}
