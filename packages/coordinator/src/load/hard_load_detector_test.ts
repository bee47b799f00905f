/** Hard-load features follow the settings, or are detected in auto mode. */
import * as Logger from "@cairngate/logger";
import * as Metrics from "@cairngate/metrics";
import * as Types from "@cairngate/types";
import * as vitest from "vitest";
import * as detectors from "./hard_load_detector.ts";

const UNEVEN_TEAMS = new Map([["large", 400], ["a", 50], ["b", 50]]);
const EVEN_TEAMS = new Map([["a", 50], ["b", 50]]);
const UNEVEN_SPEEDS = [0.6, 0.6, 1, 1, 1.5, 1.5];

function detect(competing: Types.FeatureMode, uneven: Types.FeatureMode) {
  return new detectors.HardLoadDetector({
    hardLoad: { competingTeams: competing, unevenEndpoints: uneven },
    log: Logger.silentLogger(),
    metrics: new Metrics.Metrics(),
  });
}

vitest.describe("HardLoadDetector", () => {
  vitest.it("detects no load where the settings turn the features off", () => {
    const off = detect(Types.FeatureMode.Off, Types.FeatureMode.Off);
    off.update(UNEVEN_TEAMS, UNEVEN_SPEEDS);
    vitest.expect(off.load)
      .toEqual({ teamsCompete: false, endpointsDiffer: false });
  });

  vitest.it("detects load from guarantees and speeds in auto mode", () => {
    const auto = detect(Types.FeatureMode.Auto, Types.FeatureMode.Auto);
    auto.update(UNEVEN_TEAMS, [1, 1, 1]);
    vitest.expect(auto.load)
      .toEqual({ teamsCompete: true, endpointsDiffer: false });
    auto.update(EVEN_TEAMS, UNEVEN_SPEEDS);
    vitest.expect(auto.load)
      .toEqual({ teamsCompete: false, endpointsDiffer: true });
  });

  vitest.it("reports load where the settings turn the features on", () => {
    const on = detect(Types.FeatureMode.On, Types.FeatureMode.On);
    on.update(EVEN_TEAMS, [1]);
    vitest.expect(on.load)
      .toEqual({ teamsCompete: true, endpointsDiffer: true });
  });
});
