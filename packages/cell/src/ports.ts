/** Interfaces that a box provides to the owner of a cell. */
import type * as Config from "@cairngate/config";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import type * as TableClient from "@cairngate/table-client";
import type * as Types from "@cairngate/types";

/** This box's view of the other boxes, the cell owners and the workers. */
export abstract class ClusterView {
  /** The claim on a cell with the highest epoch; null if there is none. */
  abstract claimOf(cell: string): Types.OwnerClaim | null;
  /** Records a claim; a claim with an equal or lower epoch is ignored. */
  abstract noteClaim(claim: Types.OwnerClaim): void;
  /** Whether this box or a live peer has received a recent heartbeat from a box. */
  abstract isAliveAnywhere(box: string): boolean;
  /** Whether the last heartbeat of a box announced that it is leaving. */
  abstract isLeaving(box: string): boolean;
  /** Peers with a recent heartbeat that are in service: not starting, not leaving. */
  abstract livePeers(): readonly string[];
  /** Whether the platform's list or a peer reports a worker as leaving. */
  abstract isWorkerLeaving(worker: string): boolean;
  /** Sends a heartbeat to all peers at once, without waiting for the interval. */
  abstract announce(): void;
}

/** The parsed configuration in force and its version. */
export interface ConfigInForce {
  readonly version: number;
  readonly cfg: Types.DeploymentConfig;
}

/** Services that the manager and the owner of a cell use. */
export interface CellPorts {
  readonly box: string;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly store: TableClient.StoreClient;
  readonly writer: TableClient.GroupedWriter;
  readonly objects: Ports.ObjectStore;
  readonly workers: Ports.Workers;
  readonly metrics: Metrics.Metrics;
  readonly log: Logger.Logger;
  readonly view: ClusterView;
  readonly times: Config.TimeSettings;
  readonly config: () => ConfigInForce | null;
}
