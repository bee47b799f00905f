/** What became of a run at the stand-in, for the checks of tests. */
import type * as Ports from "@cairngate/ports";

/** One run, for the checks of tests. */
export interface TaskRunNote {
  readonly task: string;
  readonly run: number;
  readonly worker: string;
  readonly startedAtMs: number;
  endedAtMs: number | null;
  /** Null while it runs; "crashed" where its endpoint ended under it. */
  how: Ports.EndKind | "crashed" | null;
  /** When the coordinator said that the end is recorded. */
  acknowledgedAtMs: number | null;
  /** Whether the lease ran out between the end and that moment. */
  hasLapsedMeanwhile: boolean;
  /** Whether its start was carried out seconds after it was sent. */
  readonly wasLate: boolean;
  /**
   * Whether that was in a life which no coordinator had called by then: nothing that
   * a coordinator does can keep a former order from such a life.
   */
  readonly wasUncalled: boolean;
}
