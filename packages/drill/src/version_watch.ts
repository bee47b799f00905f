/** Detects boxes that go back to an older configuration. */
import type * as LocalCluster from "@cairngate/local-cluster";
import * as timers from "node:timers/promises";

const POLL_INTERVAL_MS = 250;

/** Polls the version in force on every box and counts decreases. */
export class VersionWatch {
  readonly #cluster: LocalCluster.LocalCluster;
  readonly #versionByPid = new Map<number, number>();
  #isStopped = false;
  reversals = 0;

  constructor(cluster: LocalCluster.LocalCluster) {
    this.#cluster = cluster;
  }

  /** Polls until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await Promise.all(
        this.#cluster.runningBoxes().map((box) => this.#poll(box)),
      );
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
  }

  /** Stops the polling. */
  stop(): void {
    this.#isStopped = true;
  }

  async #poll(box: number): Promise<void> {
    const pid = this.#cluster.pid(box);
    const address = this.#cluster.operatorsAddress(box);
    const reply = await Promise.race([
      this.#cluster.client.get(address, "/v1/config"),
      timers.setTimeout(POLL_INTERVAL_MS * 2, null, { ref: false }),
    ]);
    const version = Number(reply?.body["version"] ?? 0);
    // A restarted process has no version at first, and its earlier one doesn't count.
    if (version === 0 || pid === undefined || pid !== this.#cluster.pid(box)) {
      return;
    }
    const previous = this.#versionByPid.get(pid) ?? 0;
    if (version < previous) this.reversals++;
    this.#versionByPid.set(pid, version);
  }
}
