/** Tells operators which teams have had more than their share for long. */
import * as Scheduler from "@cairngate/workflow-scheduler";
import type * as ports from "../ports.ts";

/** A team is told of once it has been above its share for this time, in ms. */
const MIN_ABOVE_MS = Scheduler.HALF_LIFE_MS;
/** Time between two lines about one team, in ms. */
const REPEAT_MS = 60_000;
/** Lines of one look; the gauge has the others. */
const MAX_LINES = 4;

interface TeamAboveShare {
  readonly sinceMs: number;
  /** When it was told of; infinite for never. */
  loggedAtMs: number;
}

/** Lines and gauges about shares. */
export class ShareReporter {
  readonly #ports: Pick<ports.CoordinatorPorts, "log" | "metrics">;
  readonly #above = new Map<string, TeamAboveShare>();
  #teams: ReadonlySet<string> = new Set();

  constructor(logPorts: Pick<ports.CoordinatorPorts, "log" | "metrics">) {
    this.#ports = logPorts;
  }

  /** Takes in the shares as they are judged now. */
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

  /** A team that is gone reads as nothing. */
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
        `${percent(weight)}; beyond guarantees others go first.`,
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
