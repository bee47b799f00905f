/** Random numbers and identifiers of the machine. */
import * as Ports from "@cairngate/ports";
import * as crypto from "node:crypto";

/** Random source for daemons. */
export class SystemRandom extends Ports.RandomSource {
  override next(): number {
    return Math.random();
  }

  override id(): string {
    return crypto.randomUUID();
  }
}
