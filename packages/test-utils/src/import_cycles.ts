/** Finds import cycles between the files of a package. */
import * as fs from "node:fs";
import * as path from "node:path";

/**
 * Matches type imports too: files that need each other's types are too tightly coupled.
 */
const IMPORT =
  /^(?:import|export)\b[^;"]*?\bfrom\s+"(\.[^"]+)"|^import\s+"(\.[^"]+)"/gm;

/**
 * Finds the import cycles between the source files under a folder. Each cycle is a
 * sorted list of file paths within the folder, in which every file reaches every other.
 */
export function findCycles(folder: string): readonly (readonly string[])[] {
  const imports = new Map(
    listSourceFiles(folder).map((file) => [file, importsOf(file)]),
  );
  const reached = new Map(
    [...imports.keys()].map((file) => [file, findReachable(file, imports)]),
  );
  const cycles = new Map<string, readonly string[]>();
  for (const [file, reachable] of reached) {
    if (!reachable.has(file)) continue;
    const members = [...reachable]
      .filter((other) => reached.get(other)?.has(file) === true)
      .map((other) => path.relative(folder, other))
      .sort();
    cycles.set(members.join(), members);
  }
  return [...cycles.values()];
}

function listSourceFiles(folder: string): readonly string[] {
  return fs.readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts"))
    .map((name) => path.join(folder, name));
}

function importsOf(file: string): readonly string[] {
  const text = fs.readFileSync(file, "utf8");
  return [...text.matchAll(IMPORT)].map(([, from, bare]) =>
    path.resolve(path.dirname(file), from ?? bare)
  );
}

/** Files that a file imports directly or indirectly. */
function findReachable(
  file: string,
  imports: ReadonlyMap<string, readonly string[]>,
): ReadonlySet<string> {
  const found = new Set<string>();
  const pending = [file];
  for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
    for (const imported of imports.get(next) ?? []) {
      if (found.has(imported)) continue;
      found.add(imported);
      pending.push(imported);
    }
  }
  return found;
}
