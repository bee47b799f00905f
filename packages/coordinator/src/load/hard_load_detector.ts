/**
 * Detects which kinds of hard load the deployment has, from its settings, the
 * guarantees of its teams and the speeds of its endpoints.
 */
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as Types from "@cairngate/types";
import type * as ports from "../ports.ts";

/** Detects the hard load of one term. */
export class HardLoadDetector {
  readonly #ports: Pick<ports.CoordinatorPorts, "hardLoad" | "log" | "metrics">;
  #load: Scheduler.HardLoad = Scheduler.NO_HARD_LOAD;

  constructor(
    watched: Pick<ports.CoordinatorPorts, "hardLoad" | "log" | "metrics">,
  ) {
    this.#ports = watched;
  }

  /** Kinds of hard load as last detected. */
  get load(): Scheduler.HardLoad {
    return this.#load;
  }

  /** Detects the load again; logs a change and sets the gauges. */
  update(
    guarantees: ReadonlyMap<string, number>,
    speeds: readonly number[],
  ): void {
    const { hardLoad, metrics } = this.#ports;
    const { competingTeams, unevenEndpoints } = hardLoad;
    metrics.set("cairngate_speed_spread", Scheduler.speedSpread(speeds));
    const previous = this.#load;
    this.#load = {
      teamsCompete: isUsed(
        competingTeams,
        () => Scheduler.hasDominantTeam(guarantees),
      ),
      endpointsDiffer: isUsed(
        unevenEndpoints,
        () =>
          Scheduler.doEndpointsDiffer(
            Scheduler.speedSpread(speeds),
            previous.endpointsDiffer,
          ),
      ),
    };
    this.#report(previous, speeds);
  }

  #report(previous: Scheduler.HardLoad, speeds: readonly number[]): void {
    const { log, metrics } = this.#ports;
    const { teamsCompete, endpointsDiffer } = this.#load;
    if (teamsCompete !== previous.teamsCompete) {
      metrics.set("cairngate_teams_compete", Number(teamsCompete));
      log.info(
        teamsCompete
          ? "Teams of very different size compete: fair shares are now enforced."
          : "No team is much larger than the others: fair shares are not enforced.",
      );
    }
    if (endpointsDiffer !== previous.endpointsDiffer) {
      metrics.set("cairngate_endpoints_differ", Number(endpointsDiffer));
      const spread = Scheduler.speedSpread(speeds).toFixed(2);
      const verb = endpointsDiffer ? "differ" : "no longer differ";
      log.info(
        `Endpoints ${verb} in speed: the fast ones are ${spread} times as fast as the slow ones.`,
      );
    }
  }
}

function isUsed(use: Types.FeatureMode, isCalledFor: () => boolean): boolean {
  if (use === Types.FeatureMode.Auto) return isCalledFor();
  return use === Types.FeatureMode.On;
}
