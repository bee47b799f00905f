/** Logs the teams that stay above their share, and sets gauges of all shares. */
import * as Scheduler from "@cairngate/workflow-scheduler";
import type * as ports from "../ports.ts";

/** Time above its share after which a team is logged, in ms. */
const MIN_ABOVE_MS = Scheduler.HALF_LIFE_MS;
/** Interval between two log lines about one team, in ms. */
const REPEAT_MS = 60_000;
/** Maximum log lines per update; the gauges show all teams. */
const MAX_LINES = 4;

interface TeamAboveShare {
  readonly sinceMs: number;
  /** When it was last logged; negative infinity if never. */
  loggedAtMs: number;
}

/** Log lines and gauges of team shares. */
export class ShareReporter {
  readonly #ports: Pick<ports.CoordinatorPorts, "log" | "metrics">;
  readonly #above = new Map<string, TeamAboveShare>();
  #teams: ReadonlySet<string> = new Set();

  constructor(logPorts: Pick<ports.CoordinatorPorts, "log" | "metrics">) {
    this.#ports = logPorts;
  }

  /** Takes in the current shares. */
  update(shares: Scheduler.TeamShares, nowMs: number): void {
    this.#setGauges(shares);
    let lines = 0;
    for (const [team, share] of shares) {
      if (share.level !== Scheduler.ShareLevel.Above) {
        this.#above.delete(team);
        continue;
      }
      const entry = this.#note(team, nowMs);
      if (lines >= MAX_LINES || !isDue(entry, nowMs)) continue;
      entry.loggedAtMs = nowMs;
      this.#logAbove(team, share, nowMs - entry.sinceMs);
      lines++;
    }
  }

  /** Sets the gauge of each team; that of a team without a share becomes 0. */
  #setGauges(shares: Scheduler.TeamShares): void {
    const { metrics } = this.#ports;
    for (const team of this.#teams) {
      if (!shares.has(team)) metrics.set("cairngate_team_share", 0, { team });
    }
    for (const [team, { use, weight }] of shares) {
      metrics.set("cairngate_team_share", use / weight, { team });
    }
    this.#teams = new Set(shares.keys());
  }

  #note(team: string, nowMs: number): TeamAboveShare {
    const entry = this.#above.get(team) ??
      { sinceMs: nowMs, loggedAtMs: Number.NEGATIVE_INFINITY };
    this.#above.set(team, entry);
    return entry;
  }

  #logAbove(
    team: string,
    { use, weight }: Scheduler.TeamShare,
    forMs: number,
  ): void {
    this.#ports.log.info(
      `Team ${team} has been above its share for ${Math.round(forMs)} ms: it ` +
        `has had ${percent(use)} of the fleet and is entitled to ` +
        `${percent(weight)}; beyond its guarantee, other teams go first.`,
    );
  }
}

function isDue(
  { sinceMs, loggedAtMs }: TeamAboveShare,
  nowMs: number,
): boolean {
  return nowMs - sinceMs >= MIN_ABOVE_MS && nowMs - loggedAtMs >= REPEAT_MS;
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}
