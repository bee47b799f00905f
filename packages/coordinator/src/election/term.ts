/** One term of a coordinator, and the row that says whose it is. */
import type * as Admission from "@cairngate/admission";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** Value of the coordinator row. An empty holder means: released. */
export interface CoordinatorRow {
  readonly token: number;
  readonly holder: string;
  readonly incarnation: string;
  /** Box that is meant to take over a released row; left out: any. */
  readonly successor?: string;
}

/** A forecast, and the monotonic time at which it was made. */
export interface TimedForecast {
  readonly forecast: Admission.Forecast;
  readonly madeAtMs: number;
}

/** The right to decide, under one fencing token. */
export class Term {
  readonly token: number;
  /** Condition of every write of the holder. */
  readonly condition: Ports.RowCondition;
  /** Forecast of the holder before; null where none was known. */
  readonly inherited: Admission.Forecast | null;
  /** Told to all boxes with each renewal; null: nothing. */
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

  /** Whether a later holder has been seen. */
  get isLost(): boolean {
    return Deferred.isDoneUnsafe(this.#lost);
  }

  /** A later holder was seen. */
  lose(how: string): void {
    Deferred.doneUnsafe(this.#lost, Effect.succeed(how));
  }

  /** Waits for the end of the term; tells how it was seen. */
  awaitLoss(): Effect.Effect<string> {
    return Deferred.await(this.#lost);
  }
}
