/** Random numbers that repeat for a seed. */
import * as Ports from "@cairngate/ports";
import * as Float from "pure-rand/distribution/uniformFloat64";
import * as Xoroshiro from "pure-rand/generator/xoroshiro128plus";

/** Random source for tests. */
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

  /** A whole number from `first` to `last`. */
  between(first: number, last: number): number {
    return first + Math.floor(this.next() * (last - first + 1));
  }

  /** One of some things. */
  choose<T>(from: readonly T[]): T {
    return from[this.between(0, from.length - 1)];
  }
}
