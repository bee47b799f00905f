/** Partition that a key names behind its table; empty for none. */
export function partitionOf(key = ""): string {
  return /^[^/:]*:([^/]*)\//.exec(key)?.[1] ?? "";
}
