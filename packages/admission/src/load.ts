/** What a forecast of room is made from. */
import type * as Workflow from "@cairngate/workflow";
import type * as forecasts from "./forecast.ts";

/** One endpoint that is listed, whether or not it may be given work now. */
export interface EndpointSize {
  readonly service: string;
  readonly rack: string;
  readonly total: Workflow.Resources;
  readonly speed: number;
}

/** One run that an endpoint holds. */
export interface Run {
  readonly service: string;
  /** 0: urgent and guaranteed; else one more than the priority. */
  readonly rank: number;
  readonly need: Workflow.Resources;
  /** Earliest time by which it may end, in ms. */
  readonly leftMs: number;
}

/** Tasks of one step that wait. */
export interface Wait {
  readonly service: string;
  readonly rank: number;
  readonly need: Workflow.Resources;
  readonly count: number;
  readonly gang: boolean;
  /** Shortest time that one of them runs, in ms. */
  readonly runMs: number;
  /** Time by which they should end, in ms from now. */
  readonly dueInMs: number;
}

/** What a forecast is made from. */
export interface Load {
  /** Number of the forecast. */
  readonly number: number;
  readonly boxes: number;
  readonly remotePenalty: number;
  readonly endpoints: readonly EndpointSize[];
  readonly runs: readonly Run[];
  readonly waits: readonly Wait[];
  /** Priorities of the queues of each service. */
  readonly priorities: ReadonlyMap<string, readonly number[]>;
  readonly urgentUse: ReadonlyMap<string, number>;
  /**
   * Whether work of one priority surely begins in the order of its objectives. Where
   * teams compete, that of a team which has had less may come before others.
   */
  readonly isInOrder: boolean;
  /** The forecast before; endpoints that it tells of may come back. */
  readonly before: forecasts.Forecast | null;
}
