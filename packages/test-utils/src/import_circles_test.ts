import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as vitest from "vitest";
import * as circles from "./import_circles.ts";

const ROOT = path.resolve(import.meta.dirname, "../../..");

/** Folders with the sources of the packages. */
function listPackages(): readonly string[] {
  const packages = fs.readdirSync(path.join(ROOT, "packages"))
    .map((name) => `packages/${name}/src`);
  return [...packages, "platform/src"]
    .filter((folder) => fs.existsSync(path.join(ROOT, folder)));
}

/** A package of these files; the folder is removed at the end of the test. */
function writePackage(files: Readonly<Record<string, string>>): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "circles-"));
  vitest.onTestFinished(() => fs.rmSync(folder, { recursive: true }));
  for (const [name, text] of Object.entries(files)) {
    fs.mkdirSync(path.dirname(path.join(folder, name)), { recursive: true });
    fs.writeFileSync(path.join(folder, name), text);
  }
  return folder;
}

vitest.describe("files of one package", () => {
  vitest.it("import each other in no circle", () => {
    const found = listPackages().flatMap((folder) =>
      circles.findCircles(path.join(ROOT, folder))
        .map((files) => `${folder}: ${files.join(", ")}`)
    );
    vitest.expect(found).toEqual([]);
  });
});

vitest.describe("the search for circles", () => {
  vitest.it("finds one that goes over types, folders and lines", () => {
    const folder = writePackage({
      "one.ts": 'import type * as two from "./under/two.ts";\n',
      "under/two.ts": 'export {\n  type A,\n  b,\n} from "../three.ts";\n',
      "three.ts": '/** Doc. */\nimport "./one.ts";\n',
      "beside.ts": 'import * as one from "./one.ts";\n',
    });
    vitest.expect(circles.findCircles(folder)).toEqual([
      ["one.ts", "three.ts", "under/two.ts"],
    ]);
  });

  vitest.it("finds none where files only lead on", () => {
    const folder = writePackage({
      "one.ts": 'import * as two from "./two.ts";\n',
      "two.ts": '// import * as one from "./one.ts";\n',
    });
    vitest.expect(circles.findCircles(folder)).toEqual([]);
  });
});
