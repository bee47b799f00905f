/** Record of a run on a stand-in endpoint. */
import type * as Ports from "@cairngate/ports";

/** Record of one run, for the checks of tests. */
export interface TaskRunRecord {
  readonly task: string;
  readonly run: number;
  readonly worker: string;
  readonly startedAtMs: number;
  endedAtMs: number | null;
  /** Null while it runs; "crashed" if its endpoint crashed. */
  how: Ports.EndKind | "crashed" | null;
  /** When the coordinator acknowledged that it recorded the end. */
  acknowledgedAtMs: number | null;
  /** Whether the lease expired between the end and the acknowledgement. */
  wasLeaseExpired: boolean;
  /** Whether its start was executed seconds after it was sent. */
  readonly wasLate: boolean;
  /**
   * Whether it was late and reached an incarnation that had not answered any
   * coordinator: no coordinator can keep an earlier order from such an incarnation.
   */
  readonly wasLateFirstCall: boolean;
}
