/** Dependencies of the entry that its box provides. */
import type * as Config from "@cairngate/config";
import type * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import type * as TableClient from "@cairngate/table-client";
import type * as Types from "@cairngate/types";
import type * as Effect from "effect/Effect";

/** Reasons why a request to the owner of a cell fails. */
export type AskError =
  | Errors.NotOwnerError
  | Errors.NotReadyError
  | Errors.PeerUnreachableError;

/** Sends requests to the box that owns a cell, this one or another. */
export abstract class OwnerDirectory {
  /** Sends a request to the owner and waits for its reply. */
  abstract request<A>(
    cell: string,
    req: Types.PeerRequest,
    timeoutMs: number,
  ): Effect.Effect<A, AskError>;
  /** Whether a worker is announced to be leaving. */
  abstract isWorkerLeaving(worker: string): boolean;
}

/** Services, settings and limits that the entry uses. */
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
