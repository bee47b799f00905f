/** Starts, signals and stops the processes of a cluster on loopback. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import * as timers from "node:timers/promises";
import * as url from "node:url";
import * as Yaml from "yaml";
import * as clients from "./cluster_client.ts";

/** Size, deployment and settings of a local cluster. */
export interface ClusterOptions {
  readonly boxes: number;
  /** Name of the deployment. */
  readonly deployment: string;
  /** Text of the deployment file. */
  readonly deploymentText: string;
  readonly cells: readonly string[];
  /** Port of the platform; the boxes use the ports after it, PORTS_PER_BOX each. */
  readonly firstPort: number;
  /** Settings that are added to each box's, or override them. */
  readonly extraSettings?: Readonly<Record<string, unknown>>;
  /** Folder for the logs of the processes; null discards them. */
  readonly logFolder?: string | null;
}

const PORTS_PER_BOX = 10;
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;
const STOP_TIMEOUT_MS = 15_000;

/**
 * One process for each box and one for all stand-ins. Boxes are numbered from 1;
 * only processes that this cluster started are signalled.
 */
export class LocalCluster {
  readonly options: ClusterOptions;
  readonly client = new clients.ClusterClient(64);
  readonly #boxes = new Map<number, childProcess.ChildProcess>();
  #standIns: childProcess.ChildProcess | null = null;
  #folder = "";

  constructor(options: ClusterOptions) {
    this.options = options;
  }

  /** Address of the stand-in platform. */
  get platformAddress(): string {
    return `127.0.0.1:${this.options.firstPort}`;
  }

  /** Callers' address of a box. */
  callersAddress(box: number): string {
    return this.#address(box, 1);
  }

  /** Operators' address of a box. */
  operatorsAddress(box: number): string {
    return this.#address(box, 2);
  }

  /** Numbers of the boxes whose process is running. */
  runningBoxes(): number[] {
    return [...this.#boxes.keys()];
  }

  /**
   * Starts the stand-ins and boxes, applies the deployment and waits until it is
   * ready. Throws ClusterNotReadyError on timeout.
   */
  async start(): Promise<void> {
    this.#folder = await fs.mkdtemp(path.join(os.tmpdir(), "cairngate-"));
    const file = path.join(this.#folder, "deployment.yaml");
    await fs.writeFile(file, this.options.deploymentText);
    const args = ["--deployment", file, "--platform", this.platformAddress];
    this.#standIns = this.#spawn("stand-in-server", args, "stand-ins");
    await this.#waitUntil(() =>
      this.#isServing(this.platformAddress, "/counts")
    );
    for (let box = 1; box <= this.options.boxes; box++) {
      await this.startBox(box);
    }
    await this.#waitUntil(() =>
      this.#isServing(this.operatorsAddress(1), "/healthz")
    );
    await this.apply(1, this.options.deploymentText, 0);
    await this.awaitReady();
  }

  /** Applies a deployment file through a box. */
  apply(
    box: number,
    text: string,
    basedOn: number,
  ): Promise<clients.ClusterReply> {
    const applyId = `apply-${basedOn}-${box}-${process.hrtime.bigint()}`;
    const body = { text, basedOn, applyId };
    return this.client.post(this.operatorsAddress(box), "/v1/config", body);
  }

  /** Starts the process of a box. */
  async startBox(box: number): Promise<void> {
    const file = path.join(this.#folder, `box_${box}.yaml`);
    await fs.writeFile(file, Yaml.stringify(this.#settings(box)));
    const child = this.#spawn("daemon", ["--settings", file], `box_${box}`);
    this.#boxes.set(box, child);
    child.once("exit", () => {
      if (this.#boxes.get(box) === child) this.#boxes.delete(box);
    });
  }

  /** Sends a signal to the process of a box. */
  signal(box: number, signal: NodeJS.Signals): void {
    this.#boxes.get(box)?.kill(signal);
  }

  /**
   * Waits for the end of a box's process and returns its exit code. Null on timeout,
   * after a signal, or if the process doesn't run.
   */
  async awaitExit(box: number): Promise<number | null> {
    const child = this.#boxes.get(box);
    if (child === undefined) return null;
    const ended = new Promise<number | null>((resolve) => {
      child.once("exit", (code) => resolve(code));
    });
    const timeout = timers.setTimeout(STOP_TIMEOUT_MS, null, { ref: false });
    return await Promise.race([ended, timeout]);
  }

  /** Process id of a box. */
  pid(box: number): number | undefined {
    return this.#boxes.get(box)?.pid;
  }

  /** Returns the number of the box that owns a cell; 0 if there is none. */
  async owner(cell: string): Promise<number> {
    const [box] = this.runningBoxes();
    const reply = await this.client.get(
      this.operatorsAddress(box),
      "/v1/status",
    );
    const cells = (reply.body["cells"] ?? []) as {
      cell: string;
      owner: string;
    }[];
    const owned = cells.find((c) => c.cell === cell);
    return Number(owned?.owner.replace("box_", "") ?? 0);
  }

  /** Waits until every box is ready and every cell's owner has fenced its workers. */
  async awaitReady(): Promise<void> {
    for (const box of this.runningBoxes()) {
      await this.#waitUntil(() =>
        this.#isServing(this.operatorsAddress(box), "/readyz")
      );
    }
    await this.#waitUntil(() => this.#areWorkersSealed());
  }

  /** Kills all processes that this cluster started and deletes its folder. */
  async stop(): Promise<void> {
    for (const child of this.#boxes.values()) child.kill("SIGKILL");
    this.#standIns?.kill("SIGKILL");
    this.client.close();
    await fs.rm(this.#folder, { recursive: true, force: true });
  }

  async #areWorkersSealed(): Promise<boolean> {
    const [box] = this.runningBoxes();
    const reply = await this.client.get(
      this.operatorsAddress(box),
      "/v1/status",
    );
    const cells = (reply.body["cells"] ?? []) as {
      sealedWorkers: number;
      workers: number;
    }[];
    return cells.length === this.options.cells.length &&
      cells.every((cell) => cell.sealedWorkers === cell.workers);
  }

  async #isServing(address: string, route: string): Promise<boolean> {
    return (await this.client.get(address, route)).status === 200;
  }

  async #waitUntil(condition: () => Promise<boolean>): Promise<void> {
    const deadlineMs = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < deadlineMs) {
      if (await condition()) return;
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
    throw new ClusterNotReadyError(this.options.deployment);
  }

  #address(box: number, offset: number): string {
    const port = this.options.firstPort + box * PORTS_PER_BOX + offset;
    return `127.0.0.1:${port}`;
  }

  #settings(box: number) {
    const peers = [];
    for (let other = 1; other <= this.options.boxes; other++) {
      if (other === box) continue;
      peers.push({ name: `box_${other}`, address: this.#address(other, 3) });
    }
    return {
      box: `box_${box}`,
      dataCentre: `dc_${box % 3}`,
      deployment: this.options.deployment,
      callersAddress: this.callersAddress(box),
      operatorsAddress: this.operatorsAddress(box),
      peersAddress: this.#address(box, 3),
      platformAddress: this.platformAddress,
      peers,
      ...this.options.extraSettings,
    };
  }

  #spawn(
    packageName: string,
    args: readonly string[],
    logName: string,
  ): childProcess.ChildProcess {
    const bin = url.fileURLToPath(
      new URL(`../../../${packageName}/dist/bin.js`, import.meta.url),
    );
    const child = childProcess.spawn(process.execPath, [bin, ...args], {
      stdio: ["ignore", "ignore", "pipe"],
    });
    const { logFolder } = this.options;
    child.stderr?.on("data", (chunk: Uint8Array) => {
      if (logFolder === undefined || logFolder === null) return;
      void fs.appendFile(path.join(logFolder, `${logName}.log`), chunk);
    });
    return child;
  }
}

/** Thrown when the processes are not ready after READY_TIMEOUT_MS. */
export class ClusterNotReadyError extends Error {
  readonly _tag = "ClusterNotReadyError";
  constructor(deployment: string) {
    super(`The processes of ${deployment} were not ready in time.`);
  }
}
