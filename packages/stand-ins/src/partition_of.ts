/** Returns the partition in a key of the form `table:partition/…`; empty for others. */
export function partitionOf(key = ""): string {
  return /^[^/:]*:([^/]*)\//.exec(key)?.[1] ?? "";
}
