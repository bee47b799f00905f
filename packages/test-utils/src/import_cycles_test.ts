import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as vitest from "vitest";
import * as cycles from "./import_cycles.ts";

const ROOT = path.resolve(import.meta.dirname, "../../..");

/** Lists the source folders of the packages. */
function listPackages(): readonly string[] {
  const packages = fs.readdirSync(path.join(ROOT, "packages"))
    .map((name) => `packages/${name}/src`);
  return [...packages, "platform/src"]
    .filter((folder) => fs.existsSync(path.join(ROOT, folder)));
}

/** Writes a package to a temporary folder, which is removed after the test. */
function writePackage(files: Readonly<Record<string, string>>): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "circles-"));
  vitest.onTestFinished(() => fs.rmSync(folder, { recursive: true }));
  for (const [name, text] of Object.entries(files)) {
    fs.mkdirSync(path.dirname(path.join(folder, name)), { recursive: true });
    fs.writeFileSync(path.join(folder, name), text);
  }
  return folder;
}

vitest.describe("source files of a package", () => {
  vitest.it("have no import cycle", () => {
    const found = listPackages().flatMap((folder) =>
      cycles.findCycles(path.join(ROOT, folder))
        .map((files) => `${folder}: ${files.join(", ")}`)
    );
    vitest.expect(found).toEqual([]);
  });
});

vitest.describe("findCycles", () => {
  vitest.it(
    "finds a cycle across type imports, folders and multi-line exports",
    () => {
      const folder = writePackage({
        "one.ts": 'import type * as two from "./under/two.ts";\n',
        "under/two.ts": 'export {\n  type A,\n  b,\n} from "../three.ts";\n',
        "three.ts": '/** Doc. */\nimport "./one.ts";\n',
        "beside.ts": 'import * as one from "./one.ts";\n',
      });
      vitest.expect(cycles.findCycles(folder)).toEqual([
        ["one.ts", "three.ts", "under/two.ts"],
      ]);
    },
  );

  vitest.it("finds none in an import chain without a cycle", () => {
    const folder = writePackage({
      "one.ts": 'import * as two from "./two.ts";\n',
      "two.ts": '// import * as one from "./one.ts";\n',
    });
    vitest.expect(cycles.findCycles(folder)).toEqual([]);
  });
});
