/** Limits the retries of each team to a share of its first tries. */

const RETRIES_PER_TRY = 0.2;
const MAX_SAVED_RETRIES = 20;

/** Retry budget of each team; it starts full. */
export class RetryBudget {
  readonly #retriesByTeam = new Map<string, number>();

  /** Adds the share of a retry that a first try earns. */
  recordFirstTry(team: string): void {
    const saved = this.#retriesByTeam.get(team) ?? MAX_SAVED_RETRIES;
    this.#retriesByTeam.set(
      team,
      Math.min(MAX_SAVED_RETRIES, saved + RETRIES_PER_TRY),
    );
  }

  /** Takes one retry from the team's budget; returns false if it is used up. */
  take(team: string): boolean {
    const saved = this.#retriesByTeam.get(team) ?? MAX_SAVED_RETRIES;
    if (saved < 1) return false;
    this.#retriesByTeam.set(team, saved - 1);
    return true;
  }
}
