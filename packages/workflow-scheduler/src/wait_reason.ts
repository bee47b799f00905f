/** Why units that are ready stay where they are. */
import type * as Workflow from "@cairngate/workflow";

/** Why a unit waits. */
export enum WaitReason {
  /** Others are being stopped for it. */
  Stops = "stops",
  /** No endpoint is known that the advice for its step allows. */
  Advice = "advice",
  /** Its endpoints are in use. */
  Room = "room",
  /** Its endpoints are in use, and others go first: its team has had its share. */
  Share = "share",
  /** Room that is free is kept for units that come before it. */
  Reserved = "reserved",
  /** Room is free only far from its data, or on several racks. */
  NearData = "near-data",
  /** It has failed, and the next try comes a little later. */
  Pause = "pause",
  /** It has failed, and free endpoints may fail whatever they start. */
  UnreliableEndpoints = "doubt",
  /** So many endpoints may have crashed under it that it is held back. */
  CrashBackoff = "hold",
  /** An endpoint has crashed under it, and none is free for it alone. */
  OwnEndpoint = "own-endpoint",
  /** No endpoint of its service and kind may be given work. */
  Endpoints = "endpoints",
  /** Its record is not read yet, or can't be written now. */
  Record = "record",
}

/** A unit that stays where it is; it stands for all of its step that follow. */
export interface WaitDecision {
  readonly unit: Workflow.Unit;
  readonly reason: WaitReason;
}
