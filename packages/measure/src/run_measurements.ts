/** Starts clusters of several sizes and measures the resource use of each role. */
import * as LocalCluster from "@cairngate/local-cluster";
import * as timers from "node:timers/promises";
import * as fits from "./fit_line.ts";
import * as probes from "./probe.ts";

/** Resource use of a cluster at one value of the varied size or rate. */
export interface Measurement {
  readonly name: string;
  readonly x: number;
  readonly use: probes.ClusterUse;
}

/** Fitted growth of one figure per unit of a size or rate. */
export interface Slope extends fits.LineFit {
  readonly of: string;
  readonly per: string;
}

/** All measurements, slopes, and times until a configuration is in force. */
export interface MeasureReport {
  readonly measurements: readonly Measurement[];
  readonly slopes: readonly Slope[];
  readonly propagation: readonly { boxes: number; maxMs: number }[];
}

const FIRST_PORT = 9000;
const FIRST_WORKER_PORT = 9200;
const CELL = "cell_0";
const PROBE_S = 6;
const SETTLE_MS = 1500;
/** Times of the target size, at which idle workers report every 30 s. */
const TARGET_TIMES = { reportWaitMs: 30_000 };
const FIELDS: readonly (keyof probes.BoxUse)[] = [
  "cpuPercent",
  "residentMb",
  "peerBytes",
  "workerBytes",
  "platformBytes",
  "storeReads",
  "storeWrites",
  "workerReports",
];

/** Runs all series, or the one named `only`; `log` receives a line per measurement. */
export async function runMeasurements(
  log: (line: string) => void,
  only: string | null = null,
): Promise<MeasureReport> {
  const measurements: Measurement[] = [];
  const propagation: { boxes: number; maxMs: number }[] = [];
  const record = (measurement: Measurement) => {
    measurements.push(measurement);
    log(`${measurement.name}: ${JSON.stringify(measurement.use)}`);
  };
  const isSelected = (kind: string) => only === null || only === kind;
  for (const workers of isSelected("workers") ? [30, 240, 960, 2896] : []) {
    await withCluster({ workers, boxes: 3 }, async (cluster) => {
      record(await measure(cluster, "workers", workers));
    });
  }
  for (const reportWaitMs of isSelected("reports") ? [1000, 2000, 6000] : []) {
    const times = { reportWaitMs };
    await withCluster({ workers: 240, boxes: 3, times }, async (cluster) => {
      const rate = 240_000 / reportWaitMs;
      record(await measure(cluster, "reportsPerSecond", rate));
    });
  }
  for (const boxes of isSelected("boxes") ? [3, 6, 9] : []) {
    await withCluster({ workers: 30, boxes }, async (cluster) => {
      record(await measure(cluster, "boxes", boxes));
      propagation.push({ boxes, maxMs: await measureApply(cluster) });
    });
  }
  if (isSelected("tasks")) {
    await withCluster({ workers: 240, boxes: 3 }, async (cluster) => {
      for (const tasks of [0, 400, 1600]) {
        await startTasks(cluster, tasks);
        record(await measure(cluster, "tasks", tasks));
      }
    });
  }
  if (isSelected("rates")) {
    await withCluster({ workers: 30, boxes: 3 }, async (cluster) => {
      for (const rate of [0, 20, 60]) {
        const during = () => sendShortJobs(cluster, rate);
        record(await measure(cluster, "shortJobsPerSecond", rate, during));
      }
      for (const rate of [0, 5, 15]) {
        const during = () => sendLongJobs(cluster, rate);
        record(await measure(cluster, "longJobsPerSecond", rate, during));
      }
    });
  }
  return { measurements, slopes: fitAll(measurements), propagation };
}

async function withCluster(
  size: { workers: number; boxes: number; times?: object },
  run: (cluster: LocalCluster.LocalCluster) => Promise<void>,
): Promise<void> {
  const text = LocalCluster.makeDeployment({
    name: "measure",
    workers: size.workers,
    teams: Math.min(40, Math.max(4, Math.floor(size.workers / 70))),
    cells: 1,
    firstWorkerPort: FIRST_WORKER_PORT,
  });
  const cluster = new LocalCluster.LocalCluster({
    boxes: size.boxes,
    deployment: "measure",
    deploymentText: text,
    cells: [CELL],
    firstPort: FIRST_PORT,
    extraSettings: { times: size.times ?? TARGET_TIMES },
  });
  try {
    await cluster.start();
    await timers.setTimeout(SETTLE_MS);
    await run(cluster);
  } finally {
    await cluster.stop();
  }
}

async function measure(
  cluster: LocalCluster.LocalCluster,
  name: string,
  x: number,
  during?: () => Promise<void>,
): Promise<Measurement> {
  const options = { seconds: PROBE_S, cell: CELL, during };
  const use = await probes.probeCluster(cluster, options);
  return { name: `${name}=${x}`, x, use };
}

/** Starts long-running tasks with one accelerator each. */
async function startTasks(
  cluster: LocalCluster.LocalCluster,
  count: number,
): Promise<void> {
  const body = {
    team: "team_2",
    service: "rebuild",
    input: { runMs: 3_600_000 },
  };
  let started = 0;
  const loop = async () => {
    while (started < count) {
      started++;
      await cluster.client.post(cluster.callersAddress(1), "/v1/jobs", body);
    }
  };
  await Promise.all(Array.from({ length: 50 }, loop));
  await timers.setTimeout(SETTLE_MS);
}

function sendShortJobs(
  cluster: LocalCluster.LocalCluster,
  rate: number,
): Promise<void> {
  return sendAtRate(
    rate,
    (i) =>
      cluster.client.post(cluster.callersAddress(i % 3 + 1), "/v1/jobs", {
        team: "team_0",
        service: "diagnose",
        input: { request: `r${i}` },
      }),
  );
}

function sendLongJobs(
  cluster: LocalCluster.LocalCluster,
  rate: number,
): Promise<void> {
  return sendAtRate(
    rate,
    (i) =>
      cluster.client.post(cluster.callersAddress(i % 3 + 1), "/v1/jobs", {
        team: "team_2",
        service: "rebuild",
        input: { runMs: 200 },
      }),
  );
}

async function sendAtRate(
  rate: number,
  send: (i: number) => Promise<unknown>,
): Promise<void> {
  const count = rate * (PROBE_S - 1);
  const sent: Promise<unknown>[] = [];
  const startMs = performance.now();
  for (let i = 0; i < count; i++) {
    const dueMs = startMs + i / rate * 1000;
    await timers.setTimeout(Math.max(0, dueMs - performance.now()));
    sent.push(send(i));
  }
  await Promise.all(sent);
}

/** Returns the longest time until a version is in force on every box, in ms. */
async function measureApply(
  cluster: LocalCluster.LocalCluster,
): Promise<number> {
  let longest = 0;
  for (let version = 1; version <= 5; version++) {
    const startMs = performance.now();
    await cluster.apply(
      1,
      `${cluster.options.deploymentText}# ${version}\n`,
      version,
    );
    for (const box of cluster.runningBoxes()) {
      await awaitVersion(cluster, box, version + 1);
    }
    longest = Math.max(longest, performance.now() - startMs);
  }
  return longest;
}

async function awaitVersion(
  cluster: LocalCluster.LocalCluster,
  box: number,
  version: number,
): Promise<void> {
  for (let i = 0; i < 1000; i++) {
    const address = cluster.operatorsAddress(box);
    const reply = await cluster.client.get(address, "/v1/config");
    if (Number(reply.body["version"] ?? 0) >= version) return;
    await timers.setTimeout(5);
  }
}

/** Fits a line for each varied size or rate, role and field. */
function fitAll(measurements: readonly Measurement[]): Slope[] {
  const slopes: Slope[] = [];
  const kinds = new Set(measurements.map((m) => m.name.split("=")[0]));
  for (const per of kinds) {
    const matching = measurements.filter((m) => m.name.startsWith(`${per}=`));
    for (const role of ["owner", "other"] as const) {
      for (const field of FIELDS) {
        const points = matching.map((m) => [m.x, m.use[role][field]] as const);
        slopes.push({ of: `${role}.${field}`, per, ...fits.fitLine(points) });
      }
    }
  }
  return slopes;
}
