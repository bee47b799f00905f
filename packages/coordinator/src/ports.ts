/** What the coordinator needs from its node. */
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import type * as TableClient from "@cairngate/table-client";
import type * as Types from "@cairngate/types";
import type * as evacuations from "./endpoints/evacuation_book.ts";
import type * as fitnesses from "./election/fitness.ts";
import type * as outageWords from "./election/outage_word.ts";

/** Bounds that the platform sets, in milliseconds. */
export interface EndpointBounds {
  /** Longest lease of a worker. */
  readonly longestLeaseMs: number;
  /** Time that a stop takes at most. */
  readonly stopMs: number;
  /** Time that members of a gang wait for each other. */
  readonly gangWaitMs: number;
  /** How much slower work runs away from its rack. */
  readonly remotePenalty: number;
  /** Time for which ended workflows can be asked for. */
  readonly keepEndedMs: number;
}

/** Everything that a coordinator works with. */
export interface CoordinatorPorts {
  /** Name of this node. */
  readonly node: string;
  /** Differs in each life of the node. */
  readonly incarnation: string;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly store: TableClient.StoreClient;
  readonly workers: Ports.TaskWorkers;
  /** Null where no advice service is set. */
  readonly advisor: Ports.Advisor | null;
  readonly workerFeed: Ports.RowFeed<Ports.EndpointListing>;
  readonly intakeFeed: Ports.RowFeed<unknown>;
  readonly electionFeed: Ports.RowFeed<unknown>;
  /** Configuration in force on this node; null before the first. */
  readonly config: () => Ports.AccessConfig | null;
  /** Data centres in which nothing may start; kept by the node, also between terms. */
  readonly evacuations: evacuations.EvacuationBook;
  readonly fitness: fitnesses.Fitness;
  readonly outage: outageWords.OutageWord;
  /** Boxes that take work from callers, as far as this one knows. */
  readonly countBoxes: () => number;
  readonly bounds: EndpointBounds;
  readonly hardLoad: Types.HardLoadSettings;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}
