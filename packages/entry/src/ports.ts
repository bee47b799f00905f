/** What the entry needs from its box. */
import type * as Config from "@cairngate/config";
import type * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import type * as TableClient from "@cairngate/table-client";
import type * as Types from "@cairngate/types";
import type * as Effect from "effect/Effect";

/** Why the owner of a cell did not answer. */
export type AskError =
  | Errors.NotOwnerError
  | Errors.NotReadyError
  | Errors.PeerUnreachableError;

/** Asks the owner of a cell, wherever it is. */
export abstract class OwnerDirectory {
  /** Sends a request to the owner and waits for its reply. */
  abstract ask<A>(
    cell: string,
    req: Types.PeerRequest,
    timeoutMs: number,
  ): Effect.Effect<A, AskError>;
  /** Whether a worker is known to be leaving. */
  abstract isWorkerLeaving(worker: string): boolean;
}

/** Ports of the entry. */
export interface EntryPorts {
  readonly box: string;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly store: TableClient.StoreClient;
  readonly writer: TableClient.GroupedWriter;
  readonly objects: Ports.ObjectStore;
  readonly workers: Ports.Workers;
  readonly metrics: Metrics.Metrics;
  readonly log: Logger.Logger;
  readonly owners: OwnerDirectory;
  readonly limits: Config.LimitSettings;
  readonly config: () => Types.DeploymentConfig | null;
}
