/** Deterministic random numbers. */
import * as Ports from "@cairngate/ports";
import * as Float from "pure-rand/distribution/uniformFloat64";
import * as Xoroshiro from "pure-rand/generator/xoroshiro128plus";

/** Random source that repeats its sequence for a seed. */
export class SeededRandom extends Ports.RandomSource {
  readonly #generator: ReturnType<typeof Xoroshiro.xoroshiro128plus>;
  #ids = 0;

  constructor(seed: number) {
    super();
    this.#generator = Xoroshiro.xoroshiro128plus(seed);
  }

  override next(): number {
    return Float.uniformFloat64(this.#generator);
  }

  override id(): string {
    return `id-${this.#ids++}-${Math.floor(this.next() * 1e9)}`;
  }

  /** Draws an integer from `first` to `last`, both included. */
  between(first: number, last: number): number {
    return first + Math.floor(this.next() * (last - first + 1));
  }

  /** Draws an element of a list that is not empty. */
  choose<T>(from: readonly T[]): T {
    return from[this.between(0, from.length - 1)];
  }
}
