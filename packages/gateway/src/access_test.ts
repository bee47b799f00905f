/** Checks that queues are found by host and longest prefix, and teams by key. */
import * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as access from "./access.ts";

const REQUEST = {
  host: "jobs.example",
  path: "/p1/a000000000000001",
  key: "key-of-hana",
};

function buildTable(
  options: { outdated?: boolean; changes?: Partial<Ports.AccessConfig> } = {},
): access.AccessTable {
  const table = new access.AccessTable(
    Logger.silentLogger(),
    () => options.outdated ?? false,
  );
  table.update({ ...TestUtils.buildAccess(), ...options.changes });
  return table;
}

function check(table: access.AccessTable, request = {}) {
  const checked = table.check({ ...REQUEST, ...request });
  return Effect.runSync(Effect.result(checked));
}

function failureOf(table: access.AccessTable, request = {}): string | null {
  const result = check(table, request);
  return result._tag === "Failure" ? result.failure._tag : null;
}

vitest.describe("AccessTable", () => {
  vitest.it("finds the queue, the team and the rest of the path", () => {
    const result = check(buildTable());
    if (result._tag === "Failure") throw result.failure;
    vitest.expect(result.success.route.queue).toBe("queue-1");
    vitest.expect(result.success.team).toBe("hana");
    vitest.expect(result.success.subpath).toBe("a000000000000001");
  });

  vitest.it("prefers the longest prefix", () => {
    const [first] = TestUtils.buildAccess().queues;
    const queues = [
      { ...first, queue: "short", pathPrefix: "/a/" },
      { ...first, queue: "long", pathPrefix: "/a/b/" },
    ];
    const result = check(buildTable({ changes: { queues } }), {
      path: "/a/b/c",
    });
    if (result._tag === "Failure") throw result.failure;
    vitest.expect(result.success.route.queue).toBe("long");
  });

  vitest.it("refuses unknown paths, unknown keys and missing keys", () => {
    const table = buildTable();
    vitest.expect(failureOf(table, { path: "/x" })).toBe("UnknownQueueError");
    vitest.expect(failureOf(table, { key: "no" })).toBe("UnknownKeyError");
    vitest.expect(failureOf(table, { key: null })).toBe("UnknownKeyError");
  });

  vitest.it("ignores an older version", () => {
    const table = buildTable({ changes: { version: 7, tenants: [] } });
    table.update(TestUtils.buildAccess());
    vitest.expect(table.config?.version).toBe(7);
    vitest.expect(failureOf(table)).toBe("UnknownKeyError");
  });

  vitest.it("refuses requests while a newer version may be in force", () => {
    vitest.expect(failureOf(buildTable({ outdated: true }))).toBe(
      "NotReadyError",
    );
  });
});
