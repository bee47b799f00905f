import * as path from "node:path";
import * as vitest from "vitest/config";

export default vitest.defineConfig({
  resolve: {
    alias: [{
      find: /^@cairngate\/(.+)$/,
      replacement: path.resolve(import.meta.dirname, "packages/$1/mod.ts"),
    }],
  },
  test: {
    include: [
      "packages/*/src/**/*_test.ts",
      "platform/src/**/*_test.ts",
      "tools/*/src/**/*_test.ts",
    ],
    testTimeout: 30_000,
    // Its ES modules import folders, which Node alone does not resolve.
    server: { deps: { inline: ["clipanion"] } },
  },
});
