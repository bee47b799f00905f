/** Random numbers as a dependency, so that tests can repeat them. */

/** Port of random numbers. */
export abstract class RandomSource {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  abstract next(): number;
  /** Returns a unique identifier. */
  abstract id(): string;

  /** Returns a random delay between half of `ms` and `ms`. */
  jitter(ms: number): number {
    return ms / 2 + this.next() * ms / 2;
  }
}
