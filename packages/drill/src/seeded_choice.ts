/** Random choices from a seeded generator. */
import type * as Rand from "pure-rand/types/RandomGenerator";
import * as Uniform from "pure-rand/distribution/uniformInt";

/** Returns one of the items; each is equally likely. */
export function choose<T>(
  random: Rand.RandomGenerator,
  items: readonly T[],
): T {
  return items[Uniform.uniformInt(random, 0, items.length - 1)];
}
