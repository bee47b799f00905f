/**
 * Guards against answers whose body is missing or malformed: they must count as
 * lost, not as a refusal or a success.
 */
import * as HttpJson from "@cairngate/http-json";
import * as Effect from "effect/Effect";
import * as http from "node:http";
import type * as net from "node:net";
import * as vitest from "vitest";
import * as platforms from "./http_platform.ts";
import * as workers from "./http_workers.ts";

/** Status and body text of the server's next answers. */
let answer: { status: number; text: string };
let address = "";
const server = http.createServer((req, res) => {
  req.resume();
  req.on("end", () => {
    const headers = { "content-type": "application/json" };
    res.writeHead(answer.status, headers).end(answer.text);
  });
});
const client = new workers.HttpWorkers(3);

vitest.beforeAll(async () => {
  await Effect.runPromise(HttpJson.listen(server, "127.0.0.1:0"));
  address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
});

vitest.afterAll(() => {
  client.close();
  server.close();
  server.closeAllConnections();
});

/** Returns the tag of a failure, or "none" for a success. */
async function failureOf<A, E extends { readonly _tag: string }>(
  effect: Effect.Effect<A, E>,
): Promise<string> {
  const result = await Effect.runPromise(Effect.result(effect));
  return result._tag === "Success" ? "none" : result.failure._tag;
}

vitest.describe("a worker's answer", () => {
  const fence = () => client.fence(address, { cell: "c-1", epoch: 2 });

  for (const text of ["", "null", "{}", '{"reason":"else"}']) {
    vitest.it(
      `counts as lost with status 409 and the body '${text}'`,
      async () => {
        answer = { status: 409, text };
        vitest.expect(await failureOf(fence())).toBe("WorkerLostError");
      },
    );
  }

  vitest.it("is a refusal with status 409 and a known reason", async () => {
    answer = { status: 409, text: '{"reason":"stale-epoch","epoch":4}' };
    const refused = await Effect.runPromise(Effect.flip(fence()));
    vitest.expect(refused).toMatchObject({
      _tag: "WorkerRefusedError",
      worker: address,
      reason: "stale-epoch",
      epoch: 4,
    });
  });

  for (const text of ["", "null", "[]"]) {
    vitest.it(
      `counts as lost with status 200 and the body '${text}'`,
      async () => {
        answer = { status: 200, text };
        vitest.expect(await failureOf(fence())).toBe("WorkerLostError");
      },
    );
  }
});

vitest.describe("the platform's answer", () => {
  const table = () => new platforms.HttpTable(address);
  const tx = { writeId: "w", conditions: [], writes: [] };

  for (const status of [200, 409]) {
    for (const text of ["", "null"]) {
      vitest.it(
        `counts as lost with status ${status} and the body '${text}'`,
        async () => {
          answer = { status, text };
          vitest.expect(await failureOf(table().transact(tx)))
            .toBe("AnswerLostError");
        },
      );
    }
  }
});
