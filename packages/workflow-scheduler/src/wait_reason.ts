/** Reasons why ready units wait. */
import type * as Workflow from "@cairngate/workflow";

/** Why a unit waits. */
export enum WaitReason {
  /** Other tasks are being stopped for it. */
  Stops = "stops",
  /** No endpoint is known to be allowed by the advice for its step. */
  Advice = "advice",
  /** The endpoints that the advice allows for its step accept no work. */
  AllowedEndpoints = "allowed-endpoints",
  /** Its endpoints are in use. */
  Room = "room",
  /** Its endpoints are in use, and other teams go first because of its team's use. */
  Share = "share",
  /** Free capacity is reserved for units that come before it. */
  Reserved = "reserved",
  /** Capacity is free only far from its data or across several racks. */
  NearData = "near-data",
  /** It has failed, or its ticket was rejected; it pauses before the next attempt. */
  Pause = "pause",
  /** An earlier run, of unknown outcome, may have used up its attempts. */
  UnknownOutcome = "unknown-outcome",
  /** It has failed, and the free endpoints are unreliable. */
  UnreliableEndpoints = "doubt",
  /** It is in backoff because too many endpoints may have crashed while running it. */
  CrashBackoff = "hold",
  /** An endpoint crashed while running it, and no empty endpoint is available. */
  OwnEndpoint = "own-endpoint",
  /** No endpoint of its service and label accepts work. */
  Endpoints = "endpoints",
  /** Its record has not been read yet or cannot be written now. */
  Record = "record",
}

/** A unit that waits; it also represents the following units of its step. */
export interface WaitDecision {
  readonly unit: Workflow.Unit;
  readonly reason: WaitReason;
}
