/** Why a workflow was given up. */
import type * as budgets from "./restart_budget.ts";
import type * as histories from "./run_history.ts";

/** The task that caused a workflow to be given up. */
export interface GiveUp {
  readonly reason: budgets.GiveUpReason;
  readonly task: string;
  /** Number of its newest run. */
  readonly run: number;
  readonly failures: number;
  readonly crashes: budgets.CrashCount;
  /**
   * Its runs that counted, or might have; null if an earlier version stored none.
   */
  readonly history: histories.RunHistory | null;
}
