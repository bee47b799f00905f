/** Random numbers and identifiers of the machine. */
import * as Platform from "@cairngate/platform";
import * as crypto from "node:crypto";

/** Random source for daemons. */
export class SystemRandom extends Platform.RandomSource {
  override next(): number {
    return Math.random();
  }

  override id(): string {
    return crypto.randomUUID();
  }
}
