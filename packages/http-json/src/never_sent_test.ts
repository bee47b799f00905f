/**
 * Guards against calls that are reported as never sent although they have arrived. The
 * work of such a call is started elsewhere, so it would run twice. It happens where the
 * host becomes unreachable after the call was sent over an open connection: the error
 * code is the one of a connection that can't be opened.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as diagnostics from "node:diagnostics_channel";
import * as http from "node:http";
import type * as net from "node:net";
import * as vitest from "vitest";
import * as callers from "./http_caller.ts";

const CALL = { method: "POST", path: "/start", body: {} } as const;

/** Returns `neverSent` of a call that has arrived when its connection fails. */
async function failConnected(code: string): Promise<boolean> {
  const address = await TestUtils.findFreeAddress();
  const [host, port] = address.split(":");
  const caller = new callers.HttpCaller({ connections: 2 });
  const opened: net.Socket[] = [];
  const captureSocket = (message: unknown) => {
    opened.push((message as { socket: net.Socket }).socket);
  };
  diagnostics.subscribe("net.client.socket", captureSocket);
  const server = http.createServer(() => {
    const err = Object.assign(new Error(`read ${code}`), {
      code,
      syscall: "read",
    });
    opened[0].destroy(err);
  });
  await new Promise<void>((done) => {
    server.listen(Number(port), host, done);
  });
  const err = await Effect.runPromise(
    Effect.flip(caller.call(address, CALL)),
  );
  diagnostics.unsubscribe("net.client.socket", captureSocket);
  caller.close();
  server.closeAllConnections();
  server.close();
  return err.neverSent;
}

vitest.describe("a call whose host can't be reached", () => {
  for (const code of ["EHOSTUNREACH", "ENETUNREACH", "ECONNRESET"]) {
    vitest.it(
      `counts as sent where its connection was open (${code})`,
      async () => {
        vitest.expect(await failConnected(code)).toBe(false);
      },
    );
  }

  vitest.it("counts as never sent where no server listens", async () => {
    const address = await TestUtils.findFreeAddress();
    const caller = new callers.HttpCaller({ connections: 2 });
    const err = await Effect.runPromise(
      Effect.flip(caller.call(address, CALL)),
    );
    vitest.expect(err.neverSent).toBe(true);
    caller.close();
  });
});
