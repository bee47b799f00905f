/** Keeps retries to a share of the first tries, for each team. */

const RETRIES_PER_TRY = 0.2;
const MOST_SAVED = 20;

/** A budget of retries for each team. */
export class RetryBudget {
  readonly #saved = new Map<string, number>();

  /** A first try earns a part of a retry. */
  noteTry(team: string): void {
    const saved = this.#saved.get(team) ?? MOST_SAVED;
    this.#saved.set(team, Math.min(MOST_SAVED, saved + RETRIES_PER_TRY));
  }

  /** Takes a retry; false where the budget is used up. */
  take(team: string): boolean {
    const saved = this.#saved.get(team) ?? MOST_SAVED;
    if (saved < 1) return false;
    this.#saved.set(team, saved - 1);
    return true;
  }
}
