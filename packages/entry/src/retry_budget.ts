/** Keeps retries to a share of the first tries, for each team. */

const RETRIES_PER_TRY = 0.2;
const MAX_SAVED_RETRIES = 20;

/** A budget of retries for each team. */
export class RetryBudget {
  readonly #retriesByTeam = new Map<string, number>();

  /** A first try earns a part of a retry. */
  recordFirstTry(team: string): void {
    const saved = this.#retriesByTeam.get(team) ?? MAX_SAVED_RETRIES;
    this.#retriesByTeam.set(
      team,
      Math.min(MAX_SAVED_RETRIES, saved + RETRIES_PER_TRY),
    );
  }

  /** Takes a retry; false where the budget is used up. */
  take(team: string): boolean {
    const saved = this.#retriesByTeam.get(team) ?? MAX_SAVED_RETRIES;
    if (saved < 1) return false;
    this.#retriesByTeam.set(team, saved - 1);
    return true;
  }
}
