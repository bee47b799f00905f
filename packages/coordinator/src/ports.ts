/** Dependencies of the coordinator, which its box provides. */
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import type * as TableClient from "@cairngate/table-client";
import type * as Types from "@cairngate/types";
import type * as evacuations from "./endpoints/evacuation_tracker.ts";
import type * as fitnesses from "./election/fitness.ts";
import type * as outageReports from "./election/outage_reports.ts";

/** Bounds set by the platform, in milliseconds unless stated otherwise. */
export interface EndpointBounds {
  /** Longest lease of an endpoint's runs. */
  readonly longestLeaseMs: number;
  /** Maximum time that stopping a run takes. */
  readonly stopMs: number;
  /** Time for which members of a gang wait for each other. */
  readonly gangWaitMs: number;
  /** Factor by which work away from its rack is slower. */
  readonly remotePenalty: number;
  /** Time for which ended workflows can be queried. */
  readonly keepEndedMs: number;
}

/** Dependencies and settings of a coordinator. */
export interface CoordinatorPorts {
  /** Name of this box. */
  readonly box: string;
  /** Unique to each start of the box's process. */
  readonly incarnation: string;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly store: TableClient.StoreClient;
  readonly endpoints: Ports.TaskEndpoints;
  /** Null where no advice service is configured. */
  readonly advisor: Ports.Advisor | null;
  readonly endpointFeed: Ports.RowFeed<Ports.EndpointListing>;
  readonly intakeFeed: Ports.RowFeed<unknown>;
  readonly electionFeed: Ports.RowFeed<unknown>;
  /** Configuration in force on this box; null before the first one arrives. */
  readonly config: () => Ports.AccessConfig | null;
  /** Data centres in which nothing may start; kept by the box across terms. */
  readonly evacuations: evacuations.EvacuationTracker;
  readonly fitness: fitnesses.Fitness;
  readonly outageReports: outageReports.OutageReports;
  /** Called when the coordinator's revoked starts may have changed. */
  readonly onStartsRevoked: () => void;
  /** Number of boxes that accept work from callers, as far as this one knows. */
  readonly countBoxes: () => number;
  readonly bounds: EndpointBounds;
  /** Memory for all accepted workflows, in bytes. */
  readonly workMemoryBytes: number;
  readonly hardLoad: Types.HardLoadSettings;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}
