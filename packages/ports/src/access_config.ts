/** The operator's configuration of queues and teams. */
import type * as Workflow from "@cairngate/workflow";

/** A queue with the host and path under which callers reach it. */
export interface QueueRoute extends Workflow.QueuePolicy {
  readonly host: string;
  readonly pathPrefix: string;
  /** Whether requests need no API key. */
  readonly anonymous: boolean;
}

/** A team with its API keys and its guarantee. */
export interface TeamAccess {
  readonly name: string;
  readonly keys: readonly string[];
  /** Accelerators guaranteed to the team for work of priority 0. */
  readonly guaranteed: number;
}

/** One complete version of the configuration. */
export interface AccessConfig {
  readonly version: number;
  readonly queues: readonly QueueRoute[];
  readonly tenants: readonly TeamAccess[];
  readonly maxBodyBytes: number;
}
