/** For what a workflow was given up. */
import type * as budgets from "./restart_budget.ts";
import type * as histories from "./run_history.ts";

/** The task for which a workflow was given up. */
export interface GiveUp {
  readonly reason: budgets.GiveUpReason;
  readonly task: string;
  /** Its newest run. */
  readonly run: number;
  readonly failures: number;
  readonly crashes: budgets.CrashCount;
  /** Its runs that counted, or might have; null: an earlier version kept none. */
  readonly history: histories.RunHistory | null;
}
