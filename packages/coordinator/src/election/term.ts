/** A coordinator's term, and the row that names its holder. */
import type * as Admission from "@cairngate/admission";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** Value of the coordinator row. An empty holder marks a released row. */
export interface CoordinatorRow {
  readonly token: number;
  readonly holder: string;
  readonly incarnation: string;
  /** Box that should take over a released row; absent where any may. */
  readonly successor?: string;
}

/** A forecast and the monotonic time at which it was made. */
export interface TimedForecast {
  readonly forecast: Admission.Forecast;
  readonly madeAtMs: number;
}

/** The right to make decisions, under one fencing token. */
export class Term {
  readonly token: number;
  /** Condition of every write of the holder. */
  readonly condition: Ports.RowCondition;
  /** Forecast of the previous holder; null where none was known. */
  readonly inherited: Admission.Forecast | null;
  /** Forecast published with each renewal; null for none. */
  forecast: TimedForecast | null = null;
  readonly #lost = Deferred.makeUnsafe<string>();

  constructor(
    token: number,
    revision: number,
    inherited: Admission.Forecast | null = null,
  ) {
    this.token = token;
    this.inherited = inherited;
    this.condition = { key: TableClient.Keys.COORDINATOR_KEY, revision };
  }

  /** Whether the term has ended. */
  get isLost(): boolean {
    return Deferred.isDoneUnsafe(this.#lost);
  }

  /**
   * Ends the term.
   * @param how cause, for the log
   */
  lose(how: string): void {
    Deferred.doneUnsafe(this.#lost, Effect.succeed(how));
  }

  /** Waits for the end of the term and returns its cause. */
  awaitLoss(): Effect.Effect<string> {
    return Deferred.await(this.#lost);
  }
}
