/** Adapter of the random source port. */
import * as Ports from "@cairngate/ports";
import * as crypto from "node:crypto";

/** Unseeded random numbers and UUIDs, for production processes. */
export class SystemRandom extends Ports.RandomSource {
  override next(): number {
    return Math.random();
  }

  override id(): string {
    return crypto.randomUUID();
  }
}
