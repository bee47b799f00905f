/** Measures the resource use of each box over some seconds. */
import * as LocalCluster from "@cairngate/local-cluster";
import * as timers from "node:timers/promises";

/** Resource use of one box. Bytes and counts are per second. */
export interface BoxUse {
  /** Percentage of one core. */
  readonly cpuPercent: number;
  readonly residentMb: number;
  readonly peerBytes: number;
  readonly workerBytes: number;
  readonly platformBytes: number;
  readonly storeReads: number;
  readonly storeWrites: number;
  readonly workerReports: number;
}

/** Resource use of the cell's owner, and the mean of the other boxes. */
export interface ClusterUse {
  readonly owner: BoxUse;
  readonly other: BoxUse;
}

/** Measures the boxes of a cluster for some seconds while `during` runs. */
export async function probeCluster(
  cluster: LocalCluster.LocalCluster,
  options: { seconds: number; cell: string; during?: () => Promise<void> },
): Promise<ClusterUse> {
  const owner = await cluster.owner(options.cell);
  const boxes = cluster.runningBoxes();
  const before = await Promise.all(boxes.map((b) => readBox(cluster, b)));
  const startMs = performance.now();
  const work = options.during?.() ?? Promise.resolve();
  await timers.setTimeout(options.seconds * 1000);
  const after = await Promise.all(boxes.map((b) => readBox(cluster, b)));
  const seconds = (performance.now() - startMs) / 1000;
  await work;
  const uses = boxes.map((_, i) => computeUse(before[i], after[i], seconds));
  const ownerUse = uses[boxes.indexOf(owner)] ?? uses[0];
  const others = uses.filter((use) => use !== ownerUse);
  return {
    owner: ownerUse,
    other: meanUse(others.length > 0 ? others : [ownerUse]),
  };
}

async function readBox(
  cluster: LocalCluster.LocalCluster,
  box: number,
): Promise<Map<string, number>> {
  const reply = await cluster.client.get(
    cluster.operatorsAddress(box),
    "/metrics",
  );
  return LocalCluster.parseMetrics(String(reply.body["text"]));
}

function computeUse(
  before: ReadonlyMap<string, number>,
  after: ReadonlyMap<string, number>,
  seconds: number,
): BoxUse {
  const rate = (...names: string[]) =>
    names.reduce(
      (sum, name) => sum + (after.get(name) ?? 0) - (before.get(name) ?? 0),
      0,
    ) / seconds;
  const bytes = (link: string) =>
    rate(
      `cairngate_${link}_sent_bytes_total`,
      `cairngate_${link}_received_bytes_total`,
    );
  return {
    cpuPercent: rate("process_cpu_seconds_total") * 100,
    residentMb: (after.get("process_resident_memory_bytes") ?? 0) / 1e6,
    peerBytes: bytes("peer"),
    workerBytes: bytes("worker"),
    platformBytes: bytes("platform"),
    storeReads: rate("cairngate_store_reads_total"),
    storeWrites: rate("cairngate_store_writes_total"),
    workerReports: rate("cairngate_worker_reports_total"),
  };
}

function meanUse(uses: readonly BoxUse[]): BoxUse {
  const mean = (field: keyof BoxUse) =>
    uses.reduce((sum, use) => sum + use[field], 0) / uses.length;
  return {
    cpuPercent: mean("cpuPercent"),
    residentMb: mean("residentMb"),
    peerBytes: mean("peerBytes"),
    workerBytes: mean("workerBytes"),
    platformBytes: mean("platformBytes"),
    storeReads: mean("storeReads"),
    storeWrites: mean("storeWrites"),
    workerReports: mean("workerReports"),
  };
}
