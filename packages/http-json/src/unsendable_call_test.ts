/** Calls that Node's HTTP client rejects at once fail like calls that were not sent. */
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as callers from "./http_caller.ts";

const CALL: callers.HttpCall = { method: "POST", path: "/a", body: {} };
const ADDRESS = "127.0.0.1:1";

/** A list nested this many levels deep. */
function nest(levels: number): unknown {
  return JSON.parse("[".repeat(levels) + "]".repeat(levels));
}

const CASES: Readonly<Record<string, readonly [string, callers.HttpCall]>> = {
  "a port above 65535": ["127.0.0.1:99999", CALL],
  "a negative port": ["127.0.0.1:-1", CALL],
  "a space in the path": [ADDRESS, { ...CALL, path: "a b" }],
  "a line end in a header": [ADDRESS, { ...CALL, headers: { x: "a\nb" } }],
  "a NUL in a header": [ADDRESS, { ...CALL, headers: { x: "\0" } }],
  "half a surrogate in a header": [
    ADDRESS,
    { ...CALL, headers: { x: "\ud800" } },
  ],
  "a body nested too deeply": [ADDRESS, { ...CALL, body: nest(200_000) }],
};

vitest.describe("a call that can't be sent", () => {
  for (const [what, [address, call]] of Object.entries(CASES)) {
    vitest.it(`fails with ${what} and throws nothing`, async () => {
      const caller = new callers.HttpCaller({ connections: 1 });
      const err = await Effect.runPromise(
        Effect.flip(caller.call(address, call)),
      );
      vitest.expect(err).toMatchObject({ address, neverSent: true });
      caller.close();
    });
  }
});
