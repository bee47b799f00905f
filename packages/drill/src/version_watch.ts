/** Watches that no box goes back to an older configuration. */
import type * as LocalCluster from "@cairngate/local-cluster";
import * as timers from "node:timers/promises";

const LOOK_MS = 250;

/** Reads the version in force on every box, again and again. */
export class VersionWatch {
  readonly #cluster: LocalCluster.LocalCluster;
  readonly #seen = new Map<number, number>();
  #isOver = false;
  reversals = 0;

  constructor(cluster: LocalCluster.LocalCluster) {
    this.#cluster = cluster;
  }

  /** Watches until it is stopped. */
  async run(): Promise<void> {
    while (!this.#isOver) {
      await Promise.all(this.#cluster.running().map((box) => this.#look(box)));
      await timers.setTimeout(LOOK_MS);
    }
  }

  /** Ends the watch. */
  stop(): void {
    this.#isOver = true;
  }

  async #look(box: number): Promise<void> {
    const pid = this.#cluster.pid(box);
    const address = this.#cluster.operators(box);
    const reply = await Promise.race([
      this.#cluster.client.get(address, "/v1/config"),
      timers.setTimeout(LOOK_MS * 2, null, { ref: false }),
    ]);
    const version = Number(reply?.body["version"] ?? 0);
    // A restarted process serves nothing until it has a version again.
    if (version === 0 || pid === undefined || pid !== this.#cluster.pid(box)) {
      return;
    }
    const before = this.#seen.get(pid) ?? 0;
    if (version < before) this.reversals++;
    this.#seen.set(pid, version);
  }
}
