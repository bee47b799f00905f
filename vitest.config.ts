import * as path from "node:path";
import * as vitest from "vitest/config";

/** Tests that measure a process; they run after all others, one file at a time. */
const PROCESS_TESTS = ["platform/src/**/*_process_test.ts"];

export default vitest.defineConfig({
  resolve: {
    alias: [{
      find: /^@cairngate\/(.+)$/,
      replacement: path.resolve(import.meta.dirname, "packages/$1/mod.ts"),
    }],
  },
  test: {
    // Real time, against tests that hang; what users are promised is measured on the
    // clock that tests move. The longest plays take 18 s of a core, and three times
    // that beside three times as many processes as cores.
    testTimeout: 90_000,
    // Its ES modules import folders, which Node alone does not resolve.
    server: { deps: { inline: ["clipanion"] } },
    projects: [{
      extends: true,
      test: {
        name: "unit",
        include: [
          "packages/*/src/**/*_test.ts",
          "platform/src/**/*_test.ts",
          "tools/*/src/**/*_test.ts",
        ],
        exclude: [...vitest.configDefaults.exclude, ...PROCESS_TESTS],
        sequence: { groupOrder: 0 },
      },
    }, {
      extends: true,
      test: {
        name: "process",
        include: PROCESS_TESTS,
        fileParallelism: false,
        // Each box starts as a process, which takes seconds beside other load.
        hookTimeout: 90_000,
        sequence: { groupOrder: 1 },
      },
    }],
  },
});
