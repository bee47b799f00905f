/** A coordinator's term, and the row that names its holder. */
import type * as Admission from "@cairngate/admission";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as grants from "./lease_grants.ts";
import type * as remainingLeases from "./remaining_leases.ts";

/** Value of the coordinator row. An empty holder marks a released row. */
export interface CoordinatorRow {
  readonly token: number;
  readonly holder: string;
  readonly incarnation: string;
  /** Box that should take over a released row; absent where any may. */
  readonly successor?: string;
  /**
   * Leases of silent endpoints that were left when it was released; absent where there
   * is a holder, and in rows of earlier versions.
   */
  readonly leases?: remainingLeases.RemainingLeases;
}

/** A forecast and the monotonic time at which it was made. */
export interface TimedForecast {
  readonly forecast: Admission.Forecast;
  readonly madeAtMs: number;
}

/** Parameters of a term. */
export interface TermOptions {
  readonly token: number;
  /** Revision of the row that names its holder. */
  readonly revision: number;
  readonly inherited: Admission.Forecast | null;
  readonly inheritedLeases: remainingLeases.InheritedLeases | null;
  readonly inheritedMemoryUse: Admission.MemoryUse | null;
  readonly grants: grants.LeaseGrants;
}

/** The right to make decisions, under one fencing token. */
export class Term {
  readonly token: number;
  /** Whether its holder may grant leases to endpoints. */
  readonly grants: grants.LeaseGrants;
  /** Condition of every write of the holder. */
  readonly condition: Ports.RowCondition;
  /** Forecast of the previous holder; null where none was known. */
  readonly inherited: Admission.Forecast | null;
  /** Leases that the previous holder has handed over; null where it has not. */
  readonly inheritedLeases: remainingLeases.InheritedLeases | null;
  /** Memory use that the previous holder published; null where it did not. */
  readonly inheritedMemoryUse: Admission.MemoryUse | null;
  /** Returns the memory use to publish with each renewal; null for none. */
  memoryUse: () => Admission.MemoryUse | null = () => this.inheritedMemoryUse;
  /** Forecast published with each renewal; null for none. */
  forecast: TimedForecast | null = null;
  /** Lists the leases to hand over, once no more are granted. */
  listRemainingLeases: () => remainingLeases.RemainingLeases | null = () =>
    null;
  #laterToken = 0;
  readonly #lost = Deferred.makeUnsafe<string>();

  constructor(
    {
      token,
      revision,
      inherited,
      inheritedLeases,
      inheritedMemoryUse,
      grants,
    }: TermOptions,
  ) {
    this.token = token;
    this.inheritedMemoryUse = inheritedMemoryUse;
    this.inherited = inherited;
    this.inheritedLeases = inheritedLeases;
    this.grants = grants;
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
    this.grants.end();
    Deferred.doneUnsafe(this.#lost, Effect.succeed(how));
  }

  /** Token of a later term that has ended this one; 0 if none is known. */
  get laterToken(): number {
    return this.#laterToken;
  }

  /**
   * Ends the term because a later one has begun.
   * @param how cause, for the log
   */
  loseTo(laterToken: number, how: string): void {
    this.#laterToken = Math.max(this.#laterToken, laterToken);
    this.lose(how);
  }

  /** Waits for the end of the term and returns its cause. */
  awaitLoss(): Effect.Effect<string> {
    return Deferred.await(this.#lost);
  }
}
