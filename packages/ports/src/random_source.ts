/** Random numbers, passed in so that tests can repeat them. */

/** A source of random numbers. */
export abstract class RandomSource {
  /** A number from 0 up to but not including 1. */
  abstract next(): number;
  /** An identifier that no other call returns. */
  abstract id(): string;

  /** A wait between half of `ms` and `ms`. */
  jitter(ms: number): number {
    return ms / 2 + this.next() * ms / 2;
  }
}
