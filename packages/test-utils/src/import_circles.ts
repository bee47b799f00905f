/** Finds files of one package that import each other in a circle. */
import * as fs from "node:fs";
import * as path from "node:path";

/** `import type` counts as well: what knows each other's types has one job too many. */
const IMPORT =
  /^(?:import|export)\b[^;"]*?\bfrom\s+"(\.[^"]+)"|^import\s+"(\.[^"]+)"/gm;

/**
 * Circles among the source files under a folder: each is a list of the files, as
 * paths within it, of which every one leads to every other.
 */
export function findCircles(folder: string): readonly (readonly string[])[] {
  const imports = new Map(
    listSources(folder).map((file) => [file, importsOf(file)]),
  );
  const reached = new Map(
    [...imports.keys()].map((file) => [file, reachFrom(file, imports)]),
  );
  const circles = new Map<string, readonly string[]>();
  for (const [file, ahead] of reached) {
    if (!ahead.has(file)) continue;
    const members = [...ahead]
      .filter((other) => reached.get(other)?.has(file) === true)
      .map((other) => path.relative(folder, other))
      .sort();
    circles.set(members.join(), members);
  }
  return [...circles.values()];
}

function listSources(folder: string): readonly string[] {
  return fs.readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts"))
    .map((name) => path.join(folder, name));
}

function importsOf(file: string): readonly string[] {
  const text = fs.readFileSync(file, "utf8");
  return [...text.matchAll(IMPORT)].map(([, from, alone]) =>
    path.resolve(path.dirname(file), from ?? alone)
  );
}

/** Files that a file imports, and those that these import. */
function reachFrom(
  file: string,
  imports: ReadonlyMap<string, readonly string[]>,
): ReadonlySet<string> {
  const found = new Set<string>();
  const open = [file];
  for (let next = open.pop(); next !== undefined; next = open.pop()) {
    for (const one of imports.get(next) ?? []) {
      if (found.has(one)) continue;
      found.add(one);
      open.push(one);
    }
  }
  return found;
}
