/** Inputs of a capacity forecast. */
import type * as Workflow from "@cairngate/workflow";
import type * as forecasts from "./forecast.ts";

/** One listed endpoint, whether or not it accepts work now. */
export interface EndpointSize {
  readonly service: string;
  readonly rack: string;
  readonly total: Workflow.Resources;
  readonly speed: number;
}

/** One run on an endpoint. */
export interface RunningTask {
  readonly service: string;
  /** 0 for urgent work within its guarantee, otherwise the priority plus one. */
  readonly rank: number;
  readonly need: Workflow.Resources;
  /** Earliest time until it may end, in ms. */
  readonly leftMs: number;
}

/** The waiting tasks of one step. */
export interface WaitingTasks {
  readonly service: string;
  readonly rank: number;
  readonly need: Workflow.Resources;
  readonly count: number;
  readonly gang: boolean;
  /** Shortest run time of one task, in ms. */
  readonly runMs: number;
  /** Time by which they should end, in ms from now. */
  readonly dueInMs: number;
}

/** Endpoints, runs and waiting work from which a forecast is made. */
export interface Load {
  /** Number of the forecast. */
  readonly number: number;
  readonly boxes: number;
  readonly remotePenalty: number;
  readonly endpoints: readonly EndpointSize[];
  readonly runs: readonly RunningTask[];
  readonly waits: readonly WaitingTasks[];
  /** Priorities of the queues of each service. */
  readonly priorities: ReadonlyMap<string, readonly number[]>;
  readonly urgentUse: ReadonlyMap<string, number>;
  /**
   * Whether work of one priority certainly starts in the order of its objectives.
   * Where teams compete, a team that has used less may overtake others.
   */
  readonly isInOrder: boolean;
  /** The previous forecast; endpoints that it counts may come back. */
  readonly before: forecasts.Forecast | null;
}
