/** Addresses for servers of a test. */
import * as net from "node:net";

/** A port on loopback that nobody listens on. */
export function findFreePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as net.AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

/** An address on loopback that nobody listens on, as host:port. */
export async function findFreeAddress(): Promise<string> {
  return `127.0.0.1:${await findFreePort()}`;
}
