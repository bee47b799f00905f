/** A TCP link that can be cut silently and heals: bytes that were held up then arrive. */
import net from "node:net";

export class Link {
  #pairs = new Set();
  #isCut = false;
  #server = null;

  /** Listens on a free port and forwards to a port; returns host:port. */
  async listen(targetPort) {
    this.#server = net.createServer((near) => {
      const far = net.connect(targetPort, "127.0.0.1");
      const pair = { near, far };
      this.#pairs.add(pair);
      near.on("data", (bytes) => far.write(bytes));
      far.on("data", (bytes) => near.write(bytes));
      const end = (hasFailed) => {
        this.#pairs.delete(pair);
        if (hasFailed && !near.destroyed) near.resetAndDestroy();
        else near.destroy();
        far.destroy();
      };
      near.on("error", () => end(false));
      near.on("close", () => end(false));
      far.on("error", () => end(true));
      far.on("close", () => end(true));
      if (this.#isCut) this.#pause(pair);
    });
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  cut() {
    this.#isCut = true;
    for (const pair of this.#pairs) this.#pause(pair);
  }

  heal() {
    this.#isCut = false;
    for (const { near, far } of this.#pairs) {
      near.resume();
      far.resume();
    }
  }

  close() {
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
    this.#server.close();
  }

  #pause({ near, far }) {
    near.pause();
    far.pause();
  }
}
