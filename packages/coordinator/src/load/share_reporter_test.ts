/** Teams that stay above their share are logged, and every share has a gauge. */
import * as Metrics from "@cairngate/metrics";
import * as TestUtils from "@cairngate/test-utils";
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as vitest from "vitest";
import * as shareReporters from "./share_reporter.ts";

const { ShareLevel } = Scheduler;

function sharesOf(
  level: Scheduler.ShareLevel,
  teams: readonly string[] = ["large"],
): Scheduler.TeamShares {
  const share = { weight: 0.4, use: 0.6, level };
  return new Map(teams.map((team) => [team, share]));
}

function build() {
  const log = new TestUtils.RecordingLog();
  const metrics = new Metrics.Metrics();
  return {
    log,
    metrics,
    shares: new shareReporters.ShareReporter({ log, metrics }),
  };
}

vitest.describe("ShareReporter", () => {
  vitest.it("logs a team after 10 s, and again each minute", () => {
    const { log, shares } = build();
    const above = sharesOf(ShareLevel.Above);
    for (let ms = 0; ms <= 75_000; ms += 1000) shares.update(above, ms);
    vitest.expect(log.messages).toEqual([
      "Team large has been above its share for 10000 ms: it has had 60.0% of " +
      "the fleet and is entitled to 40.0%; beyond its guarantee, other teams go first.",
      "Team large has been above its share for 70000 ms: it has had 60.0% of " +
      "the fleet and is entitled to 40.0%; beyond its guarantee, other teams go first.",
    ]);
  });

  vitest.it("does not log a team that is above only briefly", () => {
    const { log, shares } = build();
    for (let ms = 0; ms < 60_000; ms += 1000) {
      const isAbove = ms % 9000 !== 0;
      const level = isAbove ? ShareLevel.Above : ShareLevel.Within;
      shares.update(sharesOf(level), ms);
    }
    vitest.expect(log.messages).toEqual([]);
  });

  vitest.it("logs four teams at a time", () => {
    const { log, shares } = build();
    const teams = Array.from({ length: 100 }, (_, i) => `team-${i}`);
    const above = sharesOf(ShareLevel.Above, teams);
    shares.update(above, 0);
    shares.update(above, 10_000);
    vitest.expect(log.messages.length).toBe(4);
  });

  vitest.it("sets a gauge per team, 0 for one that is gone", () => {
    const { metrics, shares } = build();
    const gaugeOf = (team: string) =>
      metrics.get("cairngate_team_share", { team });
    shares.update(sharesOf(ShareLevel.Above), 0);
    vitest.expect(gaugeOf("large")).toBeCloseTo(1.5);
    shares.update(new Map(), 1000);
    vitest.expect(gaugeOf("large")).toBe(0);
  });
});
