/** The operator's configuration of queues, tenants and services. */
import type * as Workflow from "@cairngate/workflow";

/** Where a queue is reached and who may use it. */
export interface QueueRoute extends Workflow.QueuePolicy {
  readonly host: string;
  readonly pathPrefix: string;
  /** No key is needed. */
  readonly anonymous: boolean;
}

/** A tenant, its keys and what it has paid for. */
export interface TenantAccess {
  readonly name: string;
  readonly keys: readonly string[];
  /** Accelerators that belong to it for work of priority 0. */
  readonly guaranteed: number;
}

/** One version, whole. */
export interface AccessConfig {
  readonly version: number;
  readonly queues: readonly QueueRoute[];
  readonly tenants: readonly TenantAccess[];
  readonly maxBodyBytes: number;
}
