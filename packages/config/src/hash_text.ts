/** Content hashes of operators' files. */
import * as crypto from "node:crypto";

const HASH_HEX_DIGITS = 12;

/** Returns the first 12 hex digits of a text's SHA-256, as shown to operators. */
export function hashText(text: string): string {
  const digest = crypto.createHash("sha256").update(text).digest("hex");
  return digest.slice(0, HASH_HEX_DIGITS);
}
