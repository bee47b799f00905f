/** What the owner of a cell needs from its box. */
import type * as Config from "@cairngate/config";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import type * as TableClient from "@cairngate/table-client";
import type * as Types from "@cairngate/types";

/** What a box knows of the other boxes, the owners and the workers. */
export abstract class ClusterView {
  /** The highest claim on a cell that was seen. */
  abstract claimOf(cell: string): Types.OwnerClaim | null;
  /** Notes a claim; lower epochs are ignored. */
  abstract noteClaim(claim: Types.OwnerClaim): void;
  /** Whether this box or a peer it hears has heard a box lately. */
  abstract isAliveAnywhere(box: string): boolean;
  /** Whether a box has told that it is leaving. */
  abstract isLeaving(box: string): boolean;
  /** Boxes heard lately that are not leaving. */
  abstract livePeers(): readonly string[];
  /** Whether a worker is known to be leaving. */
  abstract isWorkerLeaving(worker: string): boolean;
  /** Tells all peers at once, outside of the heartbeat's interval. */
  abstract announce(): void;
}

/** A configuration in force, parsed. */
export interface ConfigInForce {
  readonly version: number;
  readonly cfg: Types.DeploymentConfig;
}

/** Ports of a cell. */
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
