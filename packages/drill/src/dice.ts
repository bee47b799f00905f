/** Seeded choices. */
import type * as Rand from "pure-rand/types/RandomGenerator";
import * as Uniform from "pure-rand/distribution/uniformInt";

/** One of some things. */
export function choose<T>(
  random: Rand.RandomGenerator,
  from: readonly T[],
): T {
  return from[Uniform.uniformInt(random, 0, from.length - 1)];
}
