/** Compares short jobs through the boxes with direct calls to the workers. */
import * as LocalCluster from "@cairngate/local-cluster";
import * as Hdr from "@cairngate/metrics";

/** Throughput and latency of one series of calls. */
export interface CallStats {
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Result of the comparison. */
export interface Comparison {
  readonly jobs: number;
  /** Answers that belong to their request. */
  readonly ownAnswers: number;
  /** Starts beyond the first of a job. */
  readonly doubled: number;
  /** Requests without an answer of status 200. */
  readonly lost: number;
  readonly through: CallStats;
  readonly direct: CallStats;
}

const WORKERS = 30;
const FIRST_PORT = 8100;
const FIRST_WORKER_PORT = 8300;
const SERIES = "call_seconds";

/** Runs the comparison and checks every answer of a box against its request. */
export async function compareWithDirectCalls(
  options: { boxes: number; jobs: number; callers: number },
): Promise<Comparison> {
  const text = LocalCluster.makeDeployment({
    name: "compare",
    workers: WORKERS,
    teams: 4,
    cells: 1,
    firstWorkerPort: FIRST_WORKER_PORT,
  });
  const cluster = new LocalCluster.LocalCluster({
    boxes: options.boxes,
    deployment: "compare",
    deploymentText: text,
    cells: ["cell_0"],
    firstPort: FIRST_PORT,
  });
  try {
    await cluster.start();
    let matching = 0;
    let lost = 0;
    const through = await measure(options, async (i) => {
      const box = i % options.boxes + 1;
      const body = makeJob(i);
      const reply = await cluster.client.post(
        cluster.callersAddress(box),
        "/v1/jobs",
        body,
      );
      const result = reply.body["result"] as { request?: string } | null;
      if (reply.status !== 200) lost++;
      else if (result?.request === `r${i}`) matching++;
    });
    const direct = await measure(options, async (i) => {
      const worker = `127.0.0.1:${FIRST_WORKER_PORT + i % WORKERS}`;
      await cluster.client.post(worker, "/v1/run", makeOrder(i));
    });
    const runLog = await readRunLog(cluster);
    const starts = runLog.filter((e) => e.jobId.startsWith("cell_0."));
    const jobs = new Set(starts.map((e) => e.jobId)).size;
    const doubled = starts.length - jobs;
    const { jobs: total } = options;
    return {
      jobs: total,
      ownAnswers: matching,
      doubled,
      lost,
      through,
      direct,
    };
  } finally {
    await cluster.stop();
  }
}

async function readRunLog(
  cluster: LocalCluster.LocalCluster,
): Promise<{ event: string; jobId: string }[]> {
  const reply = await cluster.client.get(cluster.platformAddress, "/ledger");
  const entries = Object.values(reply.body) as {
    event: string;
    jobId: string;
  }[];
  return entries.filter((entry) => entry.event === "started");
}

async function measure(
  options: { jobs: number; callers: number },
  call: (i: number) => Promise<void>,
): Promise<CallStats> {
  const metrics = new Hdr.Metrics();
  const startMs = performance.now();
  let next = 0;
  const loop = async () => {
    while (next < options.jobs) {
      const i = next++;
      const callStartMs = performance.now();
      await call(i);
      metrics.observeMs(SERIES, performance.now() - callStartMs);
    }
  };
  await Promise.all(Array.from({ length: options.callers }, loop));
  const seconds = (performance.now() - startMs) / 1000;
  return {
    perSecond: options.jobs / seconds,
    p50Ms: metrics.quantileMs(SERIES, 50),
    p99Ms: metrics.quantileMs(SERIES, 99),
  };
}

function makeInput(i: number) {
  const readings = [{ code: `E${i}`, value: i % 7, limit: 3 }];
  return { request: `r${i}`, readings };
}

function makeJob(i: number) {
  const team = `team_${i % 4}`;
  return { team, service: "diagnose", input: makeInput(i) };
}

/** The same work as a direct order, in the name of a cell that has no owner. */
function makeOrder(i: number) {
  return {
    jobId: `direct-${i}`,
    attempt: "1",
    rank: 0,
    fence: { cell: "direct", epoch: 1 },
    team: "team_0",
    mask: 0,
    gang: 1,
    work: "fault_scan",
    input: makeInput(i),
    estimateMs: null,
    repeatable: true,
    checkpointMs: null,
    progress: 0,
    holdMs: 5000,
    leaseMs: 60_000,
    caller: null,
    spec: null,
  };
}
