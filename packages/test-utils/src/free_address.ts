/** Free addresses for the servers of a test. */
import * as net from "node:net";

/** Finds a loopback port without a listener. */
export function findFreePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as net.AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

/** Finds a loopback address without a listener, as host:port. */
export async function findFreeAddress(): Promise<string> {
  return `127.0.0.1:${await findFreePort()}`;
}
