/** Addresses of the form host:port, and listening on them. */
import * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";
import type * as net from "node:net";

/** Splits host:port; an IPv6 host is in brackets. */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}

/** Joins a host and a port; an IPv6 host is put in brackets. */
export function formatAddress(host: string, port: number): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Makes a server listen on an address. */
export function listen(
  server: net.Server,
  address: string,
): Effect.Effect<void, Errors.ListenError> {
  return Effect.callback<void, Errors.ListenError>((resume) => {
    const { host, port } = parseAddress(address);
    const fail = (err: Error) => {
      const cause = err.message;
      resume(Effect.fail(new Errors.ListenError({ address, cause })));
    };
    server.once("error", fail);
    server.listen(port, host, () => {
      server.off("error", fail);
      resume(Effect.void);
    });
  });
}
